// Measures the traffic and the processor time of idle membership controllers for several cluster sizes.

#include "Experiments.h"
#include "Measuring.h"

#include <LibMembership/MembershipController.h>
#include <LibWire/WireCodec.h>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t domainCount = 5;
constexpr std::size_t controlInstanceCount = 7;
constexpr std::size_t targetsPerNode = 7; // The design size has about 4,500 targets and 680 instances.
constexpr Duration tickInterval = 50ms;
constexpr Duration settleTime = 20s;
constexpr Duration convergenceTimeout = 300s; // Maximum wait for hasConverged() after settleTime.
constexpr Duration measuredTime = 30s;
constexpr double maxBytesPerSecond = 2048;
constexpr double maxCoreShare = 0.03;

struct Node
{
    MemberRecord self;
    std::unique_ptr<Blackboard> blackboard = std::make_unique<Blackboard>();
    std::unique_ptr<MembershipController> controller{};
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds cpuTime{};
};

// Membership controllers on a network without loss. Messages arrive in the step in which they are sent.
class MembershipCluster
{
public:
    MembershipCluster(std::size_t size, std::uint64_t seed) : random(seed), nodes(size)
    {
        MembershipSettings settings;
        for (std::size_t index = 0; index < size; ++index) {
            Node &node = this->nodes[index];
            std::string const name = fmt::format("instance-{}", index);
            auto const port = static_cast<std::uint16_t>(index + 1);
            node.self = MemberRecord{.id = InstanceId::fromName(name),
                                     .name = name,
                                     .failureDomain = fmt::format("domain-{}", index % domainCount),
                                     .peerEndpoint = Endpoint{.address = 0x7f000001, .port = port},
                                     .httpEndpoint = Endpoint{.address = 0x7f000001, .port = port},
                                     .incarnation = 1};
            this->indices.emplace(node.self.id, index);
            if (index < std::min(size, controlInstanceCount))
                settings.controlInstances.push_back(name);
        }
        for (std::size_t index = 0; index < size; ++index)
            this->startNode(index, settings);
    }
    MembershipCluster(MembershipCluster const &) = delete; // The hooks refer to this object.
    MembershipCluster &operator=(MembershipCluster const &) = delete;

    void run(Duration duration)
    {
        for (Timestamp const end = this->now + duration; this->now < end;) {
            this->now += tickInterval;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->measureCpuTime(index, [&](Node &node) { node.controller->tick(this->now); });
                this->fetchRecords(index);
            }
            while (!this->pendingDeliveries.empty()) {
                auto const delivery = std::move(this->pendingDeliveries.front());
                this->pendingDeliveries.pop_front();
                delivery();
            }
        }
    }

    bool hasConverged() const
    {
        return std::ranges::all_of(this->nodes, [&](Node const &node) {
            return node.blackboard->members.size() == this->nodes.size()
                && node.blackboard->memberUpdates.size() == 0 && node.blackboard->targetUpdates.size() == 0
                && node.controller->recordsDigest() == this->nodes.front().controller->recordsDigest();
        });
    }

    void resetCounts()
    {
        for (Node &node : this->nodes) {
            node.bytes = 0;
            node.cpuTime = {};
        }
        this->recordFetches = 0;
    }

    std::vector<Node> const &all() const { return this->nodes; }

    std::size_t recordFetches = 0;

private:
    void startNode(std::size_t index, MembershipSettings const &settings)
    {
        Node &node = this->nodes[index];
        Outbox const outbox{
            .sendToCaller = [](Endpoint, CallerReply const &) {},
            .sendToTarget = [](Endpoint, TargetCommand const &) {},
            .sendToInstance = [this, index](InstanceId to,
                                            PeerMessage const &message) { this->send(index, to, message); },
            .report = [](Event, std::string const &) {}};
        node.controller = std::make_unique<MembershipController>(*node.blackboard, settings, outbox,
                                                                 [this] { return this->random(); });
        // Each node starts with the records of all members and targets, so that the cluster converges
        // quickly.
        std::vector<MemberRecord> seeds;
        for (Node const &other : this->nodes)
            seeds.push_back(other.self);
        node.controller->start(node.self, seeds, this->now);
        for (std::size_t target = 0; target < targetsPerNode * this->nodes.size(); ++target)
            this->writeTarget(node, target);
    }

    void writeTarget(Node &node, std::size_t index)
    {
        std::string const name = fmt::format("target-{}", index);
        TargetRecord const record{.id = TargetId::fromName(name),
                                  .name = name,
                                  .service = ServiceId::fromName(fmt::format("service-{}", index / 4)),
                                  .failureDomain = fmt::format("domain-{}", index % domainCount),
                                  .startMark = index + 1,
                                  .state = TargetState::Warm,
                                  .rampLevel = 4,
                                  .sequence = {.epoch = 1, .counter = 1}};
        node.blackboard->targets.write(record.id, record, 0);
    }

    void measureCpuTime(std::size_t index, std::function<void(Node &)> const &work)
    {
        // The work includes encoding, which `send` does and which is part of the cost of an instance.
        auto const start = threadCpuTime();
        work(this->nodes[index]);
        this->nodes[index].cpuTime += threadCpuTime() - start;
    }

    void send(std::size_t from, InstanceId to, PeerMessage const &message)
    {
        auto const datagram =
            this->codec.encode(PeerDatagram{.from = this->nodes[from].self.id, .message = message});
        this->nodes[from].bytes += datagram->size();
        this->pendingDeliveries.emplace_back(
            [this, from, receiver = this->indices.at(to), bytes = *datagram] {
                this->measureCpuTime(receiver, [&](Node &node) { this->deliver(from, node, bytes); });
            });
    }

    void deliver(std::size_t from, Node &node, std::string const &bytes)
    {
        auto const datagram = this->codec.decodePeerDatagram(bytes);
        std::visit(
            [&](auto const &message) {
                if constexpr (requires { message.gossip; })
                    node.controller->handlePeerMessage(datagram->from, this->nodes[from].self.peerEndpoint,
                                                       message, this->now);
            },
            datagram->message);
    }

    void fetchRecords(std::size_t index)
    {
        Node &node = this->nodes[index];
        auto const peer = node.controller->startDueRecordFetch(this->now);
        if (!peer)
            return;
        ++this->recordFetches;
        Blackboard const &source = *this->nodes[this->indices.at(*peer)].blackboard;
        node.controller->mergeRecords(source.members.values(), source.targets.values(), this->now);
    }

    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::unordered_map<InstanceId, std::size_t> indices;
    std::deque<std::function<void()>> pendingDeliveries;
    WireCodec codec = WireCodec::forCluster("bench");
    Timestamp now{1000s};
};

