// Measures broken flows, imbalance and peer traffic during planned changes to a cluster.

#include "CallerPopulation.h"
#include "Experiments.h"

#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t targetCount = 15;
constexpr std::size_t scaledTargetCount = 22;
constexpr std::size_t instancesPerDomain = 2;
constexpr std::size_t longFlowCount = 15'000;
// Short flows provide the new work with which targets ramp up.
constexpr std::size_t shortFlowsPerSecond = 1'000;
constexpr Duration rampTimeout = 600s;
constexpr Duration drainTimeout = 600s;
constexpr Duration restartTimeout = 150s;
constexpr Duration windowTime = 30s;
constexpr double maxPeerBytesPerSecond = 2048; // Sent by one instance.
constexpr double maxImbalance = 1.25;

std::vector<std::string> domains()
{
    return {"zvolen", "banska", "brezno"};
}

struct TrafficWindow
{
    std::string phase;
    double seconds = 0;
    double meanRate = 0; // Bytes per second, mean of all instances.
    double maxRate = 0; // Bytes per second of the instance that sent the most.
    std::uint64_t peakBytesPerSecond = 0;
    std::map<std::string, double> meanRates = {}; // By kind of message, in bytes per second.
};

// Runs `phase` and returns the peer traffic that the instances send during it.
TrafficWindow measurePeerTraffic(CallerPopulation &callers, std::string const &name,
                                 std::function<void()> const &phase)
{
    InstanceCluster &cluster = *callers.cluster;
    for (PeerTraffic &traffic : cluster.peerTraffic)
        traffic = {};
    Timestamp const start = cluster.time();
    phase();
    TrafficWindow window{.phase = name};
    window.seconds = std::chrono::duration<double>(cluster.time() - start).count();
    for (PeerTraffic const &traffic : cluster.peerTraffic) {
        double const rate = static_cast<double>(traffic.bytes) / window.seconds;
        window.meanRate += rate / static_cast<double>(cluster.instanceCount());
        window.maxRate = std::max(window.maxRate, rate);
        window.peakBytesPerSecond = std::max(window.peakBytesPerSecond, traffic.peakBytesPerSecond);
        for (auto const &[kind, bytes] : traffic.bytesByKind)
            window.meanRates[kind] +=
                static_cast<double>(bytes) / window.seconds / static_cast<double>(cluster.instanceCount());
    }
    return window;
}

void runUntil(CallerPopulation &callers, Duration limit, std::function<bool()> const &isDone)
{
    for (Timestamp const end = callers.cluster->time() + limit; callers.cluster->time() < end && !isDone();)
        callers.run(500ms, shortFlowsPerSecond);
}

void runUntilWarm(CallerPopulation &callers)
{
    runUntil(callers, rampTimeout, [&] { return callers.areAllWarm(); });
    VERIFY(callers.areAllWarm());
}

