// An immutable snapshot of the routes, the targets and the failure domains that are taken out, from which an
// instance makes its routing decisions.

#pragma once

#include <LibTokenRouting/FlowConfiguration.h>
#include <LibTokenRouting/FlowPacket.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

struct ViewTarget
{
    RegisteredTarget target;
    TargetToken token;
    bool isOverdue = false; // No heartbeat has arrived within the expected time.
    // The target is Gone and one of a defined service has started later at its endpoint. Until then, a target
    // that is Gone may still serve its flows. Set by makeServingView().
    bool hasEnded = false;

    friend bool operator==(ViewTarget const &, ViewTarget const &) = default;
};

struct ServingView
{
    std::uint64_t configurationVersion = 0; // 0 if no configuration is known yet.
    absl::flat_hash_map<Endpoint, FlowRoute> routes;
    // If two targets have the same token, only the one that started earlier is included.
    absl::flat_hash_map<TargetToken, ViewTarget> targets;
    absl::flat_hash_map<std::string, std::vector<TargetToken>> tokensOfService; // Only tokens in `targets`.
    std::set<std::string> domainsTakenOut;
    Duration idleTimeout = 15s;
    bool isRegistryComplete = false; // Every living target has had time to be registered.
    std::size_t liveTargets = 0; // The number of `targets` of defined services that are not Gone.
    std::size_t overdueTargets = 0; // The number of live targets that are overdue.

    bool hasConfiguration() const { return this->configurationVersion != 0; }
    FlowRoute const *routeTo(Endpoint endpoint) const;
    ViewTarget const *targetOf(TargetToken token) const;
    // Whether the target has deregistered or, according to its missing heartbeats, has failed. If half of all
    // live targets or more are overdue, the control instances are the more likely cause, and missing
    // heartbeats are ignored.
    bool hasStoppedHeartbeats(ViewTarget const &target) const;

    friend bool operator==(ServingView const &, ServingView const &) = default;
};

ServingView makeServingView(FlowConfiguration const &configuration, std::vector<ViewTarget> targets,
                            std::set<std::string> domainsTakenOut);

} // namespace almondwing
