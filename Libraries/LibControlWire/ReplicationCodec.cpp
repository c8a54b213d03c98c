// Implements the JSON codec of replica messages. Payloads and snapshots are arbitrary bytes, so they are
// encoded as base64.

#include <LibControlWire/ReplicationCodec.h>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <utility>

namespace almondwing {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t formatVersion = 1;
constexpr std::size_t maxListSize = 4096;

// Encoding and decoding share one list of fields for each message: visitFields() passes the fields to a
// Writer or a Reader.
class Writer
{
public:
    template<typename Number>
    void number(char const *name, Number const &value)
    {
        this->object[name] = static_cast<std::uint64_t>(value);
    }

    template<typename Enum>
    void enumeration(char const *name, Enum const &value, Enum)
    {
        this->object[name] = static_cast<std::uint64_t>(value);
    }

    template<typename Tag>
    void id(char const *name, Identifier<Tag> const &value)
    {
        this->object[name] = value.value;
    }

    void text(char const *name, std::string const &value) { this->object[name] = value; }

    void bytes(char const *name, std::string const &value)
    {
        if (!value.empty())
            this->object[name] = absl::Base64Escape(value);
    }

    template<typename Value>
    void value(char const *name, Value const &value)
    {
        Writer inner;
        visitFields(inner, const_cast<Value &>(value)); // NOLINT: a Writer does not change it.
        this->object[name] = std::move(inner.object);
    }

    template<typename Value>
    void list(char const *name, std::vector<Value> const &values)
    {
        if (values.empty())
            return;
        Json array = Json::array();
        for (Value const &value : values) {
            Writer inner;
            inner.value("", value);
            array.push_back(std::move(inner.object[""]));
        }
        this->object[name] = std::move(array);
    }

    void texts(char const *name, std::vector<std::string> const &values) { this->object[name] = values; }

    Json object = Json::object();
};

// Keeps the first error. After an error the value may be incomplete.
class Reader
{
public:
    Reader(Json const &newObject, absl::Status &newStatus) : object(newObject), status(newStatus) { }

    template<typename Number>
    void number(char const *name, Number &value)
    {
        Json const *const field = this->find(name);
        if (field == nullptr || !field->is_number_unsigned()
            || field->get<std::uint64_t>() > std::numeric_limits<Number>::max())
            return this->fail(name, "is not a number in its range");
        value = static_cast<Number>(field->get<std::uint64_t>());
    }

    template<typename Enum>
    void enumeration(char const *name, Enum &value, Enum last)
    {
        std::uint64_t number = 0;
        this->number(name, number);
        if (number > static_cast<std::uint64_t>(last))
            return this->fail(name, "is not a known enumeration value");
        value = static_cast<Enum>(number);
    }

    template<typename Tag>
    void id(char const *name, Identifier<Tag> &value)
    {
        this->number(name, value.value);
    }

    void text(char const *name, std::string &value)
    {
        Json const *const field = this->find(name);
        if (field == nullptr || !field->is_string())
            return this->fail(name, "is not a string");
        value = field->get<std::string>();
    }

    // An absent field means an empty string of bytes.
    void bytes(char const *name, std::string &value)
    {
        value.clear();
        Json const *const field = this->find(name);
        if (field == nullptr)
            return;
        if (!field->is_string() || !absl::Base64Unescape(field->get_ref<std::string const &>(), &value))
            this->fail(name, "is not base64");
    }

    template<typename Value>
    void value(char const *name, Value &value)
    {
        Json const *const field = this->find(name);
        if (field == nullptr || !field->is_object())
            return this->fail(name, "is not an object");
        Reader inner(*field, this->status);
        visitFields(inner, value);
    }

    // An absent field means an empty list.
    template<typename Value>
    void list(char const *name, std::vector<Value> &values)
    {
        values.clear();
        Json const *const field = this->find(name);
        if (field == nullptr)
            return;
        if (!field->is_array() || field->size() > maxListSize)
            return this->fail(name, "is not a list or is too long");
        for (Json const &element : *field) {
            if (!element.is_object())
                return this->fail(name, "has an element that is not an object");
            Reader inner(element, this->status);
            visitFields(inner, values.emplace_back());
        }
    }

    void texts(char const *name, std::vector<std::string> &values)
    {
        values.clear();
        Json const *const field = this->find(name);
        if (field == nullptr || !field->is_array() || field->size() > maxListSize)
            return this->fail(name, "is not a list or is too long");
        for (Json const &element : *field) {
            if (!element.is_string())
                return this->fail(name, "has an element that is not a string");
            values.push_back(element.get<std::string>());
        }
    }

private:
    Json const *find(char const *name) const
    {
        auto const field = this->object.find(name);
        return field == this->object.end() ? nullptr : &*field;
    }

    void fail(char const *name, char const *reason)
    {
        if (this->status.ok())
            this->status = absl::InvalidArgumentError(fmt::format("the field \"{}\" {}", name, reason));
    }

