// Implements the processor time and the statistics.

#include "Measuring.h"

#include <LibCore/Verify.h>

#include <algorithm>
#include <ctime>

namespace almondwing {

std::chrono::nanoseconds threadCpuTime()
{
    timespec time{};
    VERIFY(clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) == 0);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

SampleSummary summarize(std::vector<double> values)
{
    VERIFY(!values.empty());
    std::ranges::sort(values);
    return SampleSummary{
        .median = values[values.size() / 2], .minimum = values.front(), .maximum = values.back()};
}

LinearFit fitLine(std::span<Point const> points)
{
    VERIFY(points.size() >= 2);
    double meanX = 0;
    double meanY = 0;
    for (Point const point : points) {
        meanX += point.x / static_cast<double>(points.size());
        meanY += point.y / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (Point const point : points) {
        covariance += (point.x - meanX) * (point.y - meanY);
        variance += (point.x - meanX) * (point.x - meanX);
    }
    std::vector<double> stepSlopes;
    for (std::size_t index = 1; index < points.size(); ++index)
        stepSlopes.push_back((points[index].y - points[index - 1].y)
                             / (points[index].x - points[index - 1].x));
    auto const [minSlope, maxSlope] = std::ranges::minmax(stepSlopes);
    double const slope = covariance / variance;
    return LinearFit{
        .slope = slope, .intercept = meanY - slope * meanX, .minSlope = minSlope, .maxSlope = maxSlope};
}

SampleSummary measureCalls(int rounds, std::size_t count, std::function<void(std::size_t)> const &call)
{
    std::vector<double> samples;
    samples.reserve(static_cast<std::size_t>(rounds));
    for (int round = 0; round < rounds; ++round) {
        auto const start = threadCpuTime();
        for (std::size_t index = 0; index < count; ++index)
            call(index);
        samples.push_back(static_cast<double>((threadCpuTime() - start).count())
                          / static_cast<double>(count));
    }
    return summarize(std::move(samples));
}

} // namespace almondwing
