// Measurement of processor time, and the statistics that the experiments share.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace almondwing {

// Processor time of the calling thread. Unlike wall-clock time, it excludes the time during which a shared
// machine runs other processes.
std::chrono::nanoseconds threadCpuTime();

// Median and range of repeated measurements.
struct SampleSummary
{
    double median = 0;
    double minimum = 0;
    double maximum = 0;

    friend bool operator==(SampleSummary const &, SampleSummary const &) = default;
};

// Requires at least one value.
SampleSummary summarize(std::vector<double> values);

struct Point
{
    double x = 0;
    double y = 0;

    friend bool operator==(Point const &, Point const &) = default;
};

// A least-squares line, and the range of the slopes between neighbouring points.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    double minSlope = 0;
    double maxSlope = 0;

    friend bool operator==(LinearFit const &, LinearFit const &) = default;
};

// Requires at least two points, in ascending order of x.
LinearFit fitLine(std::span<Point const> points);

// Runs `rounds` rounds of `count` calls each and summarizes the processor time per call, in nanoseconds, over
// the rounds. `call` receives the index of the call in its round.
SampleSummary measureCalls(int rounds, std::size_t count, std::function<void(std::size_t)> const &call);

} // namespace almondwing
