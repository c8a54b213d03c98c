// Measures the time from the submission of a change until it is in force on every instance.

#include "ConfigurationChanges.h"
#include "ConfigurationExperiments.h"
#include "ControlCluster.h"
#include "Measuring.h"

#include <LibCore/Verify.h>
#include <LibInstance/Instance.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

// The intervals of the daemon (Daemon.cpp and PeerStateFetcher.cpp).
constexpr Duration tickInterval = 25ms;
constexpr Duration versionCheckInterval = 100ms;

// A fetch opens a connection, which takes a round trip, before its request can travel to the server.
constexpr int oneWayDelaysUntilRequest = 3;
constexpr Duration serveDelay = 1ms; // An assumption for formatting and parsing the configuration.

constexpr Duration settleTime = 15s;
constexpr Duration propagationTimeout = 60s;
constexpr std::size_t changeCount = 40;
constexpr Duration maxPause = 3s; // The pause between two changes is random, up to this length.
constexpr double maxPropagationSeconds = 6;
constexpr double designInstanceCount = 680;

struct Deployment
{
    std::string name;
    Manifest manifest;
    std::size_t instances = 0;
    std::size_t controlInstances = 0;
    Duration oneWayDelay{};
};

// All instances of a deployment on a network without loss. The first `controlInstances` of them are control
// instances.
class PropagationCluster
{
public:
    PropagationCluster(Deployment const &deployment, std::uint64_t seed)
        : oneWayDelay(deployment.oneWayDelay), random(seed), nodes(deployment.instances),
          controlNames(this->createMembers(deployment)),
          control(time,
                  ControlClusterSettings{.names = controlNames, .oneWayDelay = oneWayDelay, .seed = random()},
                  [this](std::size_t index, Configuration const &configuration) {
                      this->installCommitted(index, configuration);
                  })
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            this->startInstance(index);
    }
    PropagationCluster(PropagationCluster const &) = delete; // The hooks refer to this object.
    PropagationCluster &operator=(PropagationCluster const &) = delete;

    struct ChangeTimes
    {
        Duration accepted{}; // From the proposal until the leader has applied the change.
        Duration inForce{}; // From then on until the change is in force on every instance.
        std::size_t maxFetchesServed = 0; // Fetches answered by the instance that answered the most.
    };

    // Returns nothing if a phase of the change takes longer than propagationTimeout.
    std::optional<ChangeTimes> change(ChangeRequest const &request)
    {
        auto const leader = this->control.leader();
        VERIFY(leader);
        for (Node &node : this->nodes)
            node.fetchesServed = 0;
        std::uint64_t const version = this->control.state(*leader)->configuration.version + 1;
        Timestamp const start = this->time.now();
        this->control.submit(request);
        auto const isAccepted = [&] {
            return this->control.state(*leader)->configuration.version == version;
        };
        if (!this->time.runUntil(isAccepted, propagationTimeout))
            return std::nullopt;
        Timestamp const accepted = this->time.now();
        auto const isInForce = [&] { return this->inForce[version] == this->nodes.size(); };
        if (!this->time.runUntil(isInForce, propagationTimeout))
            return std::nullopt;
        return ChangeTimes{
            .accepted = accepted - start,
            .inForce = this->time.now() - accepted,
            .maxFetchesServed =
                std::ranges::max_element(this->nodes, {}, &Node::fetchesServed)->fetchesServed};
    }

    void run(Duration duration) { this->time.run(duration); }

    Duration randomBelow(Duration limit)
    {
        return Duration(
            static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(limit.count())));
    }

