// The record of one open flow, kept by the dispatcher of its target.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

namespace almondwing {

enum class FlowState : std::uint8_t {
    Opening, // The target has not accepted the flow yet; it counts against the connection limit.
    Open,
    Exception, // Known from a predecessor, not yet served here.
};

struct FlowRecord
{
    TargetId target;
    Endpoint caller;
    FlowState state = FlowState::Opening;
    Timestamp lastFromCaller;
    Timestamp lastFromTarget;

    friend bool operator==(FlowRecord const &, FlowRecord const &) = default;
};

} // namespace almondwing
