// Pure functions that decide about retries: the retry budget of a service, and whether and when a request is
// tried again.

#pragma once

#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>

#include <cstdint>
#include <optional>

namespace almondwing {

// One retry for every ten new requests limits retries to 10% of the new requests.
constexpr std::uint32_t tokensPerRetry = 10;
constexpr std::uint32_t tokensPerRequest = 1;
// Limits the budget that accumulates. More would allow a burst of retries when a target starts to shed
// requests after a time without retries.
constexpr std::uint32_t maxRetryTokens = 10 * tokensPerRetry;

RetryBudget refillRetryBudget(RetryBudget budget);
std::optional<RetryBudget> spendRetryBudget(RetryBudget budget);

// Returns when a request may be tried again after its try was shed, or nullopt if the deadline, a
// cancellation or the number of tries rules a retry out.
std::optional<Timestamp> retryTime(RequestRecord const &record, Duration retryAfter,
                                   RequestSettings const &settings, Timestamp now);

} // namespace almondwing
