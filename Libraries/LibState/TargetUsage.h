// Exact counts of what one target holds, kept by its dispatcher.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace almondwing {

struct TargetUsage
{
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;
    // Slots and connections that a predecessor may have left in use; they count until the given time.
    std::uint32_t inheritedSlots = 0;
    std::uint32_t inheritedConnections = 0;
    Timestamp inheritedUntil;
    // Totals since this instance became dispatcher; the ramp is computed from their growth.
    std::uint64_t answered = 0;
    std::uint64_t accepted = 0;
    std::uint64_t shed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t slow = 0;
    Timestamp lastReceived; // Last packet from the target.

    friend bool operator==(TargetUsage const &, TargetUsage const &) = default;
};

} // namespace almondwing
