// Complete instances, each with all controllers on one blackboard, connected by a fake network that can lose
// messages and isolate failure domains, with fake targets and callers. The test advances the time.

#pragma once

#include <LibInstance/Instance.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

class InstanceCluster
{
public:
    InstanceCluster(std::uint64_t seed, std::vector<std::string> const &failureDomains,
                    std::size_t instancesPerDomain);

    void addTarget(std::string const &name, std::string const &failureDomain);
    void restartTarget(std::string const &name);
    void changeManifest(std::function<void(Manifest &)> const &change);

    void killInstance(std::size_t index);
    void startInstance(std::size_t index);
    void stopInstance(std::size_t index); // Gracefully: it runs until its work is done.
    void freezeInstance(std::size_t index); // It receives nothing and does nothing until resumed.
    void resumeInstance(std::size_t index);
    // Isolates a failure domain from all others. Callers still reach all instances.
    void isolate(std::string const &failureDomain);
    void heal();

    // These send a message of a caller to a random running instance, of the given failure domain if there is
    // one.
    void openFlow(std::uint64_t flow, std::string const &receivingDomain = {});
    void sendData(std::uint64_t flow, std::string const &receivingDomain = {});
    void sendRequest(Request const &request);

    void advance(Duration duration);

    bool isRunning(std::size_t index) const { return this->nodes[index].instance != nullptr; }
    std::size_t instanceCount() const { return this->nodes.size(); }
    std::string domainOf(std::size_t index) const { return this->nodes[index].member.failureDomain; }
    Instance &instanceAt(std::size_t index) { return *this->nodes[index].instance; }
    // By the routing view of the first running instance.
    std::size_t dispatcherOf(std::string const &target) const;
    std::string domainOfFlow(std::uint64_t flow) const; // Of the target that has the flow; empty if none has.
    ServiceId service() const;
    Timestamp time() const { return this->now; }

    std::set<std::uint64_t> established;
    std::map<std::uint64_t, Reason> broken;
    std::map<std::uint64_t, Reason> refused;
    std::map<std::uint64_t, std::size_t> echoes;
    // By request number, as are the next three maps.
    std::map<std::uint64_t, Reason> notRun;
    std::map<std::uint64_t, Reason> outcomeUnknown;
    std::map<std::uint64_t, std::string> answers; // Complete answers.
    std::map<std::uint64_t, std::size_t> runs; // The number of executions at all targets.
    std::vector<std::string> violations; // Exceeded limits and wrong answers.
    double lossProbability = 0;

private:
    struct Run
    {
        RunRequest command;
        std::size_t dispatcher = 0;
        Timestamp endsAt;
    };

    struct FakeTarget
    {
        TargetAnnouncement announcement;
        Timestamp nextAnnouncement;
        std::set<std::uint64_t> flows;
        std::set<std::uint64_t> knownTries;
        std::vector<Run> running;
        Timestamp startedAt;
    };

    struct Node
    {
        MemberRecord member;
        std::unique_ptr<Instance> instance; // Null while the process does not run.
        bool isFrozen = false;
    };

    struct Datagram
    {
        std::size_t sender = 0;
        std::size_t receiver = 0;
        PeerMessage message;
    };

    Outbox outboxOf(std::size_t index);
    std::size_t pickReceivingInstance(std::string const &failureDomain);
    bool canReach(std::size_t sender, std::size_t receiver) const;
    void deliverAll();
    void tickNode(std::size_t index);
    void announceTargets();
    void announce(FakeTarget &target);
    void finishRuns();
    void handleAtTarget(std::size_t dispatcher, Endpoint endpoint, TargetCommand const &command);
    void startRun(FakeTarget &target, std::size_t dispatcher, RunRequest const &command);
    void handleAtCaller(CallerReply const &reply);
    void fetchForNode(std::size_t index);

    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::map<std::string, FakeTarget> targets;
    std::deque<Datagram> network;
    std::set<std::string> isolatedDomains;
    Configuration configuration;
    Timestamp now{1000s};
    std::uint64_t incarnation = 1;
};

} // namespace almondwing
