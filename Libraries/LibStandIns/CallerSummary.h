// The results that a caller stand-in prints when it ends.

#pragma once

#include <LibStandIns/CallerBlackboard.h>

#include <string>
#include <vector>

namespace almondwing {

enum class Verdict : std::uint8_t { Passed, Failed };

// Returns Passed if every request of the plan was answered or got NotRun or OutcomeUnknown, and no received
// byte was wrong.
Verdict callerVerdict(CallerBlackboard const &blackboard, CallerPlan const &plan);

std::string summaryJson(CallerBlackboard const &blackboard, CallerPlan const &plan);

// Returns one line of the outcome file, which tests compare with the execution ledgers of the targets.
std::string outcomeJson(RequestKey const &key, CallerRequest const &request, Idempotency idempotency);

// Returns the nearest-rank percentile: the minimum value that at least this fraction of the values do not
// exceed. Returns zero if there are no values.
Duration percentile(std::vector<Duration> values, double fraction);

} // namespace almondwing