struct SizeResult
{
    double meanByteRate = 0; // Bytes per second, mean of all instances.
    double maxByteRate = 0; // Bytes per second of the instance that sent the most.
    double controlInstanceByteRate = 0; // Bytes per second, mean of the control instances.
    double meanCoreShare = 0; // Share of a core per instance.
    std::size_t recordFetches = 0;
    bool hasConverged = false;
};

SizeResult measureSize(std::size_t size, std::uint64_t seed)
{
    MembershipCluster cluster(size, seed);
    cluster.run(settleTime);
    for (Duration waited{}; waited < convergenceTimeout && !cluster.hasConverged(); waited += 5s)
        cluster.run(5s);
    SizeResult result{.hasConverged = cluster.hasConverged()};
    cluster.resetCounts();
    cluster.run(measuredTime);
    double const seconds = std::chrono::duration<double>(measuredTime).count();
    std::size_t const controlInstances = std::min(size, controlInstanceCount);
    for (std::size_t index = 0; index < size; ++index) {
        Node const &node = cluster.all()[index];
        double const rate = static_cast<double>(node.bytes) / seconds;
        result.meanByteRate += rate / static_cast<double>(size);
        result.maxByteRate = std::max(result.maxByteRate, rate);
        if (index < controlInstances)
            result.controlInstanceByteRate += rate / static_cast<double>(controlInstances);
        result.meanCoreShare +=
            std::chrono::duration<double>(node.cpuTime).count() / seconds / static_cast<double>(size);
    }
    result.recordFetches = cluster.recordFetches;
    return result;
}

std::vector<std::string> slopeRow(std::string const &name, std::vector<Point> const &points, double scale)
{
    constexpr double designSizeInstanceCount = 680;
    LinearFit const fit = fitLine(points);
    return {name, fmt::format("{:.4f}", fit.slope * scale),
            fmt::format("{:.4f} to {:.4f}", fit.minSlope * scale, fit.maxSlope * scale),
            fmt::format("{:.2f}", (fit.intercept + fit.slope * designSizeInstanceCount) * scale)};
}

} // namespace

Report runMembershipExperiment(std::uint64_t seed)
{
    ReportTable sizes{
        .title = fmt::format("Idle cluster, {} simulated seconds after it has become quiet",
                             std::chrono::duration_cast<std::chrono::seconds>(measuredTime).count()),
        .columns = {"instances", "quiet before", "mean B/s", "highest B/s", "mean B/s of control instances",
                    "share of a core, %", "record fetches", "targets (2,048 B/s; 3%) met"}};
    std::vector<Point> bytes;
    std::vector<Point> maxima;
    std::vector<Point> coreShares;
    for (std::size_t const size : {6U, 20U, 60U, 200U}) {
        SizeResult const result = measureSize(size, seed);
        auto const x = static_cast<double>(size);
        bytes.push_back(Point{.x = x, .y = result.meanByteRate});
        maxima.push_back(Point{.x = x, .y = result.maxByteRate});
        coreShares.push_back(Point{.x = x, .y = result.meanCoreShare});
        bool const isMet = result.maxByteRate <= maxBytesPerSecond && result.meanCoreShare <= maxCoreShare;
        sizes.rows.push_back({fmt::format("{}", size), result.hasConverged ? "yes" : "no",
                              fmt::format("{:.0f}", result.meanByteRate),
                              fmt::format("{:.0f}", result.maxByteRate),
                              fmt::format("{:.0f}", result.controlInstanceByteRate),
                              fmt::format("{:.3f}", 100 * result.meanCoreShare),
                              fmt::format("{}", result.recordFetches), isMet ? "yes" : "no"});
    }
    ReportTable const slopes{.title = "Growth for each further instance",
                             .columns = {"figure", "least-squares slope", "range between neighbouring sizes",
                                         "line continued to 680 instances (not measured)"},
                             .rows = {slopeRow("mean B/s", bytes, 1), slopeRow("highest B/s", maxima, 1),
                                      slopeRow("share of a core, %", coreShares, 100)}};
    return Report{.experiment = "membership",
                  .seed = seed,
                  .tables = {sizes, slopes},
                  .notes = {fmt::format("{} failure domains, up to {} control instances, {} target records "
                                        "for each instance, a tick every 50 ms. Bytes are peer datagrams as "
                                        "encoded, without UDP and IP headers; processor time includes the "
                                        "codec but no sockets.",
                                        domainCount, controlInstanceCount, targetsPerNode)}};
}

} // namespace almondwing
