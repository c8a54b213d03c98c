// Holds the state machine's state on a control instance. Readers of the audit trail share snapshots with the
// thread that applies the log.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibConfiguration/ApplyChange.h>

#include <cstdint>

namespace almondwing {

enum class RestoreOutcome : std::uint8_t { Restored, NotNewer };

class ConfigurationStateMachine
{
public:
    // Applies the log entry at `index`; entries come in order, as the log gives them.
    ChangeOutcome apply(std::uint64_t index, ChangeRequest const &request);

    Cell<ConfigurationState>::Snapshot snapshot() const { return this->state.read(); }

    // Replaces the state by a snapshot that covers more of the log, never by one that covers less.
    RestoreOutcome restore(ConfigurationState const &snapshot);

private:
    Cell<ConfigurationState> state;
};

} // namespace almondwing
