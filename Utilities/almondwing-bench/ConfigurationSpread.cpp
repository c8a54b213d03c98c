// Measures the time from the acceptance of a change until it is in force on every instance.

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

// As in the daemon: Daemon.cpp and ConfigurationFetcher.cpp.
constexpr Duration tickInterval = 25ms;
constexpr Duration lookInterval = 100ms;

// A fetch connects, which takes a round trip, sends its request and gets the answer.
constexpr int oneWaysUntilRequest = 3;
constexpr Duration serveTime = 1ms; // Assumed, for formatting and parsing the configuration.

constexpr Duration settleTime = 15s;
constexpr Duration spreadLimit = 60s;
constexpr std::size_t changeCount = 40;
constexpr Duration longestPause = 3s; // Between two changes, drawn at random.
constexpr double targetSeconds = 6;
constexpr double designInstances = 680;

struct Deployment
{
    std::string name;
    Manifest manifest;
    std::size_t instances = 0;
    std::size_t controlInstances = 0;
    Duration oneWay{};
};

// All instances of a deployment on a link without loss; the first of them are its control instances.
class SpreadCluster
{
public:
    SpreadCluster(Deployment const &deployment, std::uint64_t seed)
        : oneWay(deployment.oneWay), random(seed), nodes(deployment.instances),
          controlNames(this->createMembers(deployment)),
          control(time, ControlClusterSettings{.names = controlNames, .oneWay = oneWay, .seed = random()},
                  [this](std::size_t index, Configuration const &configuration) {
                      this->takeFromLog(index, configuration);
                  })
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            this->startInstance(index);
    }
    SpreadCluster(SpreadCluster const &) = delete; // The hooks refer to this object.
    SpreadCluster &operator=(SpreadCluster const &) = delete;

    struct ChangeTimes
    {
        Duration accepted{}; // From the proposal to the outcome at the leader.
        Duration inForce{}; // From the outcome until the change is in force on every instance.
        std::size_t mostServed = 0; // Fetches that the busiest instance answered.
    };

    // Nothing if the limit passed.
    std::optional<ChangeTimes> change(ChangeRequest const &request)
    {
        auto const leader = this->control.leader();
        VERIFY(leader);
        for (Node &node : this->nodes)
            node.served = 0;
        std::uint64_t const version = this->control.state(*leader)->configuration.version + 1;
        Timestamp const start = this->time.now();
        this->control.submit(request);
        auto const isAccepted = [&] {
            return this->control.state(*leader)->configuration.version == version;
        };
        if (!this->time.runUntil(isAccepted, spreadLimit))
            return std::nullopt;
        Timestamp const accepted = this->time.now();
        auto const isInForce = [&] { return this->inForce[version] == this->nodes.size(); };
        if (!this->time.runUntil(isInForce, spreadLimit))
            return std::nullopt;
        return ChangeTimes{.accepted = accepted - start,
                           .inForce = this->time.now() - accepted,
                           .mostServed = std::ranges::max_element(this->nodes, {}, &Node::served)->served};
    }

    void run(Duration duration) { this->time.run(duration); }

    Duration randomUpTo(Duration longest)
    {
        return Duration(
            static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(longest.count())));
    }

private:
    struct Node
    {
        MemberRecord self;
        std::unique_ptr<Instance> instance{};
        bool isFetching = false;
        std::size_t served = 0; // Fetches of the configuration.
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
        this->time.every(this->randomUpTo(tickInterval), tickInterval,
                         [this, &node] { node.instance->tick(this->time.now()); });
        this->time.every(this->randomUpTo(lookInterval), lookInterval, [this, &node] {
            this->fetchConfigurationIfOlder(node);
            this->fetchRecordsIfStale(node);
        });
    }

    void send(std::size_t from, InstanceId to, PeerMessage const &message)
    {
        this->time.after(this->oneWay, [this, from, receiver = this->indices.at(to), message] {
            MemberRecord const &sender = this->nodes[from].self;
            this->nodes[receiver].instance->handlePeerMessage(sender.id, sender.peerEndpoint, message,
                                                              this->time.now());
        });
    }

    void takeFromLog(std::size_t index, Configuration const &configuration)
    {
        this->install(this->nodes[index], configuration);
    }

    void install(Node &node, Configuration const &configuration)
    {
        if (node.instance->handleConfiguration(configuration) == InstallOutcome::Installed)
            ++this->inForce[configuration.version];
    }

    void fetchConfigurationIfOlder(Node &node)
    {
        ReportedConfiguration const seen = node.instance->highestReportedConfiguration();
        if (seen.version <= node.instance->state().configuration.read()->version || node.isFetching)
            return;
        node.isFetching = true;
        this->time.after(oneWaysUntilRequest * this->oneWay, [this, &node, peer = seen.peer] {
            Node &server = this->nodes[this->indices.at(peer)];
            ++server.served;
            auto const configuration = server.instance->state().configuration.read();
            this->time.after(this->oneWay + serveTime, [this, &node, configuration] {
                this->install(node, *configuration);
                node.isFetching = false;
            });
        });
    }

    void fetchRecordsIfStale(Node &node)
    {
        auto const peer = node.instance->startDueRecordFetch(this->time.now());
        if (!peer)
            return;
        Blackboard const &source = this->nodes[this->indices.at(*peer)].instance->state();
        node.instance->handleRecords(source.members.values(), source.targets.values(), this->time.now());
    }

    SimulatedTime time;
    Duration oneWay;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::unordered_map<InstanceId, std::size_t> indices;
    std::unordered_map<std::uint64_t, std::size_t> inForce; // Instances by version.
    std::vector<std::string> controlNames;
    ControlCluster control;
};

