// Processor time, and the statistics that the experiments share.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace almondwing {

// Processor time of the calling thread. Unlike wall-clock time it leaves out the time in which a shared
// machine runs something else.
std::chrono::nanoseconds threadTime();

// Median and extremes of repeated measurements.
struct Spread
{
    double median = 0;
    double lowest = 0;
    double highest = 0;

    friend bool operator==(Spread const &, Spread const &) = default;
};

// At least one value.
Spread spreadOf(std::vector<double> values);

struct Point
{
    double x = 0;
    double y = 0;

    friend bool operator==(Point const &, Point const &) = default;
};

// The least-squares slope, and the range of the slopes between neighbouring points.
struct Slope
{
    double slope = 0;
    double intercept = 0;
    double lowest = 0;
    double highest = 0;

    friend bool operator==(Slope const &, Slope const &) = default;
};

// At least two points, with ascending x.
Slope slopeOf(std::span<Point const> points);

// Median and extremes of the times that `call` takes, in nanoseconds for each of `count` calls, over `rounds`
// rounds. `call` gets the number of the call in its round.
Spread spreadOfCalls(int rounds, std::size_t count, std::function<void(std::size_t)> const &call);

} // namespace almondwing
