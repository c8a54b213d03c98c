// Reasons in NotRun, OutcomeUnknown, FlowRefused and FlowBroken. The numbers are part of the wire format.

#pragma once

#include <cstdint>
#include <string_view>

namespace almondwing {

enum class Reason : std::uint8_t {
    None = 0,
    UnknownService = 1,
    NoTarget = 2,
    TargetFull = 3,
    QueueFull = 4,
    DeadlineTooShort = 5,
    DeadlinePassed = 6,
    TargetShed = 7,
    NoSecondCopy = 8,
    FailureDomainUnreachable = 9,
    FailureDomainTakenOut = 10,
    InstanceStopping = 11,
    LeaseExpired = 12,
    Cancelled = 13,
    DispatcherLost = 14,
    TargetLost = 15,
    TargetSilent = 16,
    UnknownFlow = 17,
    AnswerIncomplete = 18,
    RetryBudgetSpent = 19,
    LocateIncomplete = 20,
    InstanceStarting = 21,
    RouteUnsettled = 22, // The bucket tables of the instances differ, for example just after a target left.
};

// Returns the name used in logs, metrics and `almondwingctl explain`, for example "queue-full".
std::string_view reasonName(Reason reason);

} // namespace almondwing
