// Chooses the target of a new flow. A flow carries many requests and the instance does not see their answers,
// so the load is balanced only by the choice of the target.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibTokenRouting/TokenBlackboard.h>

#include <optional>
#include <string>

namespace almondwing {

// An instance with a permit opens at most one flow per cold target in this interval, so that a cold target
// gets no more flows in any second than there are permits.
constexpr Duration coldFlowInterval = 1100ms;

struct PlacementSettings
{
    std::string failureDomain; // The failure domain of this instance, whose targets are preferred.
    // The end of the permit of this instance, or zero if it has none; set by TokenRouter::permitColdFlows.
    // Cold targets get flows only from the few instances to which a control instance has given a permit,
    // which bounds the total rate. Permits are short-lived and renewed.
    Timestamp coldPermitUntil;
    // A target of another failure domain is chosen only if its load per slot is lower by at least this factor
    // than that of the best target in the domain of this instance, because the hop has a cost and the flow
    // would not survive a partition.
    double domainPreference = 1.5;
    // In flows per slot. No flow is placed in another failure domain while the load of the best target in the
    // domain of this instance is below this.
    double spillThreshold = 25.0;

    friend bool operator==(PlacementSettings const &, PlacementSettings const &) = default;
};

// Returns the target for a new flow of the service, or nullopt if no target may take it. `excluded` is chosen
// only if there is no other target.
std::optional<TargetToken> placeFlow(TokenBlackboard const &board, ServingView const &view,
                                     std::string const &service, TargetToken excluded,
                                     PlacementSettings const &settings, RandomSource const &random,
                                     Timestamp now);

// Chooses the service of a new flow according to the weights of the route. The result is the same for each
// transmission of the opening packet at each instance.
std::string const &chooseService(FlowRoute const &route, ConnectionKey const &flow);

// Records a placed flow and counts it immediately, so that placements before the next sweep take it into
// account.
void recordPlacement(TokenBlackboard &board, FlowPacket const &packet, ViewTarget const &chosen,
                     Timestamp now);

} // namespace almondwing
