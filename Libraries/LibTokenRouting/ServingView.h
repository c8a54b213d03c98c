// What an instance routes by: an immutable snapshot of routes, targets and failure domains that are taken
// out.

#pragma once

#include <LibTokenRouting/FlowConfiguration.h>
#include <LibTokenRouting/FlowPacket.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

struct ViewTarget
{
    RegisteredTarget target;
    TargetToken token;
    bool isOverdue = false; // Its heartbeats have stopped.

    friend bool operator==(ViewTarget const &, ViewTarget const &) = default;
};

struct ServingView
{
    std::uint64_t configurationVersion = 0; // 0: nothing is known yet.
    absl::flat_hash_map<Endpoint, FlowRoute> routes;
    absl::flat_hash_map<TargetToken, ViewTarget> targets; // Two targets with one token: the one born earlier.
    absl::flat_hash_map<std::string, std::vector<TargetToken>> tokensOfService; // Only targets of `targets`.
    std::set<std::string> domainsTakenOut;
    Duration idleTimeout = 15s;
    bool isRegistryComplete = false; // Every target that is alive has had the time to be heard of.

    bool hasConfiguration() const { return this->configurationVersion != 0; }
    FlowRoute const *routeTo(Endpoint endpoint) const;
    ViewTarget const *targetOf(TargetToken token) const;

    friend bool operator==(ServingView const &, ServingView const &) = default;
};

ServingView makeServingView(FlowConfiguration const &configuration, std::vector<ViewTarget> targets,
                            std::set<std::string> domainsTakenOut);

} // namespace almondwing
