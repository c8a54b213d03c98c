// Implements the judgement of checks.

#include <LibTargets/Health.h>

#include <algorithm>

namespace almondwing {

namespace {

// Totals start again at zero after a takeover.
std::uint64_t growth(std::uint64_t now, std::uint64_t before)
{
    return now >= before ? now - before : now;
}

} // namespace

HealthProgress startHealth(TargetUsage const &usage, Timestamp now)
{
    return HealthProgress{.answeredSeen = usage.answered + usage.accepted,
                          .timedOutSeen = usage.timedOut,
                          .previousLastReceived = usage.lastReceived,
                          .lastSignOfLife = now};
}

CheckResult judgeCheck(HealthProgress const &progress, TargetUsage const &usage, HealthAnswer endpoint,
                       AnnouncementAge announcement)
{
    auto const answered = growth(usage.answered + usage.accepted, progress.answeredSeen);
    auto const timedOut = growth(usage.timedOut, progress.timedOutSeen);
    if (timedOut > answered)
        return CheckResult::Failure;
    if (answered > 0 || usage.lastReceived > progress.previousLastReceived)
        return CheckResult::Success;
    if (announcement == AnnouncementAge::Missing)
        return CheckResult::Failure;
    return endpoint == HealthAnswer::Healthy ? CheckResult::Success : CheckResult::Failure;
}

HealthProgress noteCheck(HealthProgress const &progress, TargetUsage const &usage, HealthAnswer endpoint,
                         AnnouncementAge announcement, Timestamp now)
{
    bool const isSuccess = judgeCheck(progress, usage, endpoint, announcement) == CheckResult::Success;
    auto next = progress;
    next.successes = isSuccess ? progress.successes + 1 : 0;
    next.failures = isSuccess ? 0 : progress.failures + 1;
    if (usage.lastReceived > progress.previousLastReceived || endpoint != HealthAnswer::NoAnswer)
        next.lastSignOfLife = now;
    next.answeredSeen = usage.answered + usage.accepted;
    next.timedOutSeen = usage.timedOut;
    next.previousLastReceived = usage.lastReceived;
    return next;
}

bool isFailing(HealthProgress const &progress)
{
    return progress.failures >= failuresToExclude;
}

bool isReadyToReturn(HealthProgress const &progress)
{
    return progress.inclusion == Inclusion::Excluded && progress.successes >= progress.successesNeeded;
}

HealthProgress exclude(HealthProgress progress, Timestamp now)
{
    bool const isRelapse = progress.lastReturn && now - *progress.lastReturn < relapseMemory;
    progress.successesNeeded =
        isRelapse ? std::min(2 * progress.successesNeeded, mostSuccessesToReturn) : successesToReturn;
    progress.inclusion = Inclusion::Excluded;
    progress.successes = 0;
    return progress;
}

HealthProgress includeAgain(HealthProgress progress, Timestamp now)
{
    progress.inclusion = Inclusion::InUse;
    progress.lastReturn = now;
    progress.failures = 0;
    return progress;
}

} // namespace almondwing
