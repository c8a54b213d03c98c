// Judges the load that a target reports against the slots that are in use here. Pure functions.
//
// A report can only lower the limit, and by one level: the endpoint may lag or lie, and a target that is
// really overloaded sheds, which leads to level 0. Load counts as foreign when it is far above all use by
// this dispatcher since the report before, twice in a row, so that a report that lags by one check does no
// harm.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/TargetAnnouncement.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr double foreignLoadLimit = 0.5; // Share of all slots.
constexpr std::uint32_t foreignReportsToLower = 2;
// A report that is not renewed for this time is outdated.
constexpr Duration loweredTime = 10s;

struct LoadProgress
{
    std::uint32_t busyAtLastReport = 0;
    std::uint32_t foreignReports = 0; // In a row.
    std::optional<Timestamp> loweredUntil{};

    friend bool operator==(LoadProgress const &, LoadProgress const &) = default;
};

// Reports without a load, or with a load outside of 0 to 1, change nothing.
LoadProgress noteLoad(LoadProgress const &progress, HealthReport const &report, std::uint32_t busySlots,
                      std::uint32_t fullSlots, Timestamp now);

std::uint8_t lowerByLoad(LoadProgress const &progress, std::uint8_t level, Timestamp now);

} // namespace almondwing
