// Implements the evaluation of load reports.

#include <LibTargets/LoadReport.h>

#include <algorithm>

namespace almondwing {

LoadState recordLoad(LoadState const &load, HealthReport const &report, std::uint32_t busySlots,
                     std::uint32_t fullSlots, Timestamp now)
{
    // The comparisons are false for NaN.
    bool const isValid = report.hasLoad && report.load >= 0 && report.load <= 1;
    if (!isValid || fullSlots == 0)
        return load;
    auto next = load;
    auto const ownLoad = static_cast<double>(std::max(busySlots, load.busyAtLastReport)) / fullSlots;
    next.busyAtLastReport = busySlots;
    next.externalReports = report.load - ownLoad > externalLoadThreshold ? load.externalReports + 1 : 0;
    if (next.externalReports >= externalReportsToLower)
        next.loweredUntil = now + loweredDuration;
    return next;
}

std::uint8_t lowerByLoad(LoadState const &load, std::uint8_t level, Timestamp now)
{
    bool const isLowered = load.loweredUntil && now < *load.loweredUntil;
    return isLowered && level > 0 ? static_cast<std::uint8_t>(level - 1) : level;
}

} // namespace almondwing