    Json const &object;
    absl::Status &status;
};

template<typename Visitor>
void visitFields(Visitor &visitor, Replica &replica)
{
    visitor.id("id", replica.id);
    visitor.text("instance", replica.instance);
}

template<typename Visitor>
void visitFields(Visitor &visitor, LogEntry &entry)
{
    visitor.number("index", entry.index);
    visitor.number("term", entry.term);
    visitor.enumeration("kind", entry.kind, EntryKind::Membership);
    visitor.bytes("payload", entry.payload);
    visitor.list("voters", entry.voters);
}

template<typename Visitor>
void visitFields(Visitor &visitor, VoteRequest &request)
{
    visitor.enumeration("kind", request.kind, VoteKind::Vote);
    visitor.number("term", request.term);
    visitor.number("lastIndex", request.lastIndex);
    visitor.number("lastTerm", request.lastTerm);
}

template<typename Visitor>
void visitFields(Visitor &visitor, VoteReply &reply)
{
    visitor.enumeration("kind", reply.kind, VoteKind::Vote);
    visitor.number("term", reply.term);
    visitor.enumeration("verdict", reply.verdict, VoteVerdict::Refused);
}

template<typename Visitor>
void visitFields(Visitor &visitor, AppendRequest &request)
{
    visitor.number("term", request.term);
    visitor.number("previousIndex", request.previousIndex);
    visitor.number("previousTerm", request.previousTerm);
    visitor.list("entries", request.entries);
    visitor.number("commitIndex", request.commitIndex);
    visitor.number("round", request.round);
}

template<typename Visitor>
void visitFields(Visitor &visitor, AppendReply &reply)
{
    visitor.number("term", reply.term);
    visitor.enumeration("verdict", reply.verdict, AppendVerdict::Refused);
    visitor.number("matchIndex", reply.matchIndex);
    visitor.number("conflictIndex", reply.conflictIndex);
    visitor.number("conflictTerm", reply.conflictTerm);
    visitor.number("round", reply.round);
}

template<typename Visitor>
void visitFields(Visitor &visitor, SnapshotPart &part)
{
    visitor.number("term", part.term);
    visitor.number("snapshotIndex", part.snapshotIndex);
    visitor.number("snapshotTerm", part.snapshotTerm);
    visitor.list("voters", part.voters);
    visitor.number("totalSize", part.totalSize);
    visitor.number("stateHash", part.stateHash);
    visitor.number("offset", part.offset);
    visitor.bytes("data", part.data);
    visitor.number("round", part.round);
}

template<typename Visitor>
void visitFields(Visitor &visitor, SnapshotReply &reply)
{
    visitor.number("term", reply.term);
    visitor.number("snapshotIndex", reply.snapshotIndex);
    visitor.number("nextOffset", reply.nextOffset);
    visitor.number("matchIndex", reply.matchIndex);
    visitor.number("round", reply.round);
}

template<typename Visitor>
void visitFields(Visitor &visitor, JoinRequest &request)
{
    visitor.number("lastIndex", request.lastIndex);
}

template<typename Visitor>
void visitFields(Visitor &visitor, BootstrapQuery &query)
{
    visitor.number("attempt", query.attempt);
    visitor.texts("instances", query.instances);
}

template<typename Visitor>
void visitFields(Visitor &visitor, BootstrapReply &reply)
{
    visitor.number("attempt", reply.attempt);
    visitor.enumeration("verdict", reply.verdict, BootstrapVerdict::OtherSettings);
}

template<typename Visitor>
void visitFields(Visitor &visitor, BootstrapCommand &command)
{
    visitor.enumeration("origin", command.origin, BootstrapOrigin::Member);
    visitor.list("voters", command.voters);
}

// Names of the alternatives of ReplicaMessage, in their order.
constexpr std::array messageNames{"voteRequest",    "voteReply",       "appendRequest", "appendReply",
                                  "snapshotPart",   "snapshotReply",   "joinRequest",   "bootstrapQuery",
                                  "bootstrapReply", "bootstrapCommand"};
static_assert(messageNames.size() == std::variant_size_v<ReplicaMessage>);

template<std::size_t Index = 0>
bool makeAlternative(std::string_view name, ReplicaMessage &message)
{
    if constexpr (Index < std::variant_size_v<ReplicaMessage>) {
        if (name != messageNames[Index])
            return makeAlternative<Index + 1>(name, message);
        message.emplace<Index>();
        return true;
    }
    return false;
}

} // namespace

std::string encodeReplicaEnvelope(std::string_view cluster, ReplicaEnvelope const &envelope)
{
    Writer writer;
    writer.number("version", formatVersion);
    writer.text("cluster", std::string(cluster));
    writer.value("from", envelope.from);
    writer.value("to", envelope.to);
    writer.id("history", envelope.history);
    writer.text("type", messageNames[envelope.message.index()]);
    std::visit([&writer](auto const &message) { writer.value("message", message); }, envelope.message);
    return writer.object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<ReplicaEnvelope> decodeReplicaEnvelope(std::string_view cluster, std::string_view body)
{
    if (body.size() > maxReplicationBodyBytes)
        return absl::InvalidArgumentError(fmt::format("the body of {} bytes is too large", body.size()));
    Json const object = Json::parse(body, nullptr, false);
    if (!object.is_object())
        return absl::InvalidArgumentError("the body is not a JSON object");
    absl::Status status;
    Reader reader(object, status);
    std::uint64_t version = 0;
    std::string senderCluster;
    std::string type;
    ReplicaEnvelope envelope;
    reader.number("version", version);
    reader.text("cluster", senderCluster);
    if (status.ok() && (version != formatVersion || senderCluster != cluster))
        return absl::InvalidArgumentError(fmt::format(
            "the version {} or the cluster \"{}\" of the message differs from that of this instance", version,
            senderCluster));
    reader.value("from", envelope.from);
    reader.value("to", envelope.to);
    reader.id("history", envelope.history);
    reader.text("type", type);
    if (status.ok() && !makeAlternative(type, envelope.message))
        return absl::InvalidArgumentError(fmt::format("\"{}\" is not a known type", type));
    std::visit([&reader](auto &message) { reader.value("message", message); }, envelope.message);
    if (!status.ok())
        return status;
    return envelope;
}

} // namespace almondwing
