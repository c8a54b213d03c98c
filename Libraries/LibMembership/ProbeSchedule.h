// Chooses the members to probe next: round robin over shuffled lists, so that each member is probed once in
// each round and the time to detect a failure is bounded.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace almondwing {

struct ProbeRound
{
    std::vector<InstanceId> order;
    std::size_t next = 0; // Index into order.
    Timestamp due;

    friend bool operator==(ProbeRound const &, ProbeRound const &) = default;
};

struct ProbeSchedule
{
    ProbeRound ownDomain;
    ProbeRound otherDomains;
    ProbeRound dead;
    Timestamp controlProbeDue;
    std::size_t lastControlIndex = 0; // Index among the other, not dead control instances at the last probe.
    // Members that a peer considers dead and this instance alive, or the reverse, as found by the last fetch.
    // One of them is probed whenever a probe of the own failure domain is due, in addition to that probe.
    std::vector<InstanceId> disputed;

    friend bool operator==(ProbeSchedule const &, ProbeSchedule const &) = default;
};

// The members that may be probed. Each list is sorted.
struct ProbeCandidates
{
    std::vector<InstanceId> ownDomain;
    std::vector<InstanceId> otherDomains;
    std::vector<InstanceId> dead; // Includes seeds that have never answered.

    friend bool operator==(ProbeCandidates const &, ProbeCandidates const &) = default;
};

struct ProbePlan
{
    ProbeSchedule schedule;
    std::vector<InstanceId> probes;

    friend bool operator==(ProbePlan const &, ProbePlan const &) = default;
};

bool isProbeDue(ProbeSchedule const &schedule, Timestamp now);

// `seed` is a new random number, not a seed instance; it shuffles the rounds that start with this call.
ProbePlan planProbes(ProbeSchedule schedule, ProbeCandidates const &candidates, Duration deadMemberInterval,
                     Timestamp now, std::uint64_t seed);

// Returns the list in a pseudorandom order that depends only on the seed.
std::vector<InstanceId> shuffled(std::vector<InstanceId> list, std::uint64_t seed);

} // namespace almondwing
