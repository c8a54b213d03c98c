// Implements the retry decisions.

#include <LibRequests/RetryPolicy.h>

#include <algorithm>

namespace almondwing {

RetryBudget earnRetry(RetryBudget budget)
{
    return {.tokens = std::min(budget.tokens + tokensPerRequest, maxRetryTokens)};
}

std::optional<RetryBudget> spendRetry(RetryBudget budget)
{
    if (budget.tokens < tokensPerRetry)
        return std::nullopt;
    return RetryBudget{.tokens = budget.tokens - tokensPerRetry};
}

std::optional<Timestamp> retryTime(RequestRecord const &record, Duration retryAfter,
                                   RequestSettings const &settings, Timestamp now)
{
    if (record.tries >= settings.maxTries || record.cancelReason != Reason::None)
        return std::nullopt;
    Timestamp const time = now + std::max(retryAfter, settings.minRetryDelay);
    if (time >= record.deadline)
        return std::nullopt;
    return time;
}

} // namespace almondwing