private:
    struct Node
    {
        MemberRecord self;
        std::unique_ptr<Instance> instance{};
        bool isFetching = false;
        std::size_t fetchesServed = 0; // Fetches of the configuration that this node answered.
    };

    std::vector<std::string> createMembers(Deployment const &deployment)
    {
        std::vector<std::string> names;
        auto const &domains = deployment.manifest.failureDomains;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            std::string const name = fmt::format("instance-{}", index);
            auto const port = static_cast<std::uint16_t>(index + 1);
            this->nodes[index].self = MemberRecord{.id = InstanceId::fromName(name),
                                                   .name = name,
                                                   .failureDomain = domains[index % domains.size()].name,
                                                   .peerEndpoint = {.address = 0x7f000001, .port = port},
                                                   .httpEndpoint = {.address = 0x7f000001, .port = port},
                                                   .incarnation = 1};
            this->indices.emplace(this->nodes[index].self.id, index);
            if (index < deployment.controlInstances)
                names.push_back(name);
        }
        return names;
    }

    void startInstance(std::size_t index)
    {
        Node &node = this->nodes[index];
        Outbox const outbox{
            .sendToCaller = [](Endpoint, CallerReply const &) {},
            .sendToTarget = [](Endpoint, TargetCommand const &) {},
            .sendToInstance = [this, index](InstanceId to,
                                            PeerMessage const &message) { this->send(index, to, message); },
            .report = [](Event, std::string const &) {}};
        node.instance = std::make_unique<Instance>(
            InstanceSettings{.membership = {.controlInstances = this->controlNames},
                             .requests = {.startedAt = this->time.now()}},
            outbox, [this] { return this->random(); });
        std::vector<MemberRecord> seeds;
        for (Node const &other : this->nodes) {
            if (&other != &node)
                seeds.push_back(other.self);
        }
        node.instance->start(node.self, seeds, this->time.now());
        this->time.scheduleRepeating(this->randomBelow(tickInterval), tickInterval,
                                     [this, &node] { node.instance->tick(this->time.now()); });
        this->time.scheduleRepeating(this->randomBelow(versionCheckInterval), versionCheckInterval,
                                     [this, &node] {
                                         this->fetchNewerConfiguration(node);
                                         this->fetchDueRecords(node);
                                     });
    }

    void send(std::size_t from, InstanceId to, PeerMessage const &message)
    {
        this->time.schedule(this->oneWayDelay, [this, from, receiver = this->indices.at(to), message] {
            MemberRecord const &sender = this->nodes[from].self;
            this->nodes[receiver].instance->handlePeerMessage(sender.id, sender.peerEndpoint, message,
                                                              this->time.now());
        });
    }

    void installCommitted(std::size_t index, Configuration const &configuration)
    {
        this->install(this->nodes[index], configuration);
    }

    void install(Node &node, Configuration const &configuration)
    {
        if (node.instance->handleConfiguration(configuration) == InstallOutcome::Installed)
            ++this->inForce[configuration.version];
    }

    void fetchNewerConfiguration(Node &node)
    {
        ReportedConfiguration const reported = node.instance->highestReportedConfiguration();
        if (reported.version <= node.instance->state().configuration.read()->version || node.isFetching)
            return;
        node.isFetching = true;
        this->time.schedule(
            oneWayDelaysUntilRequest * this->oneWayDelay, [this, &node, peer = reported.peer] {
                Node &server = this->nodes[this->indices.at(peer)];
                ++server.fetchesServed;
                auto const configuration = server.instance->state().configuration.read();
                this->time.schedule(this->oneWayDelay + serveDelay, [this, &node, configuration] {
                    this->install(node, *configuration);
                    node.isFetching = false;
                });
            });
    }

    void fetchDueRecords(Node &node)
    {
        auto const peer = node.instance->startDueRecordFetch(this->time.now());
        if (!peer)
            return;
        Blackboard const &source = this->nodes[this->indices.at(*peer)].instance->state();
        node.instance->handleRecords(source.members.values(), source.targets.values(), this->time.now());
    }

    SimulatedTime time;
    Duration oneWayDelay;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::unordered_map<InstanceId, std::size_t> indices;
    std::unordered_map<std::uint64_t, std::size_t> inForce; // Number of instances, by version.
    std::vector<std::string> controlNames;
    ControlCluster control;
};

struct PropagationResult
{
    SampleSummary accepted; // Milliseconds.
    SampleSummary inForce; // Seconds.
    std::size_t maxFetchesServed = 0;
    std::size_t missed = 0; // Changes that were not in force everywhere within propagationTimeout.
};

