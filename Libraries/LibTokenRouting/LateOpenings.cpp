// Implements the decisions about late openings.

#include <LibTokenRouting/LateOpenings.h>

#include <algorithm>
#include <limits>

namespace almondwing {

namespace {

// A percentile of fewer times depends on single packets.
constexpr std::size_t minTimes = 32;

} // namespace

OpeningTimes withTime(OpeningTimes times, Duration time)
{
    auto const limited =
        std::clamp<Duration::rep>(time.count(), 0, std::numeric_limits<std::uint32_t>::max());
    times.microseconds[times.count % OpeningTimes::capacity] = static_cast<std::uint32_t>(limited);
    ++times.count;
    return times;
}

std::optional<Duration> lateAfter(OpeningTimes const &times, RepeatSettings const &settings)
{
    std::size_t const known = std::min<std::uint64_t>(times.count, OpeningTimes::capacity);
    if (known < minTimes)
        return std::nullopt;
    auto sorted = times.microseconds;
    auto const percentile = sorted.begin() + static_cast<std::ptrdiff_t>(known * 95 / 100);
    std::nth_element(sorted.begin(), percentile, sorted.begin() + static_cast<std::ptrdiff_t>(known));
    Duration const late = std::max<Duration>(settings.minWait, Duration(*percentile) * settings.lateFactor);
    return late <= settings.maxWait ? std::optional(late) : std::nullopt;
}

bool mayRepeat(RouteTerms const &terms, RepeatSettings const &settings)
{
    return settings.share > 0 && terms.isRepeatable && terms.latencyObjective >= settings.minObjective;
}

RepeatBudget refilled(RepeatBudget budget, RepeatSettings const &settings)
{
    return RepeatBudget{.repetitions = std::min(budget.repetitions + settings.share, settings.maxBudget)};
}

std::optional<RepeatBudget> withdrawn(RepeatBudget budget)
{
    if (budget.repetitions < 1)
        return std::nullopt;
    return RepeatBudget{.repetitions = budget.repetitions - 1};
}

} // namespace almondwing
