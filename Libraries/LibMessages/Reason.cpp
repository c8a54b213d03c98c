// Implements the names of reasons.

#include <LibMessages/Reason.h>

namespace almondwing {

std::string_view reasonName(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::UnknownService:
        return "unknown-service";
    case Reason::NoTarget:
        return "no-target";
    case Reason::TargetFull:
        return "target-full";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::DeadlineTooShort:
        return "deadline-too-short";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::TargetShed:
        return "target-shed";
    case Reason::NoSecondCopy:
        return "no-second-copy";
    case Reason::FailureDomainUnreachable:
        return "failure-domain-unreachable";
    case Reason::FailureDomainTakenOut:
        return "failure-domain-taken-out";
    case Reason::InstanceStopping:
        return "instance-stopping";
    case Reason::LeaseExpired:
        return "lease-expired";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::DispatcherLost:
        return "dispatcher-lost";
    case Reason::TargetLost:
        return "target-lost";
    case Reason::TargetSilent:
        return "target-silent";
    case Reason::UnknownFlow:
        return "unknown-flow";
    case Reason::AnswerIncomplete:
        return "answer-incomplete";
    case Reason::RetryBudgetSpent:
        return "retry-budget-spent";
    case Reason::LocateIncomplete:
        return "locate-incomplete";
    case Reason::InstanceStarting:
        return "instance-starting";
    case Reason::RouteUnsettled:
        return "route-unsettled";
    }
    return "unknown-reason";
}

} // namespace almondwing
