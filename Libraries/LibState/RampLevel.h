// The slow start of targets: the share of its limits that a target may use at each ramp level.

#pragma once

#include <LibManifest/Manifest.h>

#include <algorithm>
#include <cstdint>

namespace almondwing {

constexpr std::uint8_t maxRampLevel = 4;

// Level 0 allows the limits divided by this number, and each level allows twice as much as the one before. A
// target that is overloaded at the next level has therefore shown that it can serve half of that load.
constexpr std::uint32_t levelZeroDivisor = 16;

// The limits in effect at a level. They allow at least one slot and one connection, because a target without
// any load can't show that it works. A full limit of 0 remains 0.
constexpr TargetLimits limitsAtLevel(TargetLimits full, std::uint8_t level)
{
    std::uint32_t const divisor = levelZeroDivisor >> std::min(level, maxRampLevel);
    return TargetLimits{.slots = std::max(full.slots / divisor, std::min(full.slots, 1U)),
                        .connections = std::max(full.connections / divisor, std::min(full.connections, 1U))};
}

} // namespace almondwing
