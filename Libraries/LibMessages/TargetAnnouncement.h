// The announcement that a target sends every few seconds to an instance of its failure domain, and the
// result of a health check.

#pragma once

#include <LibCore/Endpoint.h>

#include <cstdint>
#include <string>

namespace almondwing {

enum class AnnouncedState : std::uint8_t { Serving, Leaving };

struct TargetAnnouncement
{
    std::string name;
    std::string service;
    std::string failureDomain;
    Endpoint packetEndpoint; // UDP, flows and requests.
    Endpoint httpEndpoint; // TCP, `/health` and `/load`.
    std::uint64_t startMark = 0; // Chosen at random by the target at each start of its process.
    AnnouncedState state = AnnouncedState::Serving;

    friend bool operator==(TargetAnnouncement const &, TargetAnnouncement const &) = default;
};

enum class HealthAnswer : std::uint8_t { Healthy, Unhealthy, NoAnswer };

// Result of querying the health and load endpoints of a target. Load is the fraction of its slots in use,
// from 0 to 1. Both values may be outdated or wrong.
struct HealthReport
{
    HealthAnswer answer = HealthAnswer::NoAnswer;
    bool hasLoad = false;
    double load = 0;

    friend bool operator==(HealthReport const &, HealthReport const &) = default;
};

} // namespace almondwing
