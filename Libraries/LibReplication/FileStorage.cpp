// Implements the storage of a replica: loading with consistency checks, appends and atomic replacement.

#include <LibReplication/FileStorage.h>

#include <LibCore/Try.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

std::string const identityName = "identity";
std::string const voteName = "vote";
std::string const logName = "log";
std::string const snapshotName = "snapshot";

absl::Status dataLossError(std::string const &name, std::string_view reason)
{
    return absl::DataLossError(
        fmt::format("the file \"{}\" {}; this replica may have lost acknowledged state", name, reason));
}

// Decodes a file that is always replaced atomically and so holds exactly one record.
template<typename Value>
absl::StatusOr<Value> decodeSingleRecord(std::string const &name, std::string const &file)
{
    auto const read = decodeRecord(file, 0);
    if (!read || read->size != file.size() || !std::holds_alternative<Value>(read->record))
        return dataLossError(name, "is corrupt");
    return std::get<Value>(read->record);
}

// Replays the log records in order: an entry replaces all earlier entries from its index on.
absl::Status replayLogRecords(std::vector<StoredRecord> const &records, StoredState &state)
{
    for (StoredRecord const &record : records) {
        if (auto const *const mark = std::get_if<CommitMark>(&record)) {
            state.knownCommitIndex = std::max(state.knownCommitIndex, mark->commitIndex);
            continue;
        }
        auto const *const entry = std::get_if<LogEntry>(&record);
        if (entry == nullptr)
            return dataLossError(logName, "has a record of a wrong type");
        while (!state.entries.empty() && state.entries.back().index >= entry->index)
            state.entries.pop_back();
        if (!state.entries.empty() && state.entries.back().index + 1 != entry->index)
            return dataLossError(logName, "has a gap");
        state.entries.push_back(*entry);
    }
    return absl::OkStatus();
}

