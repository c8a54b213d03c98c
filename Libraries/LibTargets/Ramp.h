// Decides which share of its limits a target may use: up with work that it has done, down as soon as it looks
// cold. Pure functions over the totals in TargetUsage.
//
// A shed always leads back to level 0. To keep a target whose capacity is below its limits from climbing and
// shedding for ever, a second fall soon after the first sets a ceiling one level below the level it fell
// from, for a time that doubles with each further fall. A single shed sets no ceiling.

#pragma once

#include <LibCore/Time.h>
#include <LibManifest/Manifest.h>
#include <LibState/RampLevel.h>
#include <LibState/TargetUsage.h>

#include <cstdint>
#include <optional>

namespace almondwing {

// A burst of short requests could otherwise lift a cold target through all levels before its caches are
// filled.
constexpr Duration minimumTimeAtLevel = 1s;
constexpr Duration fallMemory = 60s;
constexpr Duration shortestCeiling = 30s;
constexpr Duration longestCeiling = 8min;
// Slow answers are judged over this window: at least this many, and at least one in ten.
constexpr Duration slowWindow = 5s;
constexpr std::uint64_t slowAnswerLimit = 3;
constexpr std::uint64_t slowAnswerShare = 10;

struct RampCounts
{
    std::uint64_t answered = 0;
    std::uint64_t accepted = 0;
    std::uint64_t shed = 0;
    std::uint64_t slow = 0;

    static RampCounts of(TargetUsage const &usage);

    friend bool operator==(RampCounts const &, RampCounts const &) = default;
};

struct RampProgress
{
    std::uint8_t level = 0;
    Timestamp levelSince;
    RampCounts atLevelBegin;
    Timestamp slowWindowBegin;
    RampCounts atSlowWindowBegin;
    std::uint8_t ceiling = maxRampLevel; // Holds until ceilingUntil.
    Timestamp ceilingUntil;
    Duration ceilingTime = shortestCeiling;
    std::optional<Timestamp> lastFall{};

    friend bool operator==(RampProgress const &, RampProgress const &) = default;
};

// Starts to count at a level: 0 for a target that has started, another one after a takeover.
RampProgress startRamp(std::uint8_t level, RampCounts const &counts, Timestamp now);

enum class RampDirection : std::uint8_t {
    UpAndDown,
    OnlyDown, // The target gets no new work.
};

RampProgress decideRamp(RampProgress const &progress, RampCounts const &counts, TargetLimits full,
                        RampDirection direction, Timestamp now);

} // namespace almondwing
