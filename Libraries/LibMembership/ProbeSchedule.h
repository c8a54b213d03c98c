// Decides which members to probe next: round robin over shuffled lists, so that each member is probed once in
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
    ProbeRound absent;
    Timestamp controlDue;
    std::size_t controlNext = 0;
    // Members of which a peer holds a contradicting record; they are probed before the round goes on.
    std::vector<InstanceId> contradicted;

    friend bool operator==(ProbeSchedule const &, ProbeSchedule const &) = default;
};

// The members that may be probed now, each list sorted.
struct ProbeCandidates
{
    std::vector<InstanceId> ownDomain;
    std::vector<InstanceId> otherDomains;
    std::vector<InstanceId> absent; // Dead, or seeds that never answered.

    friend bool operator==(ProbeCandidates const &, ProbeCandidates const &) = default;
};

struct ProbePlan
{
    ProbeSchedule schedule;
    std::vector<InstanceId> probes;

    friend bool operator==(ProbePlan const &, ProbePlan const &) = default;
};

bool isProbeDue(ProbeSchedule const &schedule, Timestamp now);

// `seed` is a fresh random number; it orders the next rounds.
ProbePlan planProbes(ProbeSchedule schedule, ProbeCandidates const &candidates, Duration absentInterval,
                     Timestamp now, std::uint64_t seed);

// Reorders the list by a pseudorandom sequence from the seed.
std::vector<InstanceId> shuffled(std::vector<InstanceId> list, std::uint64_t seed);

} // namespace almondwing
