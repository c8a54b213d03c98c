// Decides what happens to each packet of a caller. A target is chosen only for opening packets. Later packets
// carry the token of their target, so any instance can forward them and instances share no state of flows.
// almondwing-node uses it; almondwingd uses LibRouting, which finds the target by the bucket of the flow.

#pragma once

#include <LibTokenRouting/FlowPlacement.h>
#include <LibTokenRouting/PassiveHealth.h>

#include <functional>
#include <vector>

namespace almondwing {

struct TokenRouterHooks
{
    RandomSource random;
    // Requests a direct check of a target that seems not to answer.
    std::function<void(ViewTarget const &)> checkTarget;
    // Reports that the caller has received the target's answer to its opening packet, and the time since this
    // instance first saw that packet.
    std::function<void(FlowPacket const &, ViewTarget const &, Duration)> flowEstablished;
};

enum class LateOpeningAction : std::uint8_t {
    None, // It was answered, its target has answered other flows since, or another flow uses its port.
    Wait, // A check of the target is under way; the opening is to be examined again after it.
    Withheld, // The limit of the operator does not allow another repetition.
    Check, // The target is to be checked; the opening is to be examined again after the check.
    Repeat, // The target is gone; the opening is to be decided again.
};

struct LateOpening
{
    LateOpeningAction action = LateOpeningAction::None;
    ViewTarget target; // To which the opening was sent; set for Check.

    friend bool operator==(LateOpening const &, LateOpening const &) = default;
};

class TokenRouter
{
public:
    TokenRouter(TokenBlackboard &tokenBlackboard, PlacementSettings placementSettings,
                TokenRouterHooks routerHooks, RepeatSettings repeatSettings = {});

    PacketDecision decide(FlowPacket const &packet, Timestamp now);

    void permitColdFlows(Timestamp until);

    // Decides about an opening whose ForwardPacket::lateAfter has passed. Check and Repeat take one
    // repetition from the budget of the service, for an opening that was checked before only Check does.
    LateOpening examineLateOpening(FlowPacket const &packet, Timestamp now);
    LateOpening examineCheckedOpening(FlowPacket const &packet, Timestamp now) const;

    // Records the result of a direct check that was requested with checkTarget. If the target is unreachable,
    // returns its flows that wait for an answer, and those of other targets whose silence it confirms. They
    // are to be reset now, because their callers would otherwise learn of it only at their next
    // retransmission.
    std::vector<FlowPacket> recordCheckResult(TargetToken token, CheckResult result, Timestamp now);

private:
    PacketDecision decideOpen(ServingView const &view, FlowPacket const &packet, Timestamp now);
    PacketDecision decideSubsequent(ServingView const &view, FlowPacket const &packet, Timestamp now);
    // Whether the target has stopped both its heartbeats and its answers, or its failure domain is silent, so
    // that a single flow suffices for a check.
    bool hasStoppedResponding(ServingView const &view, ViewTarget const &target, Timestamp now) const;
    bool isDomainSilent(std::string const &failureDomain, Timestamp now) const;
    void markSuspectAndCheck(ServingView const &view, ViewTarget const &target, ConnectionKey const &flow,
                             Timestamp now);
    void checkIfDue(ViewTarget const &target, Timestamp now);
    // Refills the budget of the service for an opening that was just placed. Returns how long the opening may
    // go without an answer; 0 if it isn't watched.
    Duration watchOpening(RouteTerms const &terms, std::string const &service);
    // The target of an opening that got no answer, if the target has not answered other flows since.
    std::optional<ViewTarget> silentTargetOf(FlowPacket const &packet) const;
    bool takeRepetition(std::string const &service);
    void recordCheckStart(TargetToken token, Timestamp now);
    void recordOpeningTime(ViewTarget const &target, Duration time);
    // Evaluates a check without an answer together with those of other targets of the failure domain. Returns
    // the targets whose silence this check confirms. Called only for targets with a silent flow whose route's
    // objective leaves time (PassiveHealthSettings::quickEvidenceObjective), and in silent failure domains.
    std::vector<TargetToken> confirmSilence(ServingView const &view, ViewTarget const &target, Timestamp now);
    // Keeps new flows away from a failure domain that has fallen silent, and checks its targets with flows
    // that wait, because their callers may have nothing to retransmit.
    void leaveSilentDomain(ServingView const &view, std::string const &failureDomain, Timestamp now);

    TokenBlackboard &board;
    PassiveHealthSettings healthSettings;
    RepeatSettings repeats;
    Cell<PlacementSettings> placement;
    TokenRouterHooks hooks;
};

} // namespace almondwing
