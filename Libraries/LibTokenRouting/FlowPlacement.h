// Chooses the target of a new flow. A flow carries many requests and the instance does not see their answers,
// so the choice of the target is what balances load.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibTokenRouting/TokenBoard.h>

#include <optional>
#include <string>

namespace almondwing {

struct PlacementSettings
{
    std::string failureDomain; // Of this instance; its targets are preferred.
    // Instances that share the budget of cold targets, this one included.
    std::uint32_t sharers = 1;
    // Flows a second that all instances together may open at a cold target.
    double coldFlowsPerSecond = 5.0;
    // Another failure domain gets a flow only if the targets there carry this many times less for their
    // slots: the hop costs, and the flow would not survive a partition.
    double domainPreference = 1.5;
    double spillThreshold = 12.0; // Flows a slot below which no flow leaves the failure domain.

    friend bool operator==(PlacementSettings const &, PlacementSettings const &) = default;
};

// The target for a new flow of the service; nothing if none may take it. `excluded` is not chosen unless it
// is the only one.
std::optional<TargetToken> placeFlow(TokenBoard const &board, ServingView const &view,
                                     std::string const &service, TargetToken excluded,
                                     PlacementSettings const &settings, RandomSource const &random,
                                     Timestamp now);

// The service that a new flow goes to, by the weights of the route. The same for every copy of its opening
// packet on every instance.
std::string const &chooseService(FlowRoute const &route, ConnectionKey const &flow);

// Counts the flow at once, so that flows that come before the next sweep see it.
void notePlacement(TokenBoard &board, FlowPacket const &packet, ViewTarget const &chosen, Timestamp now);

} // namespace almondwing
