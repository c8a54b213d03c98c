// The configuration of token routing: which service gets the new flows of an address.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; // Share of new flows, relative to the other services of the route.

    friend bool operator==(WeightedService const &, WeightedService const &) = default;
};

struct FlowRoute
{
    Endpoint endpoint; // Where callers open flows.
    std::vector<WeightedService> services; // At least one; the weights add up to more than 0.

    friend bool operator==(FlowRoute const &, FlowRoute const &) = default;
};

struct FlowConfiguration
{
    std::uint64_t version = 0; // 0: none was accepted yet.
    std::vector<FlowRoute> routes; // Each endpoint once.
    Duration idleTimeout = 15s; // A flow without packets for this long may be forgotten.
    Duration coldPhase = 2s; // The longest time that a target of any service stays cold after its start.

    friend bool operator==(FlowConfiguration const &, FlowConfiguration const &) = default;
};

} // namespace almondwing