struct SpreadResult
{
    Spread accepted; // Milliseconds.
    Spread inForce; // Seconds.
    std::size_t mostServed = 0;
    std::size_t missed = 0; // Changes that were not in force everywhere within spreadLimit.
};

SpreadResult measureDeployment(Deployment const &deployment, std::uint64_t seed)
{
    SpreadCluster cluster(deployment, seed);
    cluster.run(settleTime);
    SpreadResult result;
    std::vector<double> accepted;
    std::vector<double> inForce;
    VERIFY(cluster.change(applyRequest(deployment.manifest, 0)));
    for (std::size_t index = 0; index < changeCount; ++index) {
        cluster.run(cluster.randomUpTo(longestPause));
        auto const times = cluster.change(drainRequest(index));
        if (!times) {
            ++result.missed;
            continue;
        }
        accepted.push_back(std::chrono::duration<double, std::milli>(times->accepted).count());
        inForce.push_back(std::chrono::duration<double>(times->inForce).count());
        result.mostServed = std::max(result.mostServed, times->mostServed);
    }
    result.accepted = spreadOf(std::move(accepted));
    result.inForce = spreadOf(std::move(inForce));
    return result;
}

std::vector<std::string> rowOf(Deployment const &deployment, SpreadResult const &result)
{
    double const slowest = result.inForce.highest + result.accepted.highest / 1000;
    return {deployment.name,
            fmt::format("{}", deployment.instances),
            fmt::format("{}", deployment.controlInstances),
            fmt::format("{}", std::chrono::duration<double, std::milli>(deployment.oneWay).count()),
            fmt::format("{:.1f}, at most {:.1f}", result.accepted.median, result.accepted.highest),
            fmt::format("{:.2f}", result.inForce.median),
            fmt::format("{:.2f} to {:.2f}", result.inForce.lowest, result.inForce.highest),
            fmt::format("{}", result.mostServed),
            fmt::format("{}", result.missed),
            result.missed == 0 && slowest <= targetSeconds ? "yes" : "no"};
}

std::vector<std::string> growthRow(std::string const &figure, std::vector<Point> const &points, double at)
{
    Slope const slope = slopeOf(points);
    double const continued = slope.intercept + slope.slope * at;
    return {figure, fmt::format("{:.4f}", slope.slope),
            fmt::format("{:.4f} to {:.4f}", slope.lowest, slope.highest), fmt::format("{:.2f}", continued),
            continued <= targetSeconds ? "yes" : "no"};
}

} // namespace

std::vector<ReportTable> measureConfigurationSpread(std::uint64_t seed)
{
    ReportTable times{.title = fmt::format("From the acceptance of a change until it is in force on every "
                                           "instance, {} changes each",
                                           changeCount),
                      .columns = {"deployment", "instances", "control instances", "one way, ms",
                                  "accepted after, ms (median)", "in force everywhere after, s (median)",
                                  "range, s", "most fetches from one instance for a change",
                                  "not in force after 60 s", "target (6 s) met"}};
    Manifest design = designSizeManifest();
    design.services.resize(1); // Their number does not change the time of the simulated messages.
    std::vector<Deployment> deployments{
        {"sk-central", exampleManifest("sk-central"), 9, 3, 500us},
        {"tz-dar", exampleManifest("tz-dar"), 6, 3, 500us},
    };
    for (std::size_t const size : {20U, 60U, 200U})
        deployments.push_back({"5 failure domains", design, size, 7, 5ms});
    std::vector<Point> medians;
    std::vector<Point> highest;
    std::vector<Point> highestByCount;
    for (Deployment const &deployment : deployments) {
        SpreadResult const result = measureDeployment(deployment, seed);
        times.rows.push_back(rowOf(deployment, result));
        if (deployment.controlInstances != 7)
            continue;
        auto const count = static_cast<double>(deployment.instances);
        medians.push_back(Point{.x = std::log2(count), .y = result.inForce.median});
        highest.push_back(Point{.x = std::log2(count), .y = result.inForce.highest});
        highestByCount.push_back(Point{.x = count, .y = result.inForce.highest});
    }
    ReportTable const growth{
        .title = "Growth over the sizes with 5 failure domains",
        .columns = {"figure", "least-squares slope, s", "range between neighbouring sizes",
                    "line continued to 680 instances, s (calculated, not measured)", "target (6 s) met"},
        .rows = {growthRow("median, for each doubling", medians, std::log2(designInstances)),
                 growthRow("slowest change, for each doubling", highest, std::log2(designInstances)),
                 growthRow("slowest change, for each instance", highestByCount, designInstances)}};
    return {times, growth};
}

} // namespace almondwing
