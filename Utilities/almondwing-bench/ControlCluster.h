// Control instances of one cluster in one process: the replicated log of the daemon on files in a temporary
// folder, the state machine on top of it, and HTTP connections without loss in simulated time.

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

// A temporary folder that is removed with its contents when the object is destroyed.
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

// Counts of what a replica has sent and written.
struct ReplicaTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bodyBytes = 0; // As LibControlWire encodes them.
    std::uint64_t httpBytes = 0; // Bodies with HTTP headers, and the responses to calls of other replicas.
    std::uint64_t diskBytes = 0;

    friend bool operator==(ReplicaTraffic const &, ReplicaTraffic const &) = default;
};

// Sizes of HTTP messages as LibFrontEnd sends them, without TCP and IP headers.
std::size_t httpPostBytes(std::string const &path, std::size_t bodyBytes);
std::size_t httpGetBytes(std::string const &path);
std::size_t httpResponseBytes(std::size_t bodyBytes);

struct ControlClusterSettings
{
    std::vector<std::string> names; // Of the control instances.
    Duration oneWayDelay{};
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

    // The index of the leader; nothing if there is none or if several replicas consider themselves leader.
    std::optional<std::size_t> leader() const;

    // Proposes the change at the leader, which must exist.
    void submit(ChangeRequest const &request);

    std::size_t size() const { return this->controlInstances.size(); }
    ReplicaTraffic const &traffic(std::size_t index) const { return this->controlInstances[index].traffic; }
    Cell<ConfigurationState>::Snapshot state(std::size_t index) const;

private:
    struct ControlInstance
    {
        std::unique_ptr<TemporaryFolder> folder = std::make_unique<TemporaryFolder>();
        std::unique_ptr<ConfigurationStateMachine> stateMachine =
            std::make_unique<ConfigurationStateMachine>();
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
    std::vector<ControlInstance> controlInstances;
};

} // namespace almondwing