// Brings the cluster to 15 warm targets with all long flows open.
void prepare(CallerPopulation &callers)
{
    callers.run(5s, 0);
    for (std::size_t index = 0; index < targetCount; ++index)
        callers.addTarget(fmt::format("old-{}", index), domains()[index % domains().size()]);
    callers.run(5s, 0);
    runUntilWarm(callers);
    for (std::size_t opened = 0; opened < longFlowCount; opened += 1'000) {
        callers.openFlows(1'000, FlowLifetime::Long);
        callers.run(250ms, 0);
    }
    // The short flows that warmed up the targets end within this time.
    callers.run(20s, 0);
}

void waitForDrain(CallerPopulation &callers)
{
    runUntil(callers, drainTimeout, [&] {
        return std::ranges::all_of(callers.cluster->echoTargets(), [](auto const &entry) {
            bool const isLeaving = entry.second.announcement.state == AnnouncedState::Leaving;
            return !isLeaving || entry.second.flows.empty();
        });
    });
}

// Replaces the targets of one failure domain after the other: adds its new targets and, when they are warm,
// drains its old ones.
void replaceTargets(CallerPopulation &callers)
{
    for (std::size_t domain = 0; domain < domains().size(); ++domain) {
        for (std::size_t index = domain; index < targetCount; index += domains().size())
            callers.addTarget(fmt::format("new-{}", index), domains()[domain]);
        callers.run(5s, shortFlowsPerSecond);
        runUntilWarm(callers);
        for (std::size_t index = domain; index < targetCount; index += domains().size()) {
            callers.drainTarget(fmt::format("old-{}", index));
            callers.run(2s, shortFlowsPerSecond);
        }
    }
    waitForDrain(callers);
}

void scaleTargets(CallerPopulation &callers)
{
    for (std::size_t index = targetCount; index < scaledTargetCount; ++index)
        callers.addTarget(fmt::format("added-{}", index), domains()[index % domains().size()]);
    callers.run(5s, shortFlowsPerSecond);
    runUntilWarm(callers);
}

void restartInstances(CallerPopulation &callers)
{
    InstanceCluster &cluster = *callers.cluster;
    for (std::size_t index = 0; index < cluster.instanceCount(); ++index) {
        cluster.beginStop(index);
        runUntil(callers, restartTimeout, [&] { return cluster.isStopped(index); });
        VERIFY(cluster.isStopped(index));
        cluster.removeInstance(index);
        callers.run(2s, shortFlowsPerSecond);
        cluster.startInstance(index);
        callers.run(10s, shortFlowsPerSecond);
    }
}

// Maximum divided by mean of the number of flows on each of the given targets.
double imbalanceOf(FlowsByTarget const &flows, std::vector<std::string> const &targets)
{
    double maximum = 0;
    double total = 0;
    for (std::string const &target : targets) {
        auto const found = flows.find(target);
        double const count = found == flows.end() ? 0 : static_cast<double>(found->second);
        maximum = std::max(maximum, count);
        total += count;
    }
    return total == 0 ? 0 : maximum * static_cast<double>(targets.size()) / total;
}

std::vector<std::string> warmTargets(CallerPopulation const &callers)
{
    std::vector<std::string> warm;
    for (std::string const &name : callers.liveTargets()) {
        if (callers.cluster->isWarm(name))
            warm.push_back(name);
    }
    return warm;
}

template<typename Count>
std::string formatCounts(std::map<std::string, Count> const &counts)
{
    std::string text;
    for (auto const &[name, count] : counts)
        text += fmt::format("{}{} {:.0f}", text.empty() ? "" : ", ", name, static_cast<double>(count));
    return text;
}

std::string formatBrokenFlows(BrokenFlows const &broken)
{
    return fmt::format("{} long, {} short", broken.longFlows, broken.shortFlows);
}

struct Change
{
    std::string name;
    std::function<void(CallerPopulation &)> apply;
};

using Row = std::vector<std::string>;

// The rows that one change adds to the tables of the report.
struct ChangeRows
{
    Row flows;
    Row imbalance;
    std::vector<Row> traffic;
};

std::string yesOrNo(bool isMet)
{
    return isMet ? "yes" : "no";
}

Row trafficRow(TrafficWindow const &window)
{
    return {window.phase,
            fmt::format("{:.0f}", window.seconds),
            fmt::format("{:.0f}", window.meanRate),
            fmt::format("{:.0f}", window.maxRate),
            fmt::format("{}", window.peakBytesPerSecond),
            yesOrNo(window.maxRate <= maxPeerBytesPerSecond),
            formatCounts(window.meanRates)};
}

ChangeRows measureChange(Change const &change, std::uint64_t seed)
{
    CallerPopulation callers(seed, domains(), instancesPerDomain);
    prepare(callers);
    auto const idle =
        measurePeerTraffic(callers, fmt::format("{}: idle before, long flows open", change.name),
                           [&] { callers.run(windowTime, 0); });
    auto const steady = measurePeerTraffic(callers, fmt::format("{}: new short flows before", change.name),
                                           [&] { callers.run(windowTime, shortFlowsPerSecond); });
    callers.resetCounts();
    auto const during =
        measurePeerTraffic(callers, fmt::format("{}: change", change.name), [&] { change.apply(callers); });
    callers.opened.clear();
    callers.openedBaseline.clear();
    auto const after = measurePeerTraffic(callers, fmt::format("{}: new short flows after", change.name),
                                          [&] { callers.run(windowTime, shortFlowsPerSecond); });
    std::size_t const packets = callers.packets;
    std::size_t const unanswered = callers.countUnansweredFlows();
    ChangeRows rows;
    for (TrafficWindow const &window : {idle, steady, during, after})
        rows.traffic.push_back(trafficRow(window));
    rows.flows = {change.name,
                  fmt::format("{}", packets),
                  formatBrokenFlows(callers.broken),
                  formatCounts(callers.brokenReasons),
                  formatBrokenFlows(callers.brokenBaseline),
                  fmt::format("{}", unanswered),
                  fmt::format("{}", callers.cluster->doubleOpens),
                  fmt::format("{}", callers.refusedOpens),
                  fmt::format("{}", callers.cluster->recordFetches)};
    auto const warm = warmTargets(callers);
    double const all = imbalanceOf(callers.flowsByTarget(), warm);
    double const opened = imbalanceOf(callers.opened, warm);
    rows.imbalance = {
        change.name,
        fmt::format("{} of {}", warm.size(), callers.liveTargets().size()),
        fmt::format("{:.3f}", all),
        fmt::format("{:.3f}", opened),
        yesOrNo(opened <= maxImbalance),
        fmt::format("{:.3f}", imbalanceOf(callers.baselineFlowsByTarget(), callers.liveTargets())),
        fmt::format("{:.3f}", imbalanceOf(callers.openedBaseline, callers.liveTargets()))};
    return rows;
}

} // namespace

