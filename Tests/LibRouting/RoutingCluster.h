// The routing controllers of several instances, connected by a simulated network that loses and duplicates
// messages, with simulated targets. The test advances the time.

#pragma once

#include <LibCore/Time.h>
#include <LibRouting/ClaimController.h>
#include <LibRouting/FlowController.h>
#include <LibRouting/FlowSweeper.h>
#include <LibRouting/HandoverController.h>
#include <LibRouting/RouteChoice.h>
#include <LibRouting/RoutingController.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

// The blackboard and the routing controllers of one instance.
struct RoutingInstance
{
    explicit RoutingInstance(Outbox const &outbox);

    Blackboard blackboard;
    RoutingController routing;
    FlowController flows;
    FlowSweeper sweeper;
    ClaimController claims;
    HandoverController handover;
    bool isAlive = true;
};

class RoutingCluster
{
public:
    RoutingCluster(std::uint64_t seed, std::vector<std::string> const &domains,
                   std::size_t instancesPerDomain);

    // Changes of targets and instances reach every living instance within a second.
    void addTarget(std::string const &name, std::string const &domain,
                   std::string const &service = "cab-link");
    void restartTarget(std::string const &name);
    void setTargetState(std::string const &name, TargetState state);
    void setRampLevel(std::string const &name, std::uint8_t level);
    // The target answers no packets of the flow from now on, as after a middlebox has lost the state of the
    // flow.
    void silenceFlow(std::uint64_t flow) { this->silentFlows.insert(flow); }
    void setDomainState(std::string const &domain, FailureDomainState state);
    void killInstance(std::size_t index);
    void leaveInstance(std::size_t index);
    void startInstance(std::size_t index);

    // Flows from this number on belong to the service manifest-desk, the others to cab-link.
    static constexpr std::uint64_t firstDeskFlow = 10'000;
    // Both send a packet of the flow to a random living instance.
    void openFlow(std::uint64_t flow);
    void sendData(std::uint64_t flow);

    // Delivers all messages in transit, then advances the time in ticks and runs the controllers at each
    // tick.
    void advance(Duration duration);
    void deliverAll();

    Timestamp time() const { return this->now; }
    std::size_t instanceCount() const { return this->instances.size(); }
    std::size_t aliveCount() const;
    std::size_t openFlowsAt(std::string const &target) const;
    // Describes where each instance and target has the flow, for the report of a failed test.
    std::string describeFlow(std::uint64_t flow) const;
    Blackboard &blackboardOf(std::size_t index) { return this->instances[index]->blackboard; }

    std::set<std::uint64_t> established; // Accepted by a target and not reported broken.
    std::map<std::uint64_t, Reason> broken;
    std::map<std::uint64_t, Reason> refused;
    std::map<std::uint64_t, std::size_t> answers; // Echoes seen by the caller.
    // Packets to a target of another service, and flows opened at two targets.
    std::vector<std::string> violations;
    double lossProbability = 0;
    double duplicateProbability = 0;

private:
    struct FakeTarget
    {
        TargetRecord record;
        std::set<std::uint64_t> flows;
    };

    struct Envelope
    {
        std::size_t receiver = 0;
        Forwarded forwarded;
        PeerMessage message;
        bool isFromCaller = false;
    };

    Outbox outboxOf(std::size_t index);
    MemberRecord memberRecordOf(std::size_t index) const;
    void publishMember(std::size_t index, MemberState state);
    void publishTarget(FakeTarget &target);
    void publishTargets(); // Publishes the records of all targets after a change of the members.
    void deliver(Envelope const &envelope);
    void handleForwarded(std::size_t receiver, Forwarded const &forwarded);
    void handleAtTarget(std::size_t sender, Endpoint endpoint, TargetCommand const &command);
    void handleAtCaller(CallerReply const &reply);
    void sendToRandomInstance(CallerMessage const &message);
    FlowKey keyOfNumber(std::uint64_t flow) const;
    std::size_t indexOf(InstanceId id) const;

    std::mt19937_64 random;
    std::set<std::uint64_t> silentFlows;
    std::vector<std::string> domainOfInstance;
    std::vector<std::unique_ptr<RoutingInstance>> instances;
    std::vector<std::uint64_t> incarnations; // Of the current or last process of each instance.
    std::map<std::string, FakeTarget> targets;
    std::deque<Envelope> link;
    // Blackboard updates that instances receive later, each at its own time.
    std::vector<std::pair<Timestamp, std::function<void()>>> delayedUpdates;
    Configuration configuration;
    Timestamp now{1000s};
    std::uint16_t nextPort = 10000;
};

} // namespace almondwing
