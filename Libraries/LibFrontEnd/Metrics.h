// Metrics in the Prometheus text format. text() calls the registered sources each time, so that the values
// are current.

#pragma once

#include <LibCore/Time.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondwing {

enum class MetricKind : std::uint8_t { Counter, Gauge };

struct MetricSample
{
    std::string name; // Such as almondwing_flows_opened_total.
    std::string help;
    MetricKind kind = MetricKind::Gauge;
    std::map<std::string, std::string> labels;
    double value = 0;

    friend bool operator==(MetricSample const &, MetricSample const &) = default;
};

// Counts durations in fixed buckets. Any thread may call observe().
class LatencyHistogram
{
public:
    void observe(Duration duration);

    // Upper bounds of the buckets in seconds; one more bucket counts all longer durations.
    static constexpr std::array<double, 10> boundsSeconds{0.001, 0.002, 0.005, 0.01, 0.025,
                                                          0.05,  0.1,   0.25,  0.5,  1.0};

    std::array<std::uint64_t, boundsSeconds.size() + 1> counts() const;
    double sumSeconds() const { return static_cast<double>(this->sumMicroseconds.load()) / 1e6; }

private:
    std::array<std::atomic<std::uint64_t>, boundsSeconds.size() + 1> buckets{};
    std::atomic<std::int64_t> sumMicroseconds{0};
};

using MetricSource = std::function<std::vector<MetricSample>()>;

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(Metrics const &) = delete;
    Metrics &operator=(Metrics const &) = delete;

    void addSource(MetricSource source);

    // The histogram must outlive this object.
    void addHistogram(std::string name, std::string help, LatencyHistogram const &histogram);

    // All samples in the Prometheus text format.
    std::string text() const;

private:
    struct Collector;
    std::unique_ptr<Collector> collector;
};

} // namespace almondwing
