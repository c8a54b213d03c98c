// Implements sampling of the daemon's metrics.

#include "DaemonMetrics.h"

#include <utility>

namespace almondwing {

namespace {

// Accepts any arithmetic type, because the text format writes every value as a double.
template<typename Count>
MetricSample counter(std::string name, std::string help, Count value,
                     std::map<std::string, std::string> labels = {})
{
    return MetricSample{.name = std::move(name),
                        .help = std::move(help),
                        .kind = MetricKind::Counter,
                        .labels = std::move(labels),
                        .value = static_cast<double>(value)};
}

template<typename Count>
MetricSample gauge(std::string name, std::string help, Count value,
                   std::map<std::string, std::string> labels = {})
{
    MetricSample sample = counter(std::move(name), std::move(help), value, std::move(labels));
    sample.kind = MetricKind::Gauge;
    return sample;
}

void addSocket(std::vector<MetricSample> &samples, std::string const &socket, UdpCounters const &counters,
               std::uint64_t dropped)
{
    std::map<std::string, std::string> const labels{{"socket", socket}};
    samples.push_back(counter("almondwing_datagrams_received_total", "Datagrams received.",
                              counters.datagramsReceived, labels));
    samples.push_back(
        counter("almondwing_datagrams_sent_total", "Datagrams sent.", counters.datagramsSent, labels));
    samples.push_back(counter("almondwing_bytes_sent_total", "Bytes sent.", counters.bytesSent, labels));
    samples.push_back(counter("almondwing_sends_dropped_total", "Datagrams that could not be sent.",
                              counters.sendsDropped, labels));
    samples.push_back(
        counter("almondwing_input_dropped_total",
                "Received datagrams that were malformed or meant for another version, cluster or socket.",
                dropped, labels));
}

void addTargets(std::vector<MetricSample> &samples, Blackboard const &blackboard)
{
    auto const view = blackboard.routingView.read();
    auto const self = blackboard.ownStatus.read()->self.id;
    for (auto const &[id, routes] : view->services) {
        for (RoutedTarget const &target : routes->targets) {
            if (target.dispatcher != self)
                continue;
            std::map<std::string, std::string> const labels{{"service", routes->name},
                                                            {"target", target.record.name}};
            auto const usage = blackboard.usage.read(target.record.id);
            TargetUsage const counts = usage ? usage->value : TargetUsage{};
            samples.push_back(
                gauge("almondwing_target_open_flows", "Open flows of a target.", counts.connections, labels));
            samples.push_back(gauge("almondwing_target_busy_slots", "Requests running at a target.",
                                    counts.busySlots, labels));
            samples.push_back(gauge("almondwing_target_ramp_level", "Ramp level of a target; 4 is full.",
                                    target.record.rampLevel, labels));
            samples.push_back(counter("almondwing_target_answered_total",
                                      "Requests that a target has answered.", counts.answered, labels));
            samples.push_back(counter("almondwing_target_shed_total", "Requests that a target has shed.",
                                      counts.shed, labels));
        }
    }
}

} // namespace

std::vector<MetricSample> sampleInstance(Instance const &instance)
{
    Blackboard const &blackboard = instance.state();
    FlowCounters const flows = instance.flowController().counters();
    SweepCounters const sweep = instance.flowSweeper().counters();
    CallerRouterCounters const router = instance.callerRouter().counters();
    MembershipCounters const membership = instance.membershipController().counters();
    std::string const endedHelp = "Flows that were ended, by reason.";
    std::vector<MetricSample> samples{
        gauge("almondwing_configuration_version", "Configuration version in force.",
              blackboard.configuration.read()->version),
        gauge("almondwing_lease_held", "1 while this instance may dispatch.",
              blackboard.ownStatus.read()->lease == LeaseState::Held ? 1 : 0),
        gauge("almondwing_members", "Known instances.", blackboard.members.size()),
        gauge("almondwing_open_flows", "Flows that this instance dispatches.", blackboard.flows.size()),
        gauge("almondwing_request_records", "Requests that this instance keeps records of.",
              blackboard.requests.size()),
        counter("almondwing_flows_opened_total", "Flows opened.", flows.opened),
        counter("almondwing_flows_refused_total", "Flows refused.", flows.refused),
        counter("almondwing_flows_adopted_total",
                "Flows that this instance continued although it had no record of them.", flows.adopted),
        counter("almondwing_flows_searched_total",
                "Messages whose flow was searched for at other dispatchers.", flows.searched),
        counter("almondwing_flows_spilled_total", "Flows opened at a target other than that of their bucket.",
                flows.spilled),
        counter("almondwing_flows_ended_total", endedHelp, flows.closed, {{"reason", "closed"}}),
        counter("almondwing_flows_ended_total", endedHelp, flows.broken, {{"reason", "broken"}}),
        counter("almondwing_flows_ended_total", endedHelp, sweep.silent, {{"reason", "target-silent"}}),
        counter("almondwing_flows_ended_total", endedHelp, sweep.targetLost, {{"reason", "target-lost"}}),
        counter("almondwing_flows_ended_total", endedHelp, sweep.takenOut,
                {{"reason", "failure-domain-taken-out"}}),
        counter("almondwing_flows_ended_total", endedHelp, sweep.idle, {{"reason", "idle"}}),
        counter("almondwing_caller_messages_total", "Messages received from callers.",
                router.receivedFromCallers),
        counter("almondwing_forwarded_total", "Messages of callers forwarded to another instance.",
                router.forwarded),
        counter("almondwing_unknown_service_total", "Messages for a service that is not configured.",
                router.unknownService),
        counter(
            "almondwing_route_unsettled_total",
            "Messages refused or dropped at the hop limit because instances had different routing tables.",
            router.hopLimitExceeded),
        counter("almondwing_target_messages_dropped_total",
                "Messages of targets for a flow that is unknown or belongs to another target.",
                flows.unmatched),
        counter("almondwing_refused_without_lease_total", "Messages dropped because the lease was not held.",
                router.refusedWithoutLease),
        counter("almondwing_membership_messages_total", "Membership messages sent.", membership.messages)};
    addTargets(samples, blackboard);
    return samples;
}

std::vector<MetricSample> sampleDatagrams(DatagramCounters const &counters)
{
    std::vector<MetricSample> samples;
    addSocket(samples, "entry", counters.entry, counters.entryDropped);
    addSocket(samples, "target", counters.target, counters.targetDropped);
    addSocket(samples, "peer", counters.peer, counters.peerDropped);
    samples.push_back(counter("almondwing_control_bytes_sent_total",
                              "Bytes sent to other instances, without forwarded messages of callers.",
                              counters.peerOverheadBytesSent));
    samples.push_back(counter("almondwing_encode_failures_total", "Messages that could not be encoded.",
                              counters.encodeFailures));
    return samples;
}

std::vector<MetricSample> sampleHttp(HttpServerCounters const &counters)
{
    return {counter("almondwing_http_answered_total", "HTTP requests answered with a status below 400.",
                    counters.answered),
            counter("almondwing_http_refused_total", "HTTP requests answered with a status of 400 or more.",
                    counters.errorResponses),
            counter("almondwing_http_malformed_total", "HTTP connections closed for malformed input.",
                    counters.malformed),
            counter("almondwing_http_connections_refused_total",
                    "HTTP connections closed because too many were open.", counters.connectionsOverLimit)};
}

std::vector<MetricSample> sampleEvents(EventLog const &log)
{
    std::vector<MetricSample> samples;
    for (auto const &[event, count] : log.counts())
        samples.push_back(counter("almondwing_events_total", "Events by number, logged or not.", count,
                                  {{"number", std::to_string(static_cast<unsigned>(event))},
                                   {"name", std::string(describeEvent(event).name)}}));
    return samples;
}

std::vector<MetricSample> sampleReplication(ReplicationStatus const &status,
                                            ReplicationCounters const &counters)
{
    return {gauge("almondwing_replication_leader", "1 on the leader of the replicated log.",
                  status.role == ReplicaRole::Leader ? 1 : 0),
            gauge("almondwing_replication_term", "Term of the replicated log.", status.term),
            gauge("almondwing_replication_commit_index", "Last committed entry.", status.commitIndex),
            counter("almondwing_replication_messages_total", "Messages to other replicas.",
                    counters.messagesSent),
            counter("almondwing_replication_payload_bytes_total",
                    "Bytes of entries and snapshots sent, before encoding.", counters.payloadBytesSent)};
}

} // namespace almondwing
