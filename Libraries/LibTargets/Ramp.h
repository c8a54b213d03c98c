// The slow-start ramp of a target: the share of its limits that it may use. Pure functions over the totals in
// TargetUsage.
//
// The level rises one step at a time with the work that the target completes. A slow answer restarts the time
// and the count of completed work at the level. Shed requests and too many slow answers reset it to 0. A
// target whose capacity is below its limits would otherwise climb and shed without end, so a second reset
// soon after the first sets a ceiling one level below the level that was reset, for a time that doubles with
// each further reset. A single reset sets no ceiling.

#pragma once

#include <LibCore/Time.h>
#include <LibManifest/Manifest.h>
#include <LibState/RampLevel.h>
#include <LibState/TargetUsage.h>

#include <cstdint>
#include <optional>

namespace almondwing {

// Without a minimum time at each level, a burst of short requests could raise a cold target through all
// levels before its caches are filled.
constexpr Duration minTimeAtLevel = 1s;
// A reset is a repeated one if the previous reset was less than this time plus ceilingDuration ago.
constexpr Duration repeatedResetWindow = 60s;
constexpr Duration minCeilingDuration = 30s;
constexpr Duration maxCeilingDuration = 8min;
// Slow answers reset the level if within this window there are at least minSlowAnswers of them and at least
// one answer in slowAnswerDivisor is slow.
constexpr Duration slowWindow = 5s;
constexpr std::uint64_t minSlowAnswers = 3;
constexpr std::uint64_t slowAnswerDivisor = 10;

struct RampCounts
{
    std::uint64_t answered = 0; // Requests.
    std::uint64_t accepted = 0; // Flows.
    std::uint64_t shed = 0;
    std::uint64_t slow = 0;

    static RampCounts of(TargetUsage const &usage);

    friend bool operator==(RampCounts const &, RampCounts const &) = default;
};

struct RampState
{
    std::uint8_t level = 0;
    Timestamp levelSince;
    RampCounts countsAtLevelStart;
    Timestamp slowWindowStart;
    RampCounts countsAtSlowWindowStart;
    std::uint8_t ceiling = maxRampLevel; // Applies until ceilingUntil.
    Timestamp ceilingUntil;
    Duration ceilingDuration = minCeilingDuration;
    std::optional<Timestamp> lastReset{};

    friend bool operator==(RampState const &, RampState const &) = default;
};

// Starts at the given level, which is the published one after a takeover and otherwise 0.
RampState startRamp(std::uint8_t level, RampCounts const &counts, Timestamp now);

enum class RampDirection : std::uint8_t {
    UpAndDown,
    OnlyDown, // The target gets no new work.
};

RampState updateRamp(RampState const &ramp, RampCounts const &counts, TargetLimits fullLimits,
                     RampDirection direction, Timestamp now);

} // namespace almondwing
