// The callers of the balance experiment: long-lived and short flows, played to the cluster and, in the same
// run, to plain rendezvous hashing over the live targets.

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

enum class FlowLife : std::uint8_t { Long, Short };

// Counts of broken flows, for the flows of callers only.
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

    // The baseline knows the new target at once; the cluster through its announcements.
    void addTarget(std::string const &name, std::string const &domain);
    // The baseline no longer sends to the target, whose flows move.
    void leaveTarget(std::string const &name);

    void openFlows(std::size_t count, FlowLife life);
    // One step of the cluster with short flows opened at the given rate.
    void step(std::size_t shortFlowsPerSecond);
    void run(Duration duration, std::size_t shortFlowsPerSecond);
    bool areAllWarm() const;

    // Sends a packet on each long flow and returns how many get no answer in three tries.
    std::size_t countUnanswered();

    void resetCounts();
    FlowsByTarget allFlows() const;
    FlowsByTarget allBaselineFlows() const;
    std::size_t openCount() const { return this->flows.size(); }
    std::vector<std::string> const &liveTargets() const { return this->live; }

    std::unique_ptr<InstanceCluster> cluster;
    BrokenFlows broken;
    BrokenFlows brokenBaseline;
    std::map<std::string, std::size_t> brokenReasons; // Of `broken`.
    std::size_t refusals = 0;
    std::size_t packets = 0;
    FlowsByTarget opened; // Since the last reset, by the target that accepted the flow.
    FlowsByTarget openedBaseline;

private:
    enum class State : std::uint8_t { Opening, Open };

    struct CallerFlow
    {
        FlowLife life = FlowLife::Long;
        State state = State::Opening;
        Timestamp openedAt;
        Timestamp lastOpen;
        std::string baselineTarget;
        std::size_t answers = 0;
    };

    FlowKey keyOf(std::uint64_t flow) const;
    std::string const &rendezvous(std::uint64_t flow) const;
    void handleReply(CallerReply const &reply);
    void countBroken(BrokenFlows &counts, FlowLife life) const;
    void sendData(std::uint64_t flow);
    void close(std::uint64_t flow);
    void ageFlows();

    std::mt19937_64 random;
    std::vector<std::string> live;
    std::vector<TargetId> liveIds; // Parallel to `live`.
    std::unordered_map<std::uint64_t, CallerFlow> flows;
    Timestamp nextAging;
    double shortFlowsDue = 0;
};

} // namespace almondwing
