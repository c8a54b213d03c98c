// Implements the binary format. Numbers are little endian.

#include <LibReplication/RecordFormat.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

namespace almondwing {

namespace {

constexpr std::uint32_t recordMagic = 0x31525741U; // "AWR1"
constexpr std::size_t headerSize = 4 + 4 + 8 + 8;
constexpr std::size_t checkedFrom = 4 + 8; // Magic and checksum are not part of the checked bytes.
constexpr std::uint32_t largestBody = 128U * 1024U * 1024U;

class Writer
{
public:
    template<typename Number>
    void number(Number value)
    {
        for (std::size_t shift = 0; shift < sizeof(Number) * 8; shift += 8)
            this->bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> shift));
    }

    void text(std::string_view value)
    {
        this->number(static_cast<std::uint32_t>(value.size()));
        this->bytes += value;
    }

    void replica(Replica const &value)
    {
        this->number(value.id.value);
        this->text(value.instance);
    }

    void replicas(std::vector<Replica> const &values)
    {
        this->number(static_cast<std::uint32_t>(values.size()));
        for (Replica const &value : values)
            this->replica(value);
    }

    std::string bytes;
};

// Reads past the end give zeros and make the whole value invalid.
class Reader
{
public:
    explicit Reader(std::string_view newRest) : rest(newRest) { }

    template<typename Number>
    Number number()
    {
        std::string_view const bytes = this->take(sizeof(Number));
        std::uint64_t value = 0;
        for (std::size_t index = bytes.size(); index > 0; --index)
            value = (value << 8U) | static_cast<unsigned char>(bytes[index - 1]);
        return static_cast<Number>(value);
    }

    std::string text() { return std::string(this->take(this->number<std::uint32_t>())); }

    Replica replica()
    {
        ReplicaId const id{this->number<std::uint64_t>()};
        return Replica{.id = id, .instance = this->text()};
    }

    std::vector<Replica> replicas()
    {
        std::vector<Replica> values;
        for (auto count = this->number<std::uint32_t>(); count > 0 && this->isValid; --count)
            values.push_back(this->replica());
        return values;
    }

    bool isComplete() const { return this->isValid && this->rest.empty(); }

private:
    std::string_view take(std::size_t size)
    {
        if (size > this->rest.size()) {
            this->isValid = false;
            return {};
        }
        std::string_view const taken = this->rest.substr(0, size);
        this->rest.remove_prefix(size);
        return taken;
    }

    std::string_view rest;
    bool isValid = true;
};

void write(Writer &writer, LogEntry const &entry)
{
    writer.number(entry.index);
    writer.number(entry.term);
    writer.number(static_cast<std::uint8_t>(entry.kind));
    writer.text(entry.payload);
    writer.replicas(entry.voters);
}

void write(Writer &writer, CommitMark const &mark)
{
    writer.number(mark.commitIndex);
}

void write(Writer &writer, HardState const &state)
{
    writer.number(state.history.value);
    writer.number(state.term);
    writer.number(state.vote.value);
    writer.number(state.promisedCoordinator.value);
}

void write(Writer &writer, Snapshot const &snapshot)
{
    writer.number(snapshot.index);
    writer.number(snapshot.term);
    writer.replicas(snapshot.voters);
    writer.text(snapshot.state);
}

void write(Writer &writer, Replica const &replica)
{
    writer.replica(replica);
}

// Braced initializers are evaluated in order, so the members are read as they were written.
std::optional<StoredRecord> readBody(std::string_view body)
{
    Reader reader(body);
    StoredRecord record;
    switch (reader.number<std::uint8_t>()) {
    case 0: {
        record = LogEntry{.index = reader.number<LogIndex>(),
                          .term = reader.number<Term>(),
                          .kind = static_cast<EntryKind>(reader.number<std::uint8_t>()),
                          .payload = reader.text(),
                          .voters = reader.replicas()};
        if (std::get<LogEntry>(record).kind > EntryKind::Membership)
            return std::nullopt;
        break;
    }
    case 1:
        record = CommitMark{.commitIndex = reader.number<LogIndex>()};
        break;
    case 2:
        record = HardState{.history = HistoryId{reader.number<std::uint64_t>()},
                           .term = reader.number<Term>(),
                           .vote = ReplicaId{reader.number<std::uint64_t>()},
                           .promisedCoordinator = ReplicaId{reader.number<std::uint64_t>()}};
        break;
    case 3:
        record = Snapshot{.index = reader.number<LogIndex>(),
                          .term = reader.number<Term>(),
                          .voters = reader.replicas(),
                          .state = reader.text()};
        break;
    case 4:
        record = reader.replica();
        break;
    default:
        return std::nullopt;
    }
    if (!reader.isComplete())
        return std::nullopt;
    return record;
}

} // namespace

std::string encodeRecord(StoredRecord const &record, std::uint64_t durableSize)
{
    Writer body;
    body.number(static_cast<std::uint8_t>(record.index()));
    std::visit([&body](auto const &value) { write(body, value); }, record);
    Writer checked;
    checked.number(static_cast<std::uint32_t>(body.bytes.size()));
    checked.number(durableSize);
    checked.bytes += body.bytes;
    Writer whole;
    whole.number(recordMagic);
    whole.number(hashText(checked.bytes));
    whole.bytes += checked.bytes;
    return std::move(whole.bytes);
}

std::optional<DecodedRecord> decodeRecord(std::string_view file, std::size_t offset)
{
    if (offset > file.size() || file.size() - offset < headerSize)
        return std::nullopt;
    Reader header(file.substr(offset, headerSize));
    auto const magic = header.number<std::uint32_t>();
    auto const checksum = header.number<std::uint64_t>();
    auto const bodySize = header.number<std::uint32_t>();
    auto const durableSize = header.number<std::uint64_t>();
    if (magic != recordMagic || bodySize > largestBody || file.size() - offset - headerSize < bodySize)
        return std::nullopt;
    if (hashText(file.substr(offset + checkedFrom, headerSize - checkedFrom + bodySize)) != checksum)
        return std::nullopt;
    auto record = readBody(file.substr(offset + headerSize, bodySize));
    if (!record)
        return std::nullopt;
    return DecodedRecord{
        .record = *std::move(record), .durableSize = durableSize, .size = headerSize + bodySize};
}

DecodedFile decodeRecords(std::string_view file)
{
    DecodedFile result;
    std::optional<DecodedRecord> next;
    while ((next = decodeRecord(file, result.validSize))) {
        result.records.push_back(std::move(next->record));
        result.validSize += next->size;
    }
    if (result.validSize == file.size())
        return result;
    result.end = FileEnd::Torn;
    // The length of the bad record may be wrong too, so the next valid record can be at any offset.
    for (std::size_t offset = result.validSize + 1; offset + headerSize <= file.size(); ++offset) {
        auto const later = decodeRecord(file, offset);
        if (later && later->durableSize > result.validSize)
            result.end = FileEnd::Damaged;
    }
    return result;
}

} // namespace almondwing
