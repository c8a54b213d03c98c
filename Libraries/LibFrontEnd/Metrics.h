// Metrics in the Prometheus text format. Values are read from the controllers when somebody asks for them.

#pragma once

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

using MetricSource = std::function<std::vector<MetricSample>()>;

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(Metrics const &) = delete;
    Metrics &operator=(Metrics const &) = delete;

    void addSource(MetricSource source);

    // All samples in the Prometheus text format.
    std::string text() const;

private:
    struct Collector;
    std::unique_ptr<Collector> collector;
};

} // namespace almondwing
