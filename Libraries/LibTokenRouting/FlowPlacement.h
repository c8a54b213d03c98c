// Chooses the target of a new flow. A flow carries many requests and the instance does not see their answers,
// so the choice of the target is what balances load.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibTokenRouting/TokenBlackboard.h>

#include <optional>
#include <string>

namespace almondwing {

// An instance with a permit opens a flow at a cold target at most this often, so that in any second there are
// no more flows than permits.
constexpr Duration coldFlowInterval = 1100ms;

struct PlacementSettings
{
    std::string failureDomain; // Of this instance; its targets are preferred.
    // Cold targets get flows only from the few instances that a control instance has permitted, so that all
    // together keep the bound. Permits are short and renewed.
    Timestamp mayOpenColdUntil;
    // Another failure domain gets a flow only if the targets there carry this many times less for their
    // slots: the hop costs, and the flow would not survive a partition.
    double domainPreference = 1.5;
    double spillThreshold = 25.0; // Flows a slot below which no flow leaves the failure domain.

    friend bool operator==(PlacementSettings const &, PlacementSettings const &) = default;
};

// The target for a new flow of the service; nothing if none may take it. `excluded` is not chosen unless it
// is the only one.
std::optional<TargetToken> placeFlow(TokenBlackboard const &board, ServingView const &view,
                                     std::string const &service, TargetToken excluded,
                                     PlacementSettings const &settings, RandomSource const &random,
                                     Timestamp now);

// The service that a new flow goes to, by the weights of the route. The same for every copy of its opening
// packet on every instance.
std::string const &chooseService(FlowRoute const &route, ConnectionKey const &flow);

// Counts the flow at once, so that flows that come before the next sweep see it.
void notePlacement(TokenBlackboard &board, FlowPacket const &packet, ViewTarget const &chosen, Timestamp now);

} // namespace almondwing
