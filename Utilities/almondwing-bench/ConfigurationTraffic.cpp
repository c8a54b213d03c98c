// Measures the bytes of configuration changes and of the idle replicated log.

#include "ConfigurationChanges.h"
#include "ConfigurationMeasurements.h"
#include "ControlCluster.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr Duration oneWayDelay = 500us;
constexpr Duration settleTime = 15s;
constexpr Duration idleTime = 60s;
constexpr Duration changeInterval = 3s;
constexpr std::size_t changeCount = 20;
constexpr double changesPerDay = 450;
constexpr double secondsPerDay = 86'400;
constexpr double maxBytesPerSecond = 2048;

std::vector<std::string> controlNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back(fmt::format("instance-{}", index));
    return names;
}

// Traffic per second or per change: of the leader, and the mean of the followers.
struct Rates
{
    double leaderMessages = 0;
    double leaderBody = 0;
    double leaderHttp = 0;
    double followerBody = 0;
    double followerHttp = 0;
    double disk = 0; // Mean of all control instances.
};

class TrafficMeter
{
public:
    explicit TrafficMeter(ControlCluster const &measuredCluster) : cluster(measuredCluster)
    {
        for (std::size_t index = 0; index < cluster.size(); ++index)
            this->initialTraffic.push_back(cluster.traffic(index));
    }

    Rates ratesPer(double divisor) const
    {
        auto const leader = this->cluster.leader();
        VERIFY(leader);
        Rates rates;
        auto const followers = static_cast<double>(this->cluster.size() - 1);
        for (std::size_t index = 0; index < this->cluster.size(); ++index) {
            ReplicaTraffic const &current = this->cluster.traffic(index);
            ReplicaTraffic const &initial = this->initialTraffic[index];
            double const body = static_cast<double>(current.bodyBytes - initial.bodyBytes) / divisor;
            double const http = static_cast<double>(current.httpBytes - initial.httpBytes) / divisor;
            rates.disk +=
                static_cast<double>(current.diskBytes - initial.diskBytes) / divisor / (followers + 1);
            if (index == *leader) {
                rates.leaderMessages = static_cast<double>(current.messages - initial.messages) / divisor;
                rates.leaderBody = body;
                rates.leaderHttp = http;
            } else {
                rates.followerBody += body / followers;
                rates.followerHttp += http / followers;
            }
        }
        return rates;
    }

private:
    ControlCluster const &cluster;
    std::vector<ReplicaTraffic> initialTraffic;
};

struct ChangeKind
{
    std::string name;
    Manifest manifest;
    std::function<ChangeRequest(std::uint64_t number, std::uint64_t version)> request;
};

// Converts bytes per change to the average rate over a day with `changesPerDay` changes.
double averageBytesPerSecond(double bytesPerChange)
{
    return bytesPerChange * changesPerDay / secondsPerDay;
}

std::vector<std::string> changeRow(ChangeKind const &kind, std::size_t controlInstances, std::uint64_t seed)
{
    SimulatedTime time;
    ControlCluster cluster(time,
                           ControlClusterSettings{.names = controlNames(controlInstances),
                                                  .oneWayDelay = oneWayDelay,
                                                  .seed = seed},
                           [](std::size_t, Configuration const &) {});
    time.run(settleTime);
    cluster.submit(applyRequest(kind.manifest, 0));
    time.run(settleTime);
    TrafficMeter const idleMeter(cluster);
    time.run(changeInterval * changeCount);
    Rates const idle = idleMeter.ratesPer(changeCount); // Idle traffic in one changeInterval.
    TrafficMeter const meter(cluster);
    for (std::uint64_t number = 0; number < changeCount; ++number) {
        cluster.submit(kind.request(number, number + 1));
        time.run(changeInterval);
    }
    Rates const changes = meter.ratesPer(changeCount);
    auto const state = cluster.state(*cluster.leader());
    VERIFY(state->configuration.version == changeCount + 1);
    auto const configuration = formatConfiguration(state->configuration).size();
    auto const fetched = static_cast<double>(httpResponseBytes(configuration));
    double const leader = changes.leaderHttp - idle.leaderHttp;
    double const maxRate = std::max(averageBytesPerSecond(leader), averageBytesPerSecond(fetched));
    return {kind.name,
            fmt::format("{}", controlInstances),
            fmt::format("{}", formatChangeRequest(kind.request(0, 1)).size()),
            fmt::format("{:.0f}", changes.disk - idle.disk),
            fmt::format("{:.0f}", changes.leaderBody - idle.leaderBody),
            fmt::format("{:.0f}", leader),
            fmt::format("{:.0f}", changes.followerHttp - idle.followerHttp),
            fmt::format("{:.0f}", fetched),
            fmt::format("{:.1f}", averageBytesPerSecond(leader)),
            fmt::format("{:.1f}", averageBytesPerSecond(fetched)),
            maxRate <= maxBytesPerSecond ? "yes" : "no"};
}

} // namespace