PropagationResult measureDeployment(Deployment const &deployment, std::uint64_t seed)
{
    PropagationCluster cluster(deployment, seed);
    cluster.run(settleTime);
    PropagationResult result;
    std::vector<double> accepted;
    std::vector<double> inForce;
    VERIFY(cluster.change(applyRequest(deployment.manifest, 0)));
    for (std::size_t index = 0; index < changeCount; ++index) {
        cluster.run(cluster.randomBelow(maxPause));
        auto const times = cluster.change(drainRequest(index));
        if (!times) {
            ++result.missed;
            continue;
        }
        accepted.push_back(std::chrono::duration<double, std::milli>(times->accepted).count());
        inForce.push_back(std::chrono::duration<double>(times->inForce).count());
        result.maxFetchesServed = std::max(result.maxFetchesServed, times->maxFetchesServed);
    }
    result.accepted = summarize(std::move(accepted));
    result.inForce = summarize(std::move(inForce));
    return result;
}

std::vector<std::string> rowOf(Deployment const &deployment, PropagationResult const &result)
{
    double const maxSeconds = result.inForce.maximum + result.accepted.maximum / 1000;
    return {deployment.name,
            fmt::format("{}", deployment.instances),
            fmt::format("{}", deployment.controlInstances),
            fmt::format("{}", std::chrono::duration<double, std::milli>(deployment.oneWayDelay).count()),
            fmt::format("{:.1f}, at most {:.1f}", result.accepted.median, result.accepted.maximum),
            fmt::format("{:.2f}", result.inForce.median),
            fmt::format("{:.2f} to {:.2f}", result.inForce.minimum, result.inForce.maximum),
            fmt::format("{}", result.maxFetchesServed),
            fmt::format("{}", result.missed),
            result.missed == 0 && maxSeconds <= maxPropagationSeconds ? "yes" : "no"};
}

std::vector<std::string> growthRow(std::string const &figure, std::vector<Point> const &points, double at)
{
    LinearFit const fit = fitLine(points);
    double const extrapolated = fit.intercept + fit.slope * at;
    return {figure, fmt::format("{:.4f}", fit.slope),
            fmt::format("{:.4f} to {:.4f}", fit.minSlope, fit.maxSlope), fmt::format("{:.2f}", extrapolated),
            extrapolated <= maxPropagationSeconds ? "yes" : "no"};
}

} // namespace

std::vector<ReportTable> measureConfigurationPropagation(std::uint64_t seed)
{
    ReportTable times{.title = fmt::format("From the acceptance of a change until it is in force on every "
                                           "instance, {} changes each",
                                           changeCount),
                      .columns = {"deployment", "instances", "control instances", "one way, ms",
                                  "accepted after, ms (median)", "in force everywhere after, s (median)",
                                  "range, s", "most fetches from one instance for a change",
                                  "not in force after 60 s", "target (6 s) met"}};
    Manifest design = designSizeManifest();
    design.services.resize(1); // The number of services does not affect the delay of the simulated messages.
    std::vector<Deployment> deployments{
        {"sk-central", exampleManifest("sk-central"), 9, 3, 500us},
        {"tz-dar", exampleManifest("tz-dar"), 6, 3, 500us},
    };
    for (std::size_t const size : {20U, 60U, 200U})
        deployments.push_back({"5 failure domains", design, size, 7, 5ms});
    std::vector<Point> medians;
    std::vector<Point> maxima;
    std::vector<Point> maximaByCount;
    for (Deployment const &deployment : deployments) {
        PropagationResult const result = measureDeployment(deployment, seed);
        times.rows.push_back(rowOf(deployment, result));
        if (deployment.controlInstances != 7)
            continue;
        auto const count = static_cast<double>(deployment.instances);
        medians.push_back(Point{.x = std::log2(count), .y = result.inForce.median});
        maxima.push_back(Point{.x = std::log2(count), .y = result.inForce.maximum});
        maximaByCount.push_back(Point{.x = count, .y = result.inForce.maximum});
    }
    ReportTable const growth{
        .title = "Growth over the sizes with 5 failure domains",
        .columns = {"figure", "least-squares slope, s", "range between neighbouring sizes",
                    "line continued to 680 instances, s (calculated, not measured)", "target (6 s) met"},
        .rows = {growthRow("median, for each doubling", medians, std::log2(designInstanceCount)),
                 growthRow("slowest change, for each doubling", maxima, std::log2(designInstanceCount)),
                 growthRow("slowest change, for each instance", maximaByCount, designInstanceCount)}};
    return {times, growth};
}

} // namespace almondwing
