// Pure functions that compare the load that a target reports with the slots that this dispatcher uses there.
//
// A report can lower the ramp level by one and never raise it: the endpoint may be behind or wrong, and a
// target that really is overloaded sheds work, which resets the ramp to level 0. The load counts as external,
// that is, not caused by this dispatcher, if two consecutive reports exceed the share of the slots that it
// uses by more than externalLoadThreshold. Each report is compared with the higher of the shares in use at
// this report and at the previous one, so that a report that lags by one check has no effect.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/TargetAnnouncement.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr double externalLoadThreshold = 0.5; // As a share of all slots.
constexpr std::uint32_t externalReportsToLower = 2;
// The level is lowered until no report has shown external load for this time.
constexpr Duration loweredDuration = 10s;

struct LoadState
{
    std::uint32_t busyAtLastReport = 0;
    std::uint32_t externalReports = 0; // Consecutive.
    std::optional<Timestamp> loweredUntil{};

    friend bool operator==(LoadState const &, LoadState const &) = default;
};

// Ignores reports without a load or with a load outside of 0 to 1.
LoadState recordLoad(LoadState const &load, HealthReport const &report, std::uint32_t busySlots,
                     std::uint32_t fullSlots, Timestamp now);

std::uint8_t lowerByLoad(LoadState const &load, std::uint8_t level, Timestamp now);

} // namespace almondwing
