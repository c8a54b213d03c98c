// What an instance routes by: an immutable snapshot of routes, targets and failure domains that are taken
// out.

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
    std::size_t currentTargets = 0; // Of `targets`, those that have not ended.
    std::size_t overdueTargets = 0; // Of those, the ones whose heartbeats have stopped.

    bool hasConfiguration() const { return this->configurationVersion != 0; }
    FlowRoute const *routeTo(Endpoint endpoint) const;
    ViewTarget const *targetOf(TargetToken token) const;
    // Whether the lack of heartbeats speaks against the target. When half of all are overdue, the control
    // instances are doubted rather than the targets.
    bool hasStoppedHeartbeats(ViewTarget const &target) const;

    friend bool operator==(ServingView const &, ServingView const &) = default;
};

ServingView makeServingView(FlowConfiguration const &configuration, std::vector<ViewTarget> targets,
                            std::set<std::string> domainsTakenOut);

} // namespace almondwing
