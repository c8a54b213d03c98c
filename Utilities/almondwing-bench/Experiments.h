// The experiments behind docs/measurements.md. Each gives its figures as a report; the same seed gives the
// same events, though not the same times.

#pragma once

#include "Report.h"

#include <cstdint>

namespace almondwing {

// The cost of the decision about a packet, against one UDP send plus receive on loopback.
Report runPacketExperiment(std::uint64_t seed);

// The heap bytes of each entry of the blackboard.
Report runMemoryExperiment(std::uint64_t seed);

// The cost of decisions by token, and the memory of targets and flows at an entry and a control instance.
Report runTokenExperiment(std::uint64_t seed);

// Broken flows, imbalance and control bytes during planned changes, beside plain rendezvous hashing.
Report runBalanceExperiment(std::uint64_t seed);

// Control bytes and processor time of idle membership controllers, over the size of the cluster.
Report runMembershipExperiment(std::uint64_t seed);

// The time until a change is in force everywhere, the start of a control instance after many changes, and the
// bytes of changes and of the idle replicated log.
Report runConfigurationExperiment(std::uint64_t seed);

// Goodput, false outcomes, waiting times and retries of requests, beside the same program without classes
// and limits.
Report runRequestExperiment(std::uint64_t seed);

} // namespace almondwing
