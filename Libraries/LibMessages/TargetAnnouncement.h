// How a target announces itself to the instances of its failure domain. Repeated every few seconds.

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
    std::uint64_t startMark = 0; // Chosen at random at each start of the target's process.
    AnnouncedState state = AnnouncedState::Serving;

    friend bool operator==(TargetAnnouncement const &, TargetAnnouncement const &) = default;
};

// What a look at the health and load endpoints of a target gave. Load is the share of its slots in use, from
// 0 to 1; both may lag behind the truth or be wrong.
enum class HealthAnswer : std::uint8_t { Healthy, Unhealthy, NoAnswer };

struct HealthReport
{
    HealthAnswer answer = HealthAnswer::NoAnswer;
    bool hasLoad = false;
    double load = 0;

    friend bool operator==(HealthReport const &, HealthReport const &) = default;
};

} // namespace almondwing
