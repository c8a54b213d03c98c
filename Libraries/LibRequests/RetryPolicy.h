// Pure decisions about retries: the budget of a service, and whether one more try makes sense.

#pragma once

#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>

#include <cstdint>
#include <optional>

namespace almondwing {

// One retry for ten fresh requests keeps retries at 10% of fresh work.
constexpr std::uint32_t tokensPerRetry = 10;
constexpr std::uint32_t tokensPerRequest = 1;
// Saved budget; more would allow a burst of retries when a target starts to shed after a quiet time.
constexpr std::uint32_t maxRetryTokens = 10 * tokensPerRetry;

RetryBudget earnRetry(RetryBudget budget);
std::optional<RetryBudget> spendRetry(RetryBudget budget);

// When a shed try may be tried again, or nullopt if the deadline or the number of tries forbids it.
std::optional<Timestamp> retryTime(RequestRecord const &record, Duration retryAfter,
                                   RequestSettings const &settings, Timestamp now);

} // namespace almondwing
