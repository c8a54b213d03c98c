// The experiments behind docs/measurements.md. Each returns its figures as a report. The same seed reproduces
// the same events, but measured times differ from run to run.

#pragma once

#include "Report.h"

#include <cstdint>

namespace almondwing {

// Processor time of the routing decision for a packet, relative to one UDP send plus receive on loopback.
Report runPacketExperiment(std::uint64_t seed);

// Heap bytes per entry of the blackboard.
Report runMemoryExperiment(std::uint64_t seed);

// Processor time of routing decisions by token, and the memory that targets and flows take on an entry
// instance and on a control instance.
Report runTokenExperiment(std::uint64_t seed);

// Broken flows, imbalance and peer traffic during planned changes, compared with plain rendezvous hashing.
Report runBalanceExperiment(std::uint64_t seed);

// Bytes sent and processor time of idle membership controllers for several cluster sizes.
Report runMembershipExperiment(std::uint64_t seed);

// The time until a configuration change is in force on every instance, the start time of a control instance
// after many changes, and the bytes that changes and the idle replicated log cause.
Report runConfigurationExperiment(std::uint64_t seed);

// Goodput, false outcomes, waiting times and retries of requests, compared with the same program without
// request classes and limits.
Report runRequestExperiment(std::uint64_t seed);

} // namespace almondwing
