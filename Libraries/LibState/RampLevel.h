// The shares of its limits that a target may use at each ramp level.

#pragma once

#include <LibManifest/Manifest.h>

#include <algorithm>
#include <cstdint>

namespace almondwing {

constexpr std::uint8_t maxRampLevel = 4;

// Level 0 gives one part of this many, and each level twice as much as the one before, so a target that can't
// bear the next level has shown that it can bear half of it.
constexpr std::uint32_t lowestShareDivisor = 16;

// The limits in force at a level; at least one slot and one connection, since a target that gets nothing
// can't show that it is able to work.
constexpr TargetLimits limitsAtLevel(TargetLimits full, std::uint8_t level)
{
    std::uint32_t const divisor = lowestShareDivisor >> std::min(level, maxRampLevel);
    return TargetLimits{.slots = std::max(full.slots / divisor, std::min(full.slots, 1U)),
                        .connections = std::max(full.connections / divisor, std::min(full.connections, 1U))};
}

} // namespace almondwing
