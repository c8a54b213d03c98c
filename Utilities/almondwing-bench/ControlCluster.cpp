// Implements the cluster of control instances.

#include "ControlCluster.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibControlWire/ReplicationCodec.h>
#include <LibCore/Verify.h>
#include <LibReplication/FileStorage.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace almondwing {

namespace {

constexpr Duration coreTickInterval = 50ms; // The interval of ControlReplica.
constexpr char const *clusterName = "bench";
constexpr char const *replicationPath = "/v1/replication";

// Opening the connection takes a round trip before the request can be sent.
constexpr int oneWayDelaysOfPost = 3;

DiskHooks countingDisk(DiskHooks const &disk, ReplicaTraffic &traffic)
{
    DiskHooks counting = disk;
    counting.create = [disk, &traffic](std::string const &name, std::string_view data) {
        traffic.diskBytes += data.size();
        return disk.create(name, data);
    };
    counting.append = [disk, &traffic](std::string const &name, std::string_view data) {
        traffic.diskBytes += data.size();
        return disk.append(name, data);
    };
    return counting;
}

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "almondwing-bench-XXXXXX").string();
    VERIFY(mkdtemp(name.data()) != nullptr);
    this->folder = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::size_t httpPostBytes(std::string const &path, std::size_t bodyBytes)
{
    return bodyBytes
        + fmt::formatted_size("POST {} HTTP/1.1\r\nHost: 127.0.0.1:7004\r\nContent-Type: application/json\r\n"
                              "Connection: close\r\nContent-Length: {}\r\n\r\n",
                              path, bodyBytes);
}

std::size_t httpGetBytes(std::string const &path)
{
    return fmt::formatted_size("GET {} HTTP/1.1\r\nHost: 127.0.0.1:7004\r\nContent-Type: application/json\r\n"
                               "Connection: close\r\n\r\n",
                               path);
}

std::size_t httpResponseBytes(std::size_t bodyBytes)
{
    return bodyBytes
        + fmt::formatted_size("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                              "Content-Length: {}\r\n\r\n",
                              bodyBytes);
}

ControlCluster::ControlCluster(SimulatedTime &simulatedTime, ControlClusterSettings clusterSettings,
                               CommittedHook committedHook)
    : time(simulatedTime), settings(std::move(clusterSettings)), committed(std::move(committedHook)),
      random(settings.seed), replicas(settings.names.size())
{
    for (std::size_t index = 0; index < this->replicas.size(); ++index)
        this->startReplica(index);
}

void ControlCluster::startReplica(std::size_t index)
{
    Node &node = this->replicas[index];
    auto disk = openFolderDisk(node.folder->path().string());
    VERIFY(disk.ok());
    auto const storage = FileStorage::open(
        countingDisk(*disk, node.traffic), this->settings.names[index], [this] { return this->random(); },
        [](Event, std::string const &) {});
    VERIFY(storage.ok());
    node.core = std::make_unique<ReplicationCore>(
        ReplicationSettings{.controlInstances = this->settings.names}, (*storage)->loaded(),
        (*storage)->hooks(), this->hooksOf(index), this->time.now());
    Duration const firstDelay(
        static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(coreTickInterval.count())));
    this->time.scheduleRepeating(firstDelay, coreTickInterval,
                                 [this, &node] { node.core->tick(this->time.now()); });
}

ReplicationHooks ControlCluster::hooksOf(std::size_t index)
{
    return ReplicationHooks{
        .send = [this, index](ReplicaEnvelope const &envelope) { this->send(index, envelope); },
        .apply = [this, index](LogEntry const &entry) { this->apply(index, entry); },
        .restore = [](Snapshot const &) {},
        .takeSnapshot =
            [this, index] {
                return formatConfigurationState(*this->replicas[index].stateMachine->snapshot());
            },
        .resolveProposal = [](LogIndex, ProposalOutcome) {},
        .resolveRead = [](ReadToken, absl::Status const &) {},
        .mayBootstrap = [] { return true; },
        .random = [this] { return this->random(); },
        .report = [](Event, std::string const &) {}};
}

void ControlCluster::send(std::size_t from, ReplicaEnvelope const &envelope)
{
    std::string const body = encodeReplicaEnvelope(clusterName, envelope);
    ReplicaTraffic &traffic = this->replicas[from].traffic;
    ++traffic.messages;
    traffic.bodyBytes += body.size();
    traffic.httpBytes += httpPostBytes(replicationPath, body.size());
    auto const name = std::ranges::find(this->settings.names, envelope.to.instance);
    VERIFY(name != this->settings.names.end());
    auto const receiver = static_cast<std::size_t>(name - this->settings.names.begin());
    this->time.schedule(oneWayDelaysOfPost * this->settings.oneWayDelay, [this, receiver, body] {
        this->replicas[receiver].traffic.httpBytes += httpResponseBytes(std::string_view("{}").size());
        auto const decoded = decodeReplicaEnvelope(clusterName, body);
        VERIFY(decoded.ok());
        this->replicas[receiver].core->handleMessage(*decoded, this->time.now());
    });
}

void ControlCluster::apply(std::size_t index, LogEntry const &entry)
{
    auto const parsed = parseChangeRequest(entry.payload);
    auto const *const request = std::get_if<ChangeRequest>(&parsed);
    VERIFY(request != nullptr);
    auto const outcome = this->replicas[index].stateMachine->apply(entry.index, *request);
    VERIFY(std::holds_alternative<ChangeAccepted>(outcome));
    this->committed(index, this->state(index)->configuration);
}

std::optional<std::size_t> ControlCluster::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
        if (this->replicas[index].core->status().role != ReplicaRole::Leader)
            continue;
        if (found)
            return std::nullopt;
        found = index;
    }
    return found;
}

void ControlCluster::submit(ChangeRequest const &request)
{
    auto const leading = this->leader();
    VERIFY(leading);
    VERIFY(this->replicas[*leading].core->propose(formatChangeRequest(request), this->time.now()).ok());
}

Cell<ConfigurationState>::Snapshot ControlCluster::state(std::size_t index) const
{
    return this->replicas[index].stateMachine->snapshot();
}

} // namespace almondwing
