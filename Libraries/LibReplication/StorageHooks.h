// The hooks through which the core stores its state. A hook returns only when the state is durable, unless
// its comment states otherwise. After a failure nothing may be acknowledged, because it is unknown what
// reached the disk.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <absl/status/status.h>

#include <functional>
#include <span>

namespace almondwing {

struct StorageHooks
{
    std::function<absl::Status(HardState const &)> saveHardState;

    // Removes all entries from the index of the first given entry on, then appends the given ones.
    std::function<absl::Status(std::span<LogEntry const>)> replaceFrom;

    // Stores the commit index for the next start. It need not be durable.
    std::function<absl::Status(LogIndex)> saveCommitIndex;

    // Replaces the log up to the snapshot. `kept` holds the entries after the snapshot that remain.
    std::function<absl::Status(Snapshot const &, std::span<LogEntry const> kept)> saveSnapshot;
};

} // namespace almondwing
