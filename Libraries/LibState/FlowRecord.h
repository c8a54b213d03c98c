// The record of one open flow, kept by the dispatcher of its target.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace almondwing {

enum class FlowState : std::uint8_t {
    Opening, // The target has not accepted the flow yet; it counts against the connection limit.
    Open,
    Adopted, // Taken over from a predecessor without its record; the target has not confirmed it yet.
};

struct FlowRecord
{
    TargetId target;
    Endpoint caller;
    FlowState state = FlowState::Opening;
    std::uint64_t targetStart = 0; // Start mark of the target that accepted the flow.
    Timestamp lastFromCaller;
    Timestamp lastFromTarget;
    Timestamp unansweredSince; // First packet to the target that it has not answered; zero if there is none.

    friend bool operator==(FlowRecord const &, FlowRecord const &) = default;
};

// Whether a dispatcher has seen all flows of a target since the target started.
enum class FlowTableState : std::uint8_t {
    Complete, // An unknown flow does not exist at the target.
    Partial, // Taken over from a predecessor; an unknown flow may exist.
};

struct FlowTableStatus
{
    FlowTableState state = FlowTableState::Complete;
    std::uint64_t targetStart = 0;
    Timestamp since;

    friend bool operator==(FlowTableStatus const &, FlowTableStatus const &) = default;
};

// A flow that another instance told this one about: as the copy of an exception, or at a handover. It becomes
// a flow record when this instance dispatches for the target.
struct FlowCopy
{
    TargetId target;
    Endpoint caller;
    Timestamp receivedAt = {}; // By this instance; the beginning of time for one that it has sent.

    friend bool operator==(FlowCopy const &, FlowCopy const &) = default;
};

// Where a dispatcher found a flow that is not at the target of its bucket. Soft state: it may be dropped at
// any time.
struct FlowRedirect
{
    TargetId target;
    // Set if another dispatcher is about to open the flow at the target; this instance's view may not contain
    // it yet.
    InstanceId dispatcher;
    Timestamp lastUsed;

    friend bool operator==(FlowRedirect const &, FlowRedirect const &) = default;
};

// Targets of this instance that have said that they do not know a flow. It is not adopted for them again, so
// that a search reaches each target that may have the flow.
struct FlowMisses
{
    std::vector<TargetId> targets;
    Timestamp lastAdded;

    friend bool operator==(FlowMisses const &, FlowMisses const &) = default;
};

} // namespace almondwing
