// Implements the evaluation of health checks.

#include <LibTargets/Health.h>

#include <algorithm>

namespace almondwing {

namespace {

// The totals of TargetUsage restart at zero after a takeover.
std::uint64_t growth(std::uint64_t now, std::uint64_t before)
{
    return now >= before ? now - before : now;
}

} // namespace

HealthState initialHealth(TargetUsage const &usage, Timestamp now)
{
    return HealthState{.previousCompleted = usage.answered + usage.accepted,
                       .previousTimedOut = usage.timedOut,
                       .previousLastReceived = usage.lastReceived,
                       .lastSeenAt = now};
}

CheckResult evaluateCheck(HealthState const &health, TargetUsage const &usage, HealthAnswer answer,
                          AnnouncementStatus announcement)
{
    auto const answered = growth(usage.answered + usage.accepted, health.previousCompleted);
    auto const timedOut = growth(usage.timedOut, health.previousTimedOut);
    if (timedOut > answered)
        return CheckResult::Failure;
    if (answered > 0 || usage.lastReceived > health.previousLastReceived)
        return CheckResult::Success;
    if (announcement == AnnouncementStatus::Overdue)
        return CheckResult::Failure;
    return answer == HealthAnswer::Healthy ? CheckResult::Success : CheckResult::Failure;
}

HealthState recordCheckResult(HealthState const &health, TargetUsage const &usage, HealthAnswer answer,
                              AnnouncementStatus announcement, Timestamp now)
{
    bool const isSuccess = evaluateCheck(health, usage, answer, announcement) == CheckResult::Success;
    auto next = health;
    next.successes = isSuccess ? health.successes + 1 : 0;
    next.failures = isSuccess ? 0 : health.failures + 1;
    if (usage.lastReceived > health.previousLastReceived || answer != HealthAnswer::NoAnswer)
        next.lastSeenAt = now;
    next.previousCompleted = usage.answered + usage.accepted;
    next.previousTimedOut = usage.timedOut;
    next.previousLastReceived = usage.lastReceived;
    return next;
}

bool isFailing(HealthState const &health)
{
    return health.failures >= failuresToExclude;
}

bool isReadyToReturn(HealthState const &health)
{
    return health.inclusion == Inclusion::Excluded && health.successes >= health.successesNeeded;
}

HealthState exclude(HealthState health, Timestamp now)
{
    bool const isRepeated = health.lastRecovery && now - *health.lastRecovery < repeatedExclusionWindow;
    health.successesNeeded =
        isRepeated ? std::min(2 * health.successesNeeded, maxSuccessesToReturn) : successesToReturn;
    health.inclusion = Inclusion::Excluded;
    health.successes = 0;
    return health;
}

HealthState includeAfterRecovery(HealthState health, Timestamp now)
{
    health.inclusion = Inclusion::Included;
    health.lastRecovery = now;
    health.failures = 0;
    return health;
}

} // namespace almondwing
