// Implements the conversion of counters to metrics.

#include <LibNode/NodeMetrics.h>

#include <utility>

namespace almondwing {

namespace {

template<typename Count>
MetricSample sample(MetricKind kind, std::string name, std::string help, Count value,
                    std::map<std::string, std::string> labels = {})
{
    return MetricSample{.name = std::move(name),
                        .help = std::move(help),
                        .kind = kind,
                        .labels = std::move(labels),
                        .value = static_cast<double>(value)};
}

} // namespace

std::vector<MetricSample> sampleEntry(EntryCounters const &counters, ViewFreshness const &freshness,
                                      Timestamp now)
{
    std::vector<MetricSample> samples;
    for (auto const &[decision, count] :
         {std::pair("forwarded", counters.forwarded), std::pair("reset", counters.reset),
          std::pair("held", counters.held), std::pair("dropped", counters.dropped),
          std::pair("undecodable", counters.undecodable)})
        samples.push_back(sample(MetricKind::Counter, "almondwing_packets_total",
                                 "Packets of callers by routing decision.", count, {{"decision", decision}}));
    samples.push_back(sample(MetricKind::Counter, "almondwing_openings_repeated_total",
                             "Openings repeated at another target because theirs was gone.",
                             counters.openingsRepeated));
    samples.push_back(sample(MetricKind::Counter, "almondwing_repeats_withheld_total",
                             "Late openings not looked at because of the limit repeat_percent.",
                             counters.repeatsWithheld));
    samples.push_back(sample(MetricKind::Gauge, "almondwing_view_revision",
                             "Log index of the configuration that the entry routes by.", freshness.revision));
    samples.push_back(sample(MetricKind::Gauge, "almondwing_view_age_seconds",
                             "Time since a control instance in contact with a majority answered.",
                             std::chrono::duration<double>(now - freshness.answeredAt).count()));
    return samples;
}

std::vector<MetricSample> sampleControl(ControlState const &state)
{
    std::vector<MetricSample> samples{
        sample(MetricKind::Gauge, "almondwing_configuration_version",
               "Version of the configuration applied here.", state.configurationVersion),
        sample(MetricKind::Gauge, "almondwing_log_applied_index", "Last log entry applied here.",
               state.contact.status.appliedIndex),
        sample(MetricKind::Gauge, "almondwing_log_term", "Term of the replicated log.",
               state.contact.status.term),
        sample(MetricKind::Gauge, "almondwing_log_voters", "Voters of the replicated log.",
               state.contact.status.voters.size()),
        sample(MetricKind::Gauge, "almondwing_log_leads", "1 while this instance leads the log.",
               state.contact.status.role == ReplicaRole::Leader ? 1 : 0),
        sample(MetricKind::Gauge, "almondwing_log_in_contact",
               "1 while this instance is a leader with a majority or follows one.",
               state.contact.isInContact ? 1 : 0),
        sample(MetricKind::Gauge, "almondwing_registry_targets",
               "Targets in the registry that have not ended.", state.targets)};
    for (auto const &[field, count] : state.reportRefusals)
        samples.push_back(sample(MetricKind::Counter, "almondwing_reports_refused_total",
                                 "Heartbeats and deregistrations that no target sends, by the refused field.",
                                 count, {{"field", field}}));
    return samples;
}

std::vector<MetricSample> sampleLog(DecisionLog const &log)
{
    std::vector<MetricSample> samples;
    for (auto const &[event, count] : log.counts())
        samples.push_back(sample(MetricKind::Counter, "almondwing_events_total",
                                 "Events by name, logged or not.", count,
                                 {{"event", std::string(describeEvent(event).name)}}));
    samples.push_back(sample(MetricKind::Counter, "almondwing_log_lines_lost_total",
                             "Log lines lost because the log output was too slow.", log.lostLines()));
    return samples;
}

} // namespace almondwing
