// Implements the slow-start ramp.

#include <LibTargets/Ramp.h>

#include <algorithm>

namespace almondwing {

namespace {

bool hasDecreased(RampCounts const &counts, RampCounts const &earlier)
{
    return counts.answered < earlier.answered || counts.accepted < earlier.accepted
        || counts.shed < earlier.shed || counts.slow < earlier.slow;
}

bool isSlow(RampState const &ramp, RampCounts const &counts)
{
    auto const slow = counts.slow - ramp.countsAtSlowWindowStart.slow;
    auto const answered = counts.answered - ramp.countsAtSlowWindowStart.answered;
    return slow >= minSlowAnswers && slow * slowAnswerDivisor >= answered;
}

void startLevel(RampState &ramp, std::uint8_t level, RampCounts const &counts, Timestamp now)
{
    ramp.level = level;
    ramp.levelSince = now;
    ramp.countsAtLevelStart = counts;
}

void startSlowWindow(RampState &ramp, RampCounts const &counts, Timestamp now)
{
    ramp.slowWindowStart = now;
    ramp.countsAtSlowWindowStart = counts;
}

void setCeiling(RampState &ramp, Timestamp now)
{
    bool const isRepeated =
        ramp.lastReset && now - *ramp.lastReset < repeatedResetWindow + ramp.ceilingDuration;
    if (!isRepeated) {
        ramp.ceilingDuration = minCeilingDuration;
        return;
    }
    ramp.ceiling = static_cast<std::uint8_t>(ramp.level - 1);
    ramp.ceilingUntil = now + ramp.ceilingDuration;
    ramp.ceilingDuration = std::min(2 * ramp.ceilingDuration, maxCeilingDuration);
}

RampState resetLevel(RampState ramp, RampCounts const &counts, Timestamp now)
{
    // Sheds of work that was sent before a reset may arrive after it and must not count as a second reset.
    if (ramp.level > 0) {
        setCeiling(ramp, now);
        ramp.lastReset = now;
    }
    startLevel(ramp, 0, counts, now);
    startSlowWindow(ramp, counts, now);
    return ramp;
}

bool hasCompletedEnoughWork(RampState const &ramp, RampCounts const &counts, TargetLimits fullLimits)
{
    auto const limits = limitsAtLevel(fullLimits, ramp.level);
    return counts.answered - ramp.countsAtLevelStart.answered >= limits.slots
        || counts.accepted - ramp.countsAtLevelStart.accepted >= limits.connections;
}

} // namespace

RampCounts RampCounts::of(TargetUsage const &usage)
{
    return RampCounts{
        .answered = usage.answered, .accepted = usage.accepted, .shed = usage.shed, .slow = usage.slow};
}

RampState startRamp(std::uint8_t level, RampCounts const &counts, Timestamp now)
{
    RampState ramp;
    startLevel(ramp, std::min(level, maxRampLevel), counts, now);
    startSlowWindow(ramp, counts, now);
    return ramp;
}

RampState updateRamp(RampState const &ramp, RampCounts const &counts, TargetLimits fullLimits,
                     RampDirection direction, Timestamp now)
{
    // The totals restart at 0 at a takeover, so totals that have decreased show that one happened after the
    // counts in `ramp` were taken. The ramp then starts again at level 0, the lowest.
    if (hasDecreased(counts, ramp.countsAtLevelStart) || hasDecreased(counts, ramp.countsAtSlowWindowStart))
        return startRamp(0, counts, now);
    if (counts.shed > ramp.countsAtLevelStart.shed || isSlow(ramp, counts))
        return resetLevel(ramp, counts, now);
    auto next = ramp;
    if (now - next.slowWindowStart >= slowWindow)
        startSlowWindow(next, counts, now);
    // A slow answer restarts the time and the count of completed work at this level.
    if (counts.slow > next.countsAtLevelStart.slow)
        startLevel(next, next.level, counts, now);
    auto const ceiling = now < next.ceilingUntil ? next.ceiling : maxRampLevel;
    if (direction == RampDirection::OnlyDown || next.level >= ceiling
        || now - next.levelSince < minTimeAtLevel || !hasCompletedEnoughWork(next, counts, fullLimits))
        return next;
    startLevel(next, static_cast<std::uint8_t>(next.level + 1), counts, now);
    return next;
}

} // namespace almondwing
