// Decides what happens to each packet of a caller. Only opening packets need a choice; any instance sends a
// later packet by its token, so no state of a flow is shared.

#pragma once

#include <LibTokenRouting/FlowPlacement.h>
#include <LibTokenRouting/PassiveHealth.h>

#include <functional>
#include <vector>

namespace almondwing {

struct TokenRouterHooks
{
    RandomSource random;
    // A target does not answer; it should be checked directly.
    std::function<void(ViewTarget const &)> checkTarget;
    // The caller has got the target's answer to its opening packet, so long after this instance saw that
    // packet.
    std::function<void(FlowPacket const &, ViewTarget const &, Duration)> flowEstablished;
};

class TokenRouter
{
public:
    TokenRouter(TokenBlackboard &tokenBoard, PlacementSettings placementSettings,
                TokenRouterHooks routerHooks);

    PacketDecision decide(FlowPacket const &packet, Timestamp now);

    void permitColdFlows(Timestamp until);

    // The result of a direct check that checkTarget asked for. Returns the flows to reset now: those that
    // wait for an answer of a target that can't be reached. Their callers would wait for their next repeat
    // otherwise.
    std::vector<FlowPacket> recordCheckResult(TargetToken token, CheckResult result, Timestamp now);

private:
    PacketDecision decideOpen(ServingView const &view, FlowPacket const &packet, Timestamp now);
    PacketDecision decideLater(ServingView const &view, FlowPacket const &packet, Timestamp now);
    bool isLikelyGone(ServingView const &view, ViewTarget const &target, Timestamp now) const;
    void raiseSuspicion(ViewTarget const &target, ConnectionKey const &flow, Timestamp now);
    void checkIfDue(ViewTarget const &target, Timestamp now);

    TokenBlackboard &board;
    PassiveHealthSettings signSettings;
    Cell<PlacementSettings> placement;
    TokenRouterHooks hooks;
};

} // namespace almondwing
