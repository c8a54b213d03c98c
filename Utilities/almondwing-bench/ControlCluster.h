// Control instances of one cluster in one process: the real replicated log on files in a temporary folder,
// the state machine on top, and an HTTP link without loss in simulated time.

#pragma once

#include "SimulatedTime.h"

#include <LibConfiguration/ConfigurationStateMachine.h>
#include <LibReplication/ReplicationCore.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace almondwing {

// A folder that is removed together with its contents.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(TemporaryFolder const &) = delete;
    TemporaryFolder &operator=(TemporaryFolder const &) = delete;

    std::filesystem::path path() const { return this->folder; }

private:
    std::filesystem::path folder;
};

// What a replica has sent and written.
struct ReplicaTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bodyBytes = 0; // As LibControlWire encodes them.
    std::uint64_t httpBytes = 0; // Bodies with HTTP headers, and the answers to calls of others.
    std::uint64_t diskBytes = 0;

    friend bool operator==(ReplicaTraffic const &, ReplicaTraffic const &) = default;
};

// Sizes of HTTP messages as LibFrontEnd sends them, without TCP and IP.
std::size_t httpPostBytes(std::string const &path, std::size_t bodyBytes);
std::size_t httpGetBytes(std::string const &path);
std::size_t httpAnswerBytes(std::size_t bodyBytes);

struct ControlClusterSettings
{
    std::vector<std::string> names; // Of the control instances.
    Duration oneWay{};
    std::uint64_t seed = 0;
};

class ControlCluster
{
public:
    using CommittedHook = std::function<void(std::size_t index, Configuration const &)>;

    ControlCluster(SimulatedTime &simulatedTime, ControlClusterSettings clusterSettings,
                   CommittedHook committedHook);
    ControlCluster(ControlCluster const &) = delete; // The hooks refer to this object.
    ControlCluster &operator=(ControlCluster const &) = delete;

    // The index of the only leader.
    std::optional<std::size_t> leader() const;

    // Proposes the change at the leader.
    void submit(ChangeRequest const &request);

    std::size_t size() const { return this->replicas.size(); }
    ReplicaTraffic const &traffic(std::size_t index) const { return this->replicas[index].traffic; }
    Cell<ConfigurationState>::Snapshot state(std::size_t index) const;

private:
    struct Node
    {
        std::unique_ptr<TemporaryFolder> folder = std::make_unique<TemporaryFolder>();
        std::unique_ptr<ConfigurationStateMachine> machine = std::make_unique<ConfigurationStateMachine>();
        std::unique_ptr<ReplicationCore> core{};
        ReplicaTraffic traffic{};
    };

    void startReplica(std::size_t index);
    ReplicationHooks hooksOf(std::size_t index);
    void send(std::size_t from, ReplicaEnvelope const &envelope);
    void apply(std::size_t index, LogEntry const &entry);

    SimulatedTime &time;
    ControlClusterSettings settings;
    CommittedHook committed;
    std::mt19937_64 random;
    std::vector<Node> replicas;
};

} // namespace almondwing
