// The callers of the balance experiment. They open long-lived and short flows on the cluster and, in the same
// run, compute which target plain rendezvous hashing over the live targets (the baseline) would choose.

#pragma once

#include "InstanceCluster.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondwing {

enum class FlowLifetime : std::uint8_t { Long, Short };

// Counts of broken flows, as the callers see them.
struct BrokenFlows
{
    std::size_t longFlows = 0;
    std::size_t shortFlows = 0;

    friend bool operator==(BrokenFlows const &, BrokenFlows const &) = default;
};

using FlowsByTarget = std::map<std::string, std::size_t>;

class CallerPopulation
{
public:
    CallerPopulation(std::uint64_t seed, std::vector<std::string> const &domains,
                     std::size_t instancesPerDomain);

    // The baseline uses the new target immediately; the cluster learns of it from its announcements.
    void addTarget(std::string const &name, std::string const &domain);
    // The target announces that it is leaving. The baseline moves its flows to other targets immediately.
    void drainTarget(std::string const &name);

    void openFlows(std::size_t count, FlowLifetime lifetime);
    // Runs one step of the cluster and opens short flows at the given rate.
    void step(std::size_t shortFlowsPerSecond);
    void run(Duration duration, std::size_t shortFlowsPerSecond);
    bool areAllWarm() const;

    // Sends up to three packets on each long flow and returns the number of flows without an answer.
    std::size_t countUnansweredFlows();

    void resetCounts();
    FlowsByTarget flowsByTarget() const;
    FlowsByTarget baselineFlowsByTarget() const;
    std::size_t openCount() const { return this->flows.size(); }
    std::vector<std::string> const &liveTargets() const { return this->liveNames; } // Not draining.

    std::unique_ptr<InstanceCluster> cluster;
    BrokenFlows broken;
    BrokenFlows brokenBaseline;
    std::map<std::string, std::size_t> brokenReasons; // Of the flows counted in `broken`, by reason.
    std::size_t refusedOpens = 0;
    std::size_t packets = 0;
    FlowsByTarget opened; // Flows opened since the last reset, by the target that accepted them.
    FlowsByTarget openedBaseline;

private:
    enum class State : std::uint8_t { Opening, Open };

    struct OpenedFlow
    {
        FlowLifetime lifetime = FlowLifetime::Long;
        State state = State::Opening;
        Timestamp openedAt;
        Timestamp lastOpenAt;
        std::string baselineTarget;
        std::size_t echoes = 0;
    };

    FlowKey keyOf(std::uint64_t flow) const;
    std::string const &rendezvousTarget(std::uint64_t flow) const;
    void handleReply(CallerReply const &reply);
    void countBroken(BrokenFlows &counts, FlowLifetime lifetime) const;
    void sendData(std::uint64_t flow);
    void close(std::uint64_t flow);
    void updateFlows();

    std::mt19937_64 random;
    std::vector<std::string> liveNames;
    std::vector<TargetId> liveIds; // In the order of `liveNames`.
    std::unordered_map<std::uint64_t, OpenedFlow> flows;
    Timestamp nextUpdateAt;
    double shortFlowsDue = 0; // Carries the fraction of a flow over to the next step.
};

} // namespace almondwing
