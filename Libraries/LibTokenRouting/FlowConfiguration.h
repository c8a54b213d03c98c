// The configuration of token routing: which services get the new flows of an address.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; // The share of new flows, relative to the other services of the route.

    friend bool operator==(WeightedService const &, WeightedService const &) = default;
};

// What the callers of a route need. Unknown terms call for nothing beyond the routing of its flows.
struct RouteTerms
{
    bool isRepeatable = false; // Its requests may run more than once.
    Duration latencyObjective = 0ms; // From a request to its whole answer; 0 if it is not known.

    friend bool operator==(RouteTerms const &, RouteTerms const &) = default;
};

struct FlowRoute
{
    Endpoint endpoint; // The address at which callers open flows.
    std::vector<WeightedService> services; // Not empty; the sum of the weights is positive.
    RouteTerms terms;

    friend bool operator==(FlowRoute const &, FlowRoute const &) = default;
};

struct FlowConfiguration
{
    std::uint64_t version = 0; // 0 if no configuration has been accepted yet.
    std::vector<FlowRoute> routes; // At most one route per endpoint.
    std::set<std::string> services; // All services that are defined, also those without a route.
    Duration idleTimeout = 15s; // The state of a flow without packets for this long may be dropped.
    Duration coldPhase = 2s; // The maximum time for which a target of any service is cold after its start.

    friend bool operator==(FlowConfiguration const &, FlowConfiguration const &) = default;
};

} // namespace almondwing
