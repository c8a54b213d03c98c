// The shares of its limits that a target may use at each ramp level.

#pragma once

#include <LibManifest/Manifest.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace almondwing {

// Each level doubles the share, so a target that can't bear the next level has shown it can bear half of it.
constexpr std::array<std::uint32_t, 5> rampShareDivisors{16, 8, 4, 2, 1};
constexpr std::uint8_t topRampLevel = rampShareDivisors.size() - 1;

// At least one slot and one connection, since a target that gets nothing can't show that it is able to work.
constexpr TargetLimits limitsAtLevel(TargetLimits full, std::uint8_t level)
{
    std::uint32_t const divisor = rampShareDivisors[std::min(level, topRampLevel)];
    return TargetLimits{.slots = std::max(full.slots / divisor, 1U),
                        .connections = std::max(full.connections / divisor, 1U)};
}

} // namespace almondwing
