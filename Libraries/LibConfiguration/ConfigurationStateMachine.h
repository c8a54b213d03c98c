// Holds the state of the state machine of the manifest (see ApplyChange.h) on a control instance. Readers of
// the audit trail get immutable snapshots of the state while another thread applies the log.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibConfiguration/ApplyChange.h>

#include <cstdint>

namespace almondwing {

enum class RestoreOutcome : std::uint8_t { Restored, NotNewer };

class ConfigurationStateMachine
{
public:
    // Applies the log entry at `index`. Entries must be passed in log order.
    ChangeOutcome apply(std::uint64_t index, ChangeRequest const &request);

    Cell<ConfigurationState>::Snapshot snapshot() const { return this->state.read(); }

    // Replaces the state by the snapshot only if the snapshot covers more of the log.
    RestoreOutcome restore(ConfigurationState const &snapshot);

private:
    Cell<ConfigurationState> state;
};

} // namespace almondwing
