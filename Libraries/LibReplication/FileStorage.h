// The durable state of a replica in a data folder, through disk hooks.
//
// Files: `identity` (the replica), `vote` (hard state), `log` (entries and commit marks, append only) and
// `snapshot`. All but the log are replaced as a whole: written under a temporary name, synced and renamed.

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
    // An empty folder gets a new replica id. A torn end of the log is cut off. Anything else that does not
    // fit together is an error that says why; the replica must not start then, because what it promised is
    // unknown.
    static absl::StatusOr<std::shared_ptr<FileStorage>> open(DiskHooks disk, std::string const &instance,
                                                             RandomSource const &random,
                                                             EventReporter const &report);

    // The state as found by open().
    StoredState const &loaded() const { return this->state; }

    // The hooks keep this object alive. After the first failure all of them fail.
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
    absl::Status appendEntries(std::span<LogEntry const> entries);
    absl::Status saveCommitIndex(LogIndex index);
    absl::Status rewriteLog(std::span<LogEntry const> entries);
    absl::Status saveSnapshot(Snapshot const &snapshot, std::span<LogEntry const> kept);
    absl::Status once(absl::Status status);

    DiskHooks disk;
    StoredState state; // As loaded; not kept up to date.
    std::uint64_t logSize = 0;
    std::uint64_t durableLogSize = 0; // At most logSize.
    LogIndex commitIndex = 0; // As noted last.
    absl::Status failure; // The first one; it stays.
};

} // namespace almondwing
