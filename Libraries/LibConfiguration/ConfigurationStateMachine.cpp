// Applies changes to the state of the configuration.

#include <LibConfiguration/ConfigurationStateMachine.h>

namespace almondwing {

ChangeOutcome ConfigurationStateMachine::apply(std::uint64_t index, ChangeRequest const &request)
{
    // A restore that comes in between makes the decision void; it is made again on the restored state.
    for (;;) {
        auto const current = this->state.read();
        AppliedChange applied = applyChange(*current, index, request);
        if (this->state.replace(current, std::move(applied.state)))
            return std::move(applied.outcome);
    }
}

RestoreOutcome ConfigurationStateMachine::restore(ConfigurationState const &snapshot)
{
    for (;;) {
        auto const current = this->state.read();
        if (snapshot.lastIndex <= current->lastIndex)
            return RestoreOutcome::NotNewer;
        if (this->state.replace(current, snapshot))
            return RestoreOutcome::Restored;
    }
}

} // namespace almondwing
