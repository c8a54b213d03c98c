// Several instances' routing controllers, joined by a fake link that loses, repeats and cuts, with fake
// targets. Time is advanced by the test.

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

// The decision side of one instance.
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

    // Targets and the membership as every living instance is told, after at most a second.
    void addTarget(std::string const &name, std::string const &domain,
                   std::string const &service = "cab-link");
    void restartTarget(std::string const &name);
    void setTargetState(std::string const &name, TargetState state);
    void setRampLevel(std::string const &name, std::uint8_t level);
    // The target gets packets of the flow and answers none, as when a middlebox has lost track of it.
    void silenceFlow(std::uint64_t flow) { this->silentFlows.insert(flow); }
    void setDomainState(std::string const &domain, FailureDomainState state);
    void killInstance(std::size_t index);
    void leaveInstance(std::size_t index);
    void startInstance(std::size_t index);

    // A packet of the flow reaches a random living instance. Flows from firstDeskFlow on belong to
    // manifest-desk, the others to cab-link.
    static constexpr std::uint64_t firstDeskFlow = 10'000;
    void openFlow(std::uint64_t flow);
    void sendData(std::uint64_t flow);

    // Delivers all messages under way, then advances the time and lets the controllers act.
    void advance(Duration duration);
    void deliverAll();

    Timestamp time() const { return this->now; }
    std::size_t instanceCount() const { return this->instances.size(); }
    std::size_t aliveCount() const;
    std::size_t openFlowsAt(std::string const &target) const;
    // Where each instance and target believes the flow to be, for the report of a failed property.
    std::string describeFlow(std::uint64_t flow) const;
    Blackboard &blackboardOf(std::size_t index) { return this->instances[index]->blackboard; }

    std::set<std::uint64_t> established; // Accepted by a target and not reported broken.
    std::map<std::uint64_t, Reason> broken;
    std::map<std::uint64_t, Reason> refused;
    std::map<std::uint64_t, std::size_t> answers; // Echoes seen by the caller.
    std::vector<std::string> violations; // Packets at a target of another service, flows at two targets.
    double lossProbability = 0;
    double repeatProbability = 0;

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
    MemberRecord memberOf(std::size_t index) const;
    void publishMember(std::size_t index, MemberState state);
    void publishTarget(FakeTarget &target);
    void publishOwners(); // Each target's dispatcher publishes its record, after a change of the members.
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
    std::vector<std::uint64_t> incarnations; // Of the running or last process of each instance.
    std::map<std::string, FakeTarget> targets;
    std::deque<Envelope> link;
    // Blackboard writes that instances get later, each at its own time.
    std::vector<std::pair<Timestamp, std::function<void()>>> delayedUpdates;
    Configuration configuration;
    Timestamp now{1000s};
    std::uint16_t nextPort = 10000;
};

} // namespace almondwing