ReportTable measureChangeBytes(std::uint64_t seed)
{
    ReportTable table{
        .title = fmt::format("Bytes for each change, without those of the idle log, mean of {} changes",
                             changeCount),
        .columns = {"change", "control instances", "change as stored, B", "written to each disk, B",
                    "sent by the leader, bodies, B", "the same with HTTP, B", "sent by a follower, HTTP, B",
                    "fetched by an instance without a disk, B",
                    "leader at 450 changes a day, B/s (calculated)",
                    "instance without a disk at 450 changes a day, B/s (calculated)",
                    "target (2,048 B/s) met by changes alone"}};
    std::vector<ChangeKind> kinds;
    auto const addKinds = [&kinds](std::string const &name, Manifest const &manifest) {
        kinds.push_back({name + ", drain", manifest,
                         [](std::uint64_t number, std::uint64_t) { return drainRequest(number); }});
        kinds.push_back(
            {name + ", apply manifest", manifest,
             [manifest](std::uint64_t, std::uint64_t version) { return applyRequest(manifest, version); }});
    };
    addKinds("sk-central", exampleManifest("sk-central"));
    addKinds("tz-dar", exampleManifest("tz-dar"));
    addKinds("1,100 services", designSizeManifest());
    for (ChangeKind const &kind : kinds) {
        std::vector<std::size_t> const sizes = kind.manifest.deployment == "design-size"
            ? std::vector<std::size_t>{3, 7}
            : std::vector<std::size_t>{3};
        for (std::size_t const size : sizes)
            table.rows.push_back(changeRow(kind, size, seed));
    }
    return table;
}

ReportTable measureIdleLog(std::uint64_t seed)
{
    double const seconds = std::chrono::duration<double>(idleTime).count();
    ReportTable table{.title = fmt::format("Idle replicated log, {:.0f} simulated seconds", seconds),
                      .columns = {"control instances", "messages a second of the leader",
                                  "leader, bodies, B/s", "leader with HTTP, B/s", "follower, bodies, B/s",
                                  "follower with HTTP, B/s", "written to each disk, B/s",
                                  "target (2,048 B/s) met by the leader"}};
    for (std::size_t const size : {3U, 5U, 7U}) {
        SimulatedTime time;
        ControlCluster cluster(
            time,
            ControlClusterSettings{.names = controlNames(size), .oneWayDelay = oneWayDelay, .seed = seed},
            [](std::size_t, Configuration const &) {});
        time.run(settleTime);
        TrafficMeter const meter(cluster);
        time.run(idleTime);
        Rates const rates = meter.ratesPer(seconds);
        table.rows.push_back(
            {fmt::format("{}", size), fmt::format("{:.1f}", rates.leaderMessages),
             fmt::format("{:.0f}", rates.leaderBody), fmt::format("{:.0f}", rates.leaderHttp),
             fmt::format("{:.0f}", rates.followerBody), fmt::format("{:.0f}", rates.followerHttp),
             fmt::format("{:.0f}", rates.disk), rates.leaderHttp <= maxBytesPerSecond ? "yes" : "no"});
    }
    return table;
}

} // namespace almondwing
