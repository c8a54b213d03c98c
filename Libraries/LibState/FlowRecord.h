// The records that an instance has about flows: open flows at their dispatcher, copies for other dispatchers,
// and results of searches for a flow.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace almondwing {

enum class FlowState : std::uint8_t {
    Opening, // The target has not accepted the flow yet, but the flow counts against the connection limit.
    Open,
    // Taken over from a previous dispatcher, with or without a copy of its record. The target has not sent a
    // packet of the flow to this instance yet.
    Adopted,
};

struct FlowRecord
{
    TargetId target;
    Endpoint caller;
    FlowState state = FlowState::Opening;
    std::uint64_t targetStart = 0; // The start mark of the target process that accepted the flow.
    Timestamp lastFromCaller;
    Timestamp lastFromTarget;
    // The time of the first packet to the target that it has not answered, or zero if there is none.
    Timestamp unansweredSince;

    friend bool operator==(FlowRecord const &, FlowRecord const &) = default;
};

// Whether a dispatcher has seen all flows of a target since the target started.
enum class FlowTableState : std::uint8_t {
    Complete, // A flow without a record does not exist at the target.
    Partial, // After a takeover, restart or pause, the target may have flows without a record.
};

struct FlowTableStatus
{
    FlowTableState state = FlowTableState::Complete;
    std::uint64_t targetStart = 0;
    Timestamp since;

    friend bool operator==(FlowTableStatus const &, FlowTableStatus const &) = default;
};

// The copy of a flow sent to another instance, as an exception (not at the target of its bucket) or at a
// handover. The receiver makes it a flow record when it becomes the dispatcher of the target.
struct FlowCopy
{
    TargetId target;
    Endpoint caller;
    Timestamp receivedAt = {}; // When this instance received the copy; zero for a copy that it sent itself.

    friend bool operator==(FlowCopy const &, FlowCopy const &) = default;
};

// The location of a flow that is not at the target of its bucket. It is soft state and may be dropped at any
// time.
struct FlowRedirect
{
    TargetId target;
    // Set if another dispatcher is opening the flow at the target. The routing view of this instance may not
    // contain that target yet.
    InstanceId dispatcher;
    Timestamp lastUsed; // When the redirect was last written; lookups do not update it.

    friend bool operator==(FlowRedirect const &, FlowRedirect const &) = default;
};

// The targets dispatched here that reported a flow as unknown. The flow is not adopted for them again, so
// that a search reaches every target that may have it.
struct TargetsWithoutFlow
{
    std::vector<TargetId> targets;
    Timestamp lastAdded;

    friend bool operator==(TargetsWithoutFlow const &, TargetsWithoutFlow const &) = default;
};

} // namespace almondwing
