// Implements the ramp.

#include <LibTargets/Ramp.h>

#include <algorithm>

namespace almondwing {

namespace {

bool wentBack(RampCounts const &counts, RampCounts const &earlier)
{
    return counts.answered < earlier.answered || counts.accepted < earlier.accepted
        || counts.shed < earlier.shed || counts.slow < earlier.slow;
}

bool isSlow(RampProgress const &progress, RampCounts const &counts)
{
    auto const slow = counts.slow - progress.atSlowWindowBegin.slow;
    auto const answered = counts.answered - progress.atSlowWindowBegin.answered;
    return slow >= slowAnswerLimit && slow * slowAnswerShare >= answered;
}

void startLevel(RampProgress &progress, std::uint8_t level, RampCounts const &counts, Timestamp now)
{
    progress.level = level;
    progress.levelSince = now;
    progress.atLevelBegin = counts;
}

void startSlowWindow(RampProgress &progress, RampCounts const &counts, Timestamp now)
{
    progress.slowWindowBegin = now;
    progress.atSlowWindowBegin = counts;
}

void setCeiling(RampProgress &progress, Timestamp now)
{
    bool const isRepeated = progress.lastFall && now - *progress.lastFall < fallMemory + progress.ceilingTime;
    if (!isRepeated) {
        progress.ceilingTime = shortestCeiling;
        return;
    }
    progress.ceiling = static_cast<std::uint8_t>(progress.level - 1);
    progress.ceilingUntil = now + progress.ceilingTime;
    progress.ceilingTime = std::min(2 * progress.ceilingTime, longestCeiling);
}

RampProgress fall(RampProgress progress, RampCounts const &counts, Timestamp now)
{
    // Sheds of work that was sent before a fall still arrive at level 0 and are no second fall.
    if (progress.level > 0) {
        setCeiling(progress, now);
        progress.lastFall = now;
    }
    startLevel(progress, 0, counts, now);
    startSlowWindow(progress, counts, now);
    return progress;
}

bool hasDoneItsLimit(RampProgress const &progress, RampCounts const &counts, TargetLimits full)
{
    auto const limits = limitsAtLevel(full, progress.level);
    return counts.answered - progress.atLevelBegin.answered >= limits.slots
        || counts.accepted - progress.atLevelBegin.accepted >= limits.connections;
}

} // namespace

RampCounts RampCounts::of(TargetUsage const &usage)
{
    return RampCounts{
        .answered = usage.answered, .accepted = usage.accepted, .shed = usage.shed, .slow = usage.slow};
}

RampProgress startRamp(std::uint8_t level, RampCounts const &counts, Timestamp now)
{
    RampProgress progress;
    startLevel(progress, std::min(level, maxRampLevel), counts, now);
    startSlowWindow(progress, counts, now);
    return progress;
}

RampProgress decideRamp(RampProgress const &progress, RampCounts const &counts, TargetLimits full,
                        RampDirection direction, Timestamp now)
{
    // The counts of another owner's time are void.
    if (wentBack(counts, progress.atLevelBegin) || wentBack(counts, progress.atSlowWindowBegin))
        return startRamp(0, counts, now);
    if (counts.shed > progress.atLevelBegin.shed || isSlow(progress, counts))
        return fall(progress, counts, now);
    auto next = progress;
    if (now - next.slowWindowBegin >= slowWindow)
        startSlowWindow(next, counts, now);
    if (counts.slow > next.atLevelBegin.slow)
        startLevel(next, next.level, counts, now);
    auto const ceiling = now < next.ceilingUntil ? next.ceiling : maxRampLevel;
    if (direction == RampDirection::OnlyDown || next.level >= ceiling
        || now - next.levelSince < minimumTimeAtLevel || !hasDoneItsLimit(next, counts, full))
        return next;
    startLevel(next, static_cast<std::uint8_t>(next.level + 1), counts, now);
    return next;
}

} // namespace almondwing
