// The hooks through which the core stores its state. Each one returns only when the state is durable, unless
// it says otherwise. After a failure nothing may be acknowledged, because it is unknown what reached the
// disk.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <absl/status/status.h>

#include <functional>
#include <span>

namespace almondwing {

struct StorageHooks
{
    std::function<absl::Status(HardState const &)> saveHardState;

    // Replaces all entries from the index of the first given one on.
    std::function<absl::Status(std::span<LogEntry const>)> appendEntries;

    // Tells how far the log is committed, for the next start. Need not be durable.
    std::function<absl::Status(LogIndex)> saveCommitIndex;

    // Replaces the log up to the snapshot; `kept` are the entries after it that stay.
    std::function<absl::Status(Snapshot const &, std::span<LogEntry const> kept)> saveSnapshot;
};

} // namespace almondwing
