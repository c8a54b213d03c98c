// Instances of one cluster in one process, on a lossless link without delay, with targets that echo the
// packets of flows and leave requests to a hook. Time advances by steps, with stops in between for events of
// the experiment; the seed decides which instance a packet reaches.

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
    bool isRunning = true; // A leaving target exits when its flows have ended.
};

// Bytes of messages between instances, without packets that are forwarded.
struct ControlTraffic
{
    std::uint64_t bytes = 0;
    std::uint64_t bytesInSecond = 0;
    std::uint64_t peakSecond = 0;
    std::map<std::string, std::uint64_t> bytesByKind = {};

    friend bool operator==(ControlTraffic const &, ControlTraffic const &) = default;
};

class InstanceCluster
{
public:
    using ReplyHook = std::function<void(Endpoint caller, CallerReply const &)>;
    // A message about a request that instance `sender` has sent to a target.
    using RequestHook =
        std::function<void(std::size_t sender, std::string const &target, TargetCommand const &)>;

    InstanceCluster(std::uint64_t seed, std::vector<std::string> const &domains,
                    std::size_t instancesPerDomain, ReplyHook replyHook, RequestHook requestHook = {},
                    RequestSettings requestSettings = {});
    InstanceCluster(InstanceCluster const &) = delete; // The hooks refer to this object.
    InstanceCluster &operator=(InstanceCluster const &) = delete;

    void addTarget(std::string const &name, std::string const &domain);
    void leaveTarget(std::string const &name);

    void startInstance(std::size_t index);
    void beginStop(std::size_t index);
    bool isStopped(std::size_t index) const;
    void removeInstance(std::size_t index) { this->instances[index] = nullptr; }

    // A packet of a caller, which reaches a random running instance.
    void send(CallerMessage const &message);
    void send(Endpoint caller, CallerMessage const &message);

    // An answer of a target about a request.
    void sendFromTarget(std::string const &target, std::size_t receiver, TargetMessage const &message);

    // Every instance gets the changed configuration at once.
    void setFailureDomainState(std::string const &domain, FailureDomainState state);

    // Delivers all messages and advances the time to the next step.
    void step();

    // Advances the time to a moment before the next step.
    void advanceTo(Timestamp time);
    Timestamp nextStep() const { return this->nextStepAt; }

    // Sends at most one part of a bulk answer from each instance. Returns when to call again, if parts wait.
    std::optional<Timestamp> sendBulkParts();

    bool isWarm(std::string const &target) const;
    std::string targetOfFlow(std::uint64_t flow) const;
    std::map<std::string, EchoTarget> const &echoTargets() const { return this->targets; }
    std::size_t instanceCount() const { return this->instances.size(); }
    Timestamp time() const { return this->now; }

    std::vector<ControlTraffic> controlTraffic; // By instance.
    std::size_t recordFetches = 0; // Over HTTP, not part of the control bytes.
    std::size_t doubleOpens = 0; // Flows opened at a second target.

private:
    Outbox outboxOf(std::size_t index);
    MemberRecord firstRecordOf(std::size_t index) const;
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
    std::vector<MemberRecord> members; // By instance, with the present incarnation.
    std::vector<std::unique_ptr<Instance>> instances; // Null while an instance is down.
    std::unordered_map<InstanceId, std::size_t> indices;
    std::map<std::string, EchoTarget> targets;
    std::unordered_map<Endpoint, std::string> targetNames;
    std::unordered_map<std::uint64_t, std::string> flowTargets;
    std::deque<std::function<void()>> link; // Deliveries under way, so that no hook calls back.
    Timestamp now{1000s};
    Timestamp nextStepAt = now + clusterStep;
    Duration sinceSecond{};
    std::uint16_t nextPort = 10'000;
};

} // namespace almondwing
