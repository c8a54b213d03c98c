// Implements the metrics with prometheus-cpp.

#include <LibFrontEnd/Metrics.h>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <mutex>
#include <utility>

namespace almondwing {

namespace {

prometheus::ClientMetric toMetric(MetricSample const &sample)
{
    prometheus::ClientMetric metric;
    for (auto const &[name, value] : sample.labels)
        metric.label.push_back(prometheus::ClientMetric::Label{name, value});
    if (sample.kind == MetricKind::Counter)
        metric.counter.value = sample.value;
    else
        metric.gauge.value = sample.value;
    return metric;
}

struct NamedHistogram
{
    std::string name;
    std::string help;
    LatencyHistogram const *histogram = nullptr; // Never null.
};

prometheus::MetricFamily toFamily(NamedHistogram const &named)
{
    prometheus::ClientMetric metric;
    auto const counts = named.histogram->counts();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        metric.histogram.sample_count += counts[index];
        double const bound = index < LatencyHistogram::boundsSeconds.size()
            ? LatencyHistogram::boundsSeconds[index]
            : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back(
            {.cumulative_count = metric.histogram.sample_count, .upper_bound = bound});
    }
    metric.histogram.sample_sum = named.histogram->sumSeconds();
    return prometheus::MetricFamily{.name = named.name,
                                    .help = named.help,
                                    .type = prometheus::MetricType::Histogram,
                                    .metric = {metric}};
}

} // namespace

void LatencyHistogram::observe(Duration duration)
{
    double const seconds = std::chrono::duration<double>(duration).count();
    auto const bucket = std::ranges::lower_bound(boundsSeconds, seconds) - boundsSeconds.begin();
    this->buckets[static_cast<std::size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
    this->sumMicroseconds.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::array<std::uint64_t, LatencyHistogram::boundsSeconds.size() + 1> LatencyHistogram::counts() const
{
    std::array<std::uint64_t, boundsSeconds.size() + 1> counts{};
    for (std::size_t index = 0; index < counts.size(); ++index)
        counts[index] = this->buckets[index].load(std::memory_order_relaxed);
    return counts;
}

struct Metrics::Collector : prometheus::Collectable
{
    std::vector<prometheus::MetricFamily> Collect() const override // NOLINT(readability-identifier-naming)
    {
        std::vector<MetricSource> currentSources;
        std::vector<NamedHistogram> currentHistograms;
        {
            std::scoped_lock const lock(this->mutex);
            currentSources = this->sources;
            currentHistograms = this->histograms;
        }
        std::map<std::string, prometheus::MetricFamily> families;
        for (MetricSource const &source : currentSources) {
            for (MetricSample const &sample : source()) {
                prometheus::MetricFamily &family = families[sample.name];
                family.name = sample.name;
                family.help = sample.help;
                family.type = sample.kind == MetricKind::Counter ? prometheus::MetricType::Counter
                                                                 : prometheus::MetricType::Gauge;
                family.metric.push_back(toMetric(sample));
            }
        }
        for (NamedHistogram const &named : currentHistograms)
            families[named.name] = toFamily(named);
        std::vector<prometheus::MetricFamily> result;
        result.reserve(families.size());
        for (auto &[name, family] : families)
            result.push_back(std::move(family));
        return result;
    }

    mutable std::mutex mutex; // Guards the members below.
    std::vector<MetricSource> sources;
    std::vector<NamedHistogram> histograms;
};

Metrics::Metrics() : collector(std::make_unique<Collector>()) { }

Metrics::~Metrics() = default;

void Metrics::addSource(MetricSource source)
{
    std::scoped_lock const lock(this->collector->mutex);
    this->collector->sources.push_back(std::move(source));
}

void Metrics::addHistogram(std::string name, std::string help, LatencyHistogram const &histogram)
{
    std::scoped_lock const lock(this->collector->mutex);
    this->collector->histograms.push_back(
        NamedHistogram{.name = std::move(name), .help = std::move(help), .histogram = &histogram});
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->collector->Collect());
}

} // namespace almondwing
