// What a caller stand-in reports at its end.

#pragma once

#include <LibStandIns/CallerBoard.h>

#include <string>
#include <vector>

namespace almondwing {

enum class Verdict : std::uint8_t { Passed, Failed };

// Passed if every request of the plan got a definite outcome and no byte was wrong.
Verdict judgeCaller(CallerBoard const &board, CallerPlan const &plan);

std::string summaryJson(CallerBoard const &board, CallerPlan const &plan);

// One line of the file of outcomes, which tests compare with the ledgers of the targets.
std::string outcomeJson(RequestKey const &key, CallerRequest const &request, Idempotency idempotency);

// The smallest value that at least this share of the values do not exceed; zero without values.
Duration percentile(std::vector<Duration> values, double share);

} // namespace almondwing
