// Implements the judgement of load reports.

#include <LibTargets/LoadReport.h>

#include <algorithm>

namespace almondwing {

LoadProgress noteLoad(LoadProgress const &progress, HealthReport const &report, std::uint32_t busySlots,
                      std::uint32_t fullSlots, Timestamp now)
{
    // The comparison is also false for a value that is not a number.
    bool const isPossible = report.hasLoad && report.load >= 0 && report.load <= 1;
    if (!isPossible || fullSlots == 0)
        return progress;
    auto next = progress;
    auto const ownLoad = static_cast<double>(std::max(busySlots, progress.busyAtLastReport)) / fullSlots;
    next.busyAtLastReport = busySlots;
    next.foreignReports = report.load - ownLoad > foreignLoadLimit ? progress.foreignReports + 1 : 0;
    if (next.foreignReports >= foreignReportsToLower)
        next.loweredUntil = now + loweredTime;
    return next;
}

std::uint8_t lowerByLoad(LoadProgress const &progress, std::uint8_t level, Timestamp now)
{
    bool const isLowered = progress.loweredUntil && now < *progress.loweredUntil;
    return isLowered && level > 0 ? static_cast<std::uint8_t>(level - 1) : level;
}

} // namespace almondwing
