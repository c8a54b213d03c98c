// Implements the metrics with prometheus-cpp.

#include <LibFrontEnd/Metrics.h>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <mutex>

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

} // namespace

struct Metrics::Collector : prometheus::Collectable
{
    std::vector<prometheus::MetricFamily> Collect() const override // NOLINT(readability-identifier-naming)
    {
        std::vector<MetricSource> current;
        {
            std::scoped_lock const lock(this->mutex);
            current = this->sources;
        }
        std::map<std::string, prometheus::MetricFamily> families;
        for (MetricSource const &source : current) {
            for (MetricSample const &sample : source()) {
                prometheus::MetricFamily &family = families[sample.name];
                family.name = sample.name;
                family.help = sample.help;
                family.type = sample.kind == MetricKind::Counter ? prometheus::MetricType::Counter
                                                                 : prometheus::MetricType::Gauge;
                family.metric.push_back(toMetric(sample));
            }
        }
        std::vector<prometheus::MetricFamily> result;
        result.reserve(families.size());
        for (auto &[name, family] : families)
            result.push_back(std::move(family));
        return result;
    }

    mutable std::mutex mutex; // Guards sources.
    std::vector<MetricSource> sources;
};

Metrics::Metrics() : collector(std::make_unique<Collector>()) { }

Metrics::~Metrics() = default;

void Metrics::addSource(MetricSource source)
{
    std::scoped_lock const lock(this->collector->mutex);
    this->collector->sources.push_back(std::move(source));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->collector->Collect());
}

} // namespace almondwing