Report runBalanceExperiment(std::uint64_t seed)
{
    ReportTable flows{.title = "Broken flows during the change and 30 s after it",
                      .columns = {"change", "packets", "broken", "reasons", "broken, plain rendezvous",
                                  "long flows unanswered at the end", "flows opened twice", "refused opens",
                                  "record fetches since the start"}};
    ReportTable imbalance{.title = "Imbalance (largest over mean of the flows at a warm target)",
                          .columns = {"change", "warm targets", "all flows at the end",
                                      "opened after the change", "target (1.25) met by new flows",
                                      "all flows, plain rendezvous", "opened after, plain rendezvous"}};
    ReportTable traffic{
        .title = "Control bytes sent by an instance (peer datagrams but Forwarded, as encoded)",
        .columns = {"phase", "seconds", "mean B/s", "B/s of the highest instance", "highest single second, B",
                    "target (2,048 B/s) met", "mean B/s by kind"}};
    std::vector<Change> const changes{{"(a) rolling replacement", replaceTargets},
                                      {"(b) scaling from 15 to 22", scaleTargets},
                                      {"(c) restart of each instance", restartInstances}};
    // Each change runs on its own cluster, so the results do not depend on the scheduling of the threads.
    std::vector<std::future<ChangeRows>> results;
    results.reserve(changes.size());
    for (Change const &change : changes)
        results.push_back(
            std::async(std::launch::async, [change, seed] { return measureChange(change, seed); }));
    for (auto &result : results) {
        ChangeRows const rows = result.get();
        flows.rows.push_back(rows.flows);
        imbalance.rows.push_back(rows.imbalance);
        traffic.rows.insert(traffic.rows.end(), rows.traffic.begin(), rows.traffic.end());
    }
    return Report{
        .experiment = "balance",
        .seed = seed,
        .tables = {flows, imbalance, traffic},
        .notes = {fmt::format(
            "6 instances in 3 failure domains, 15 targets, {} long flows and {} short flows of 1 s a second; "
            "each flow sends a packet to a random instance every 4 s on average. Simulated time, link "
            "without loss and delay. The baseline takes a target out when it begins to drain; a flow of it "
            "counts as broken each time that a packet goes to another target than the one before. Record "
            "fetches go over HTTP and are not part of the control bytes.",
            longFlowCount, shortFlowsPerSecond)}};
}

} // namespace almondwing
