// The load of one target, as its dispatcher counts it.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace almondwing {

struct TargetUsage
{
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;
    // Slots and connections that a previous dispatcher may have left in use. They count until inheritedUntil.
    std::uint32_t inheritedSlots = 0;
    std::uint32_t inheritedConnections = 0;
    Timestamp inheritedUntil;
    // Totals since this instance became the dispatcher. The ramp level is computed from their increase.
    std::uint64_t answered = 0; // Tries with a complete answer.
    std::uint64_t accepted = 0; // Flows.
    std::uint64_t shed = 0; // Tries.
    std::uint64_t timedOut = 0; // Tries.
    std::uint64_t slow = 0; // Tries that were answered slowly; included in `answered`.
    // When the target last accepted a flow, or started, shed or completely answered a try.
    Timestamp lastReceived;

    friend bool operator==(TargetUsage const &, TargetUsage const &) = default;
};

} // namespace almondwing
