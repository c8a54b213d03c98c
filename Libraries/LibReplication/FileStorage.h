// Stores the durable state of a replica in a data folder, through disk hooks.
//
// The files are `identity` (the replica), `vote` (the hard state), `log` (entries and commit marks) and
// `snapshot`. Records are appended to the log. The other files, and the log when it is rewritten, are
// replaced atomically: the new contents are written under a temporary name, synced and renamed.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibMessages/Outbox.h>
#include <LibReplication/DiskHooks.h>
#include <LibReplication/RecordFormat.h>
#include <LibReplication/StorageHooks.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace almondwing {

class FileStorage : public std::enable_shared_from_this<FileStorage>
{
public:
    // Creates a replica with a new id in an empty folder. Truncates a torn write at the end of the log. Any
    // other inconsistency is an error that gives the reason; the replica must not start then, because its
    // earlier votes and acknowledgements may be lost.
    static absl::StatusOr<std::shared_ptr<FileStorage>> open(DiskHooks disk, std::string const &instance,
                                                             RandomSource const &random,
                                                             EventReporter const &report);

    // The state that open() found.
    StoredState const &loaded() const { return this->state; }

    // The hooks share ownership of this object. After the first failure every hook fails.
    StorageHooks hooks();

private:
    explicit FileStorage(DiskHooks newDisk) : disk(std::move(newDisk)) { }

    absl::Status createOrLoad(std::string const &instance, RandomSource const &random,
                              EventReporter const &report);
    absl::Status create(std::string const &instance, RandomSource const &random);
    absl::Status load(std::string const &instance, EventReporter const &report);
    absl::Status loadLog(std::string const &file, EventReporter const &report);
    absl::Status replaceFile(std::string const &name, std::string const &contents);
    absl::Status appendToLog(std::string const &bytes);
    absl::Status replaceFrom(std::span<LogEntry const> entries);
    absl::Status saveCommitIndex(LogIndex index);
    absl::Status rewriteLog(std::span<LogEntry const> entries);
    absl::Status saveSnapshot(Snapshot const &snapshot, std::span<LogEntry const> kept);
    absl::Status recordFailure(absl::Status status);

    DiskHooks disk;
    StoredState state; // As loaded by open(); later writes do not update it.
    std::uint64_t logSize = 0;
    std::uint64_t durableLogSize = 0; // The number of synced bytes; at most logSize.
    LogIndex commitIndex = 0; // The last one written to the log.
    absl::Status failure; // The first failure of a hook; never reset.
};

} // namespace almondwing
