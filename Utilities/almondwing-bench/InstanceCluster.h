// Instances of one cluster in one process, on a network without loss or delay, with targets that echo the
// packets of flows and pass requests to a hook. Simulated time advances in steps; an experiment can also
// advance it to the time of an event between two steps. The seed decides which instance a packet reaches.

#pragma once

#include <LibInstance/Instance.h>
#include <LibWire/WireCodec.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace almondwing {

constexpr Duration clusterStep = 25ms;

struct EchoTarget
{
    TargetAnnouncement announcement;
    std::unordered_set<std::uint64_t> flows;
    Timestamp nextAnnouncement;
    bool isRunning = true; // A leaving target stops running when its last flow has ended.
};

// Bytes of the messages that one instance sends to others, except forwarded packets. The reports call them
// control bytes.
struct PeerTraffic
{
    std::uint64_t bytes = 0;
    std::uint64_t bytesInSecond = 0;
    std::uint64_t peakBytesPerSecond = 0;
    std::map<std::string, std::uint64_t> bytesByKind = {};

    friend bool operator==(PeerTraffic const &, PeerTraffic const &) = default;
};

class InstanceCluster
{
public:
    using ReplyHook = std::function<void(Endpoint caller, CallerReply const &)>;
    // Receives each message about a request that instance `sender` sends to a target.
    using RequestHook =
        std::function<void(std::size_t sender, std::string const &target, TargetCommand const &)>;

    InstanceCluster(std::uint64_t seed, std::vector<std::string> const &domains,
                    std::size_t instancesPerDomain, ReplyHook replyHook, RequestHook requestHook = {},
                    RequestSettings requestSettings = {});
    InstanceCluster(InstanceCluster const &) = delete; // The hooks refer to this object.
    InstanceCluster &operator=(InstanceCluster const &) = delete;

    void addTarget(std::string const &name, std::string const &domain);
    void drainTarget(std::string const &name);

    void startInstance(std::size_t index);
    void beginStop(std::size_t index);
    bool isStopped(std::size_t index) const;
    void removeInstance(std::size_t index) { this->instances[index] = nullptr; }

    // Delivers a packet of a caller to a random running instance.
    void send(CallerMessage const &message);
    void send(Endpoint caller, CallerMessage const &message);

    // Queues a message of a target, for example a part of an answer, for the instance `receiver`.
    void sendFromTarget(std::string const &target, std::size_t receiver, TargetMessage const &message);

    // Hands the changed configuration to every running instance immediately.
    void setFailureDomainState(std::string const &domain, FailureDomainState state);

    // Advances the time to the next step, runs the periodic work of targets and instances, and delivers all
    // messages.
    void step();

    // Advances the time, at most to the next step, and delivers all messages.
    void advanceTo(Timestamp time);
    Timestamp nextStep() const { return this->nextStepAt; }

    // Sends at most one part of a bulk answer from each instance. Returns the time of the next call if parts
    // are still pending.
    std::optional<Timestamp> sendBulkParts();

    bool isWarm(std::string const &target) const;
    std::string targetOfFlow(std::uint64_t flow) const; // Empty if the flow is not open.
    std::map<std::string, EchoTarget> const &echoTargets() const { return this->targets; }
    std::size_t instanceCount() const { return this->instances.size(); }
    Timestamp time() const { return this->now; }

    std::vector<PeerTraffic> peerTraffic; // By instance.
    std::size_t recordFetches = 0; // Made over HTTP and not included in the peer traffic.
    std::size_t doubleOpens = 0; // Opens of a flow that is already open on another target.

private:
    Outbox outboxOf(std::size_t index);
    MemberRecord initialRecordOf(std::size_t index) const;
    void sendToInstance(std::size_t from, InstanceId to, PeerMessage const &message);
    void handleAtTarget(std::size_t sender, Endpoint endpoint, TargetCommand const &command);
    void deliverToInstance(std::size_t from, std::size_t to, PeerMessage const &message);
    void deliverAll();
    void tickInstance(std::size_t index);
    void announce(EchoTarget &target);
    std::size_t randomInstance(std::string const &domain);

    std::mt19937_64 random;
    ReplyHook onReply;
    RequestHook onRequest;
    RequestSettings requestSettings;
    WireCodec codec = WireCodec::forCluster("bench");
    Configuration configuration;
    std::vector<std::string> domainOfInstance;
    std::vector<MemberRecord> members; // By instance, with the current incarnation.
    std::vector<std::unique_ptr<Instance>> instances; // Null while an instance is stopped.
    std::unordered_map<InstanceId, std::size_t> indices;
    std::map<std::string, EchoTarget> targets;
    std::unordered_map<Endpoint, std::string> targetNames;
    std::unordered_map<std::uint64_t, std::string> flowTargets;
    // Messages are queued rather than delivered in the hooks, so that no hook calls back into an instance.
    std::deque<std::function<void()>> pendingDeliveries;
    Timestamp now{1000s};
    Timestamp nextStepAt = now + clusterStep;
    Duration secondElapsed{};
    std::uint16_t nextPort = 10'000;
};

} // namespace almondwing
