// Implements the names of states.

#include <LibMessages/StateNames.h>

namespace almondwing {

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

std::string_view targetStateName(TargetState state)
{
    switch (state) {
    case TargetState::Starting:
        return "starting";
    case TargetState::Warm:
        return "warm";
    case TargetState::Draining:
        return "draining";
    case TargetState::Unhealthy:
        return "unhealthy";
    case TargetState::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace almondwing