// Removes the entries that the snapshot replaces. After a crash between writing the snapshot and rewriting
// the log, the log still has them.
absl::Status alignWithSnapshot(StoredState &state)
{
    Snapshot const &snapshot = state.snapshot;
    auto const last = std::ranges::find(state.entries, snapshot.index, &LogEntry::index);
    bool const isOtherTerm = last != state.entries.end() && last->term != snapshot.term;
    if (isOtherTerm || (!state.entries.empty() && state.entries.back().index <= snapshot.index))
        state.entries.clear();
    std::erase_if(state.entries, [&](LogEntry const &entry) { return entry.index <= snapshot.index; });
    if (!state.entries.empty() && state.entries.front().index != snapshot.index + 1)
        return dataLossError(logName, "does not continue the snapshot");
    LogIndex const lastIndex = snapshot.index + state.entries.size();
    if (state.knownCommitIndex > lastIndex)
        return dataLossError(logName, "ends before the last committed entry");
    state.knownCommitIndex = std::max(state.knownCommitIndex, snapshot.index);
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::shared_ptr<FileStorage>> FileStorage::open(DiskHooks disk, std::string const &instance,
                                                               RandomSource const &random,
                                                               EventReporter const &report)
{
    std::shared_ptr<FileStorage> const storage(new FileStorage(std::move(disk)));
    absl::Status const status = storage->createOrLoad(instance, random, report);
    if (status.ok())
        return storage;
    report(Event::ReplicaStorageRefused, std::string(status.message()));
    return status;
}

absl::Status FileStorage::createOrLoad(std::string const &instance, RandomSource const &random,
                                       EventReporter const &report)
{
    auto const identity = TRY(this->disk.read(identityName));
    if (!identity) {
        TRY_STATUS(this->create(instance, random));
        report(Event::ReplicaCreated,
               fmt::format("replica {:016x} of {}", this->state.self.id.value, instance));
    }
    return this->load(instance, report);
}

// The identity is written last, so a replica without one has acknowledged nothing.
absl::Status FileStorage::create(std::string const &instance, RandomSource const &random)
{
    std::string const emptyVote = encodeRecord(HardState{}, 0);
    std::string const emptyLog = encodeRecord(CommitMark{}, 0);
    auto const vote = TRY(this->disk.read(voteName));
    auto const log = TRY(this->disk.read(logName));
    auto const snapshot = TRY(this->disk.read(snapshotName));
    // Files of an interrupted creation are allowed. Any other contents mean that the identity was lost later.
    if ((vote && *vote != emptyVote) || (log && *log != emptyLog) || snapshot)
        return dataLossError(identityName, "is missing although other files have contents");
    TRY_STATUS(this->replaceFile(logName, emptyLog));
    TRY_STATUS(this->replaceFile(voteName, emptyVote));
    this->state.self = Replica{.id = ReplicaId{random() | 1U}, .instance = instance}; // Never none.
    return this->replaceFile(identityName, encodeRecord(this->state.self, 0));
}

absl::Status FileStorage::load(std::string const &instance, EventReporter const &report)
{
    auto const identity = TRY(this->disk.read(identityName));
    auto const vote = TRY(this->disk.read(voteName));
    auto const log = TRY(this->disk.read(logName));
    auto const snapshot = TRY(this->disk.read(snapshotName));
    if (!identity || !vote || !log)
        return dataLossError(!vote ? voteName : logName, "is missing");
    this->state.self = TRY(decodeSingleRecord<Replica>(identityName, *identity));
    if (this->state.self.instance != instance)
        return absl::FailedPreconditionError(fmt::format(
            "the data folder belongs to the instance {}, not to {}", this->state.self.instance, instance));
    this->state.hardState = TRY(decodeSingleRecord<HardState>(voteName, *vote));
    if (snapshot)
        this->state.snapshot = TRY(decodeSingleRecord<Snapshot>(snapshotName, *snapshot));
    if (snapshot && this->state.hardState.history.isNone())
        return dataLossError(voteName, "is older than the snapshot");
    return this->loadLog(*log, report);
}

absl::Status FileStorage::loadLog(std::string const &file, EventReporter const &report)
{
    DecodedFile const read = decodeRecords(file);
    if (read.end == FileEnd::Corrupt)
        return dataLossError(logName, fmt::format("has a corrupt record at byte {}", read.validSize));
    TRY_STATUS(replayLogRecords(read.records, this->state));
    std::size_t const entriesInFile = this->state.entries.size();
    TRY_STATUS(alignWithSnapshot(this->state));
    if (read.end == FileEnd::Torn) {
        report(Event::TornRecordCut,
               fmt::format("truncated {} bytes after byte {}", file.size() - read.validSize, read.validSize));
        TRY_STATUS(this->disk.truncate(logName, read.validSize));
    }
    // Records that were written but not synced before the process crashed are treated as durable from now on,
    // so they are synced first.
    TRY_STATUS(this->disk.sync(logName));
    this->logSize = read.validSize;
    this->durableLogSize = read.validSize;
    this->commitIndex = this->state.knownCommitIndex;
    // If the file kept the entries that the snapshot replaced, the next entry could leave a gap in it.
    if (this->state.entries.size() != entriesInFile)
        return this->rewriteLog(this->state.entries);
    return this->saveCommitIndex(this->commitIndex);
}

StorageHooks FileStorage::hooks()
{
    auto const storage = this->shared_from_this();
    return StorageHooks{.saveHardState =
                            [storage](HardState const &hardState) {
                                TRY_STATUS(storage->failure);
                                return storage->recordFailure(
                                    storage->replaceFile(voteName, encodeRecord(hardState, 0)));
                            },
                        .replaceFrom =
                            [storage](std::span<LogEntry const> entries) {
                                TRY_STATUS(storage->failure);
                                return storage->recordFailure(storage->replaceFrom(entries));
                            },
                        .saveCommitIndex =
                            [storage](LogIndex index) {
                                TRY_STATUS(storage->failure);
                                return storage->recordFailure(storage->saveCommitIndex(index));
                            },
                        .saveSnapshot =
                            [storage](Snapshot const &snapshot, std::span<LogEntry const> kept) {
                                TRY_STATUS(storage->failure);
                                return storage->recordFailure(storage->saveSnapshot(snapshot, kept));
                            }};
}

absl::Status FileStorage::recordFailure(absl::Status status)
{
    if (!status.ok())
        this->failure = status;
    return status;
}

absl::Status FileStorage::replaceFile(std::string const &name, std::string const &contents)
{
    std::string const temporary = name + ".new";
    TRY_STATUS(this->disk.create(temporary, contents));
    TRY_STATUS(this->disk.sync(temporary));
    TRY_STATUS(this->disk.rename(temporary, name));
    return this->disk.syncFolder();
}

absl::Status FileStorage::appendToLog(std::string const &bytes)
{
    TRY_STATUS(this->disk.append(logName, bytes));
    this->logSize += bytes.size();
    return absl::OkStatus();
}

absl::Status FileStorage::replaceFrom(std::span<LogEntry const> entries)
{
    std::string bytes;
    for (LogEntry const &entry : entries)
        bytes += encodeRecord(entry, this->durableLogSize);
    TRY_STATUS(this->appendToLog(bytes));
    TRY_STATUS(this->disk.sync(logName));
    this->durableLogSize = this->logSize;
    // The commit mark carries the new durable size, so that the next start detects corruption of the last
    // entry.
    return this->saveCommitIndex(this->commitIndex);
}

absl::Status FileStorage::saveCommitIndex(LogIndex index)
{
    this->commitIndex = index;
    return this->appendToLog(encodeRecord(CommitMark{.commitIndex = index}, this->durableLogSize));
}

absl::Status FileStorage::rewriteLog(std::span<LogEntry const> entries)
{
    std::string log;
    for (LogEntry const &entry : entries)
        log += encodeRecord(entry, 0);
    log += encodeRecord(CommitMark{.commitIndex = this->commitIndex}, 0);
    TRY_STATUS(this->replaceFile(logName, log));
    this->logSize = log.size();
    this->durableLogSize = log.size();
    return this->saveCommitIndex(this->commitIndex);
}

absl::Status FileStorage::saveSnapshot(Snapshot const &snapshot, std::span<LogEntry const> kept)
{
    TRY_STATUS(this->replaceFile(snapshotName, encodeRecord(snapshot, 0)));
    this->commitIndex = std::max(this->commitIndex, snapshot.index);
    return this->rewriteLog(kept);
}

} // namespace almondwing
