// Implements the decision for each packet.

#include <LibTokenRouting/TokenRouter.h>

#include <utility>

namespace almondwing {

namespace {

// A suspected target is checked directly at most this often; each check costs the target work.
constexpr Duration checkInterval = 400ms;

PacketDecision forwardTo(ViewTarget const &target)
{
    return ForwardPacket{
        .target = target.target.number, .endpoint = target.target.endpoint, .token = target.token};
}

// A caller that uses a port again begins with another sequence number.
bool isSameFlow(RecentFlow const &note, FlowPacket const &open)
{
    return !note.openingSequence || *note.openingSequence == open.sequence;
}

} // namespace

TokenRouter::TokenRouter(TokenBlackboard &tokenBoard, PlacementSettings placementSettings,
                         TokenRouterHooks routerHooks)
    : board(tokenBoard), placement(std::move(placementSettings)), hooks(std::move(routerHooks))
{
}

void TokenRouter::permitColdFlows(Timestamp until)
{
    this->placement.update([until](PlacementSettings settings) {
        settings.mayOpenColdUntil = until;
        return settings;
    });
}

PacketDecision TokenRouter::decide(FlowPacket const &packet, Timestamp now)
{
    if (packet.kind == PacketKind::Foreign)
        return DropPacket{.reason = DropReason::Foreign};
    auto const view = this->board.view.read();
    if (!view->hasConfiguration())
        return HoldPacket{};
    if (view->routeTo(packet.flow.service) == nullptr)
        return packet.kind == PacketKind::Close ? PacketDecision(DropPacket{DropReason::UnknownFlow})
                                                : PacketDecision(ResetFlow{ResetReason::NoRoute});
    return packet.kind == PacketKind::Open ? this->decideOpen(*view, packet, now)
                                           : this->decideLater(*view, packet, now);
}

PacketDecision TokenRouter::decideOpen(ServingView const &view, FlowPacket const &packet, Timestamp now)
{
    TargetToken excluded;
    auto const known = this->board.flows.read(packet.flow);
    if (known && isSameFlow(known->value, packet)) {
        // Two targets that answer the same flow would both be written to, so a repeat changes its target only
        // if the first one shows no life.
        ViewTarget const *const first = view.targetOf(known->value.target);
        bool const isEnded = first == nullptr || first->target.state == RegisteredState::Gone;
        bool const isSilent =
            judgeRepeatedOpen(this->board, known->value, this->signSettings, now) == SignVerdict::Suspect;
        if (!isEnded && !isSilent)
            return forwardTo(*first);
        if (isSilent && !isEnded)
            this->raiseSuspicion(*first, packet.flow, now);
        excluded = known->value.target;
    }
    std::string const &service = chooseService(*view.routeTo(packet.flow.service), packet.flow);
    auto const token =
        placeFlow(this->board, view, service, excluded, *this->placement.read(), this->hooks.random, now);
    if (!token)
        return view.isRegistryComplete ? PacketDecision(ResetFlow{ResetReason::NoTarget})
                                       : PacketDecision(HoldPacket{});
    ViewTarget const *const chosen = view.targetOf(*token);
    notePlacement(this->board, packet, *chosen, now);
    return forwardTo(*chosen);
}

PacketDecision TokenRouter::decideLater(ServingView const &view, FlowPacket const &packet, Timestamp now)
{
    if (packet.token.isNone())
        return DropPacket{.reason = DropReason::UnknownFlow};
    ViewTarget const *const target = view.targetOf(packet.token);
    if (target == nullptr)
        return HoldPacket{};
    bool const isGone = target->target.state == RegisteredState::Gone;
    if (packet.kind == PacketKind::Close) {
        this->board.flows.remove(packet.flow);
        return isGone ? PacketDecision(DropPacket{.reason = DropReason::UnknownFlow}) : forwardTo(*target);
    }
    if (isGone)
        return ResetFlow{ResetReason::TargetEnded};
    PacketSigns const signs = noteDataPacket(this->board, packet, this->signSettings, now);
    if (signs.establishedAfter)
        this->hooks.flowEstablished(packet, *target, *signs.establishedAfter);
    if (signs.verdict == SignVerdict::Suspect)
        this->raiseSuspicion(*target, packet.flow, now);
    else if (packet.length > 0 && this->isLikelyGone(view, *target, now))
        this->checkIfDue(*target, now);
    if (this->board.healthOf(packet.token).isUnreachableAt(now)) {
        this->checkIfDue(*target, now);
        return ResetFlow{ResetReason::TargetUnreachable};
    }
    return forwardTo(*target);
}

std::vector<FlowPacket> TokenRouter::recordCheckResult(TargetToken token, CheckResult result, Timestamp now)
{
    HeartbeatState const heartbeats = this->board.view.select([token](ServingView const &view) {
        ViewTarget const *const target = view.targetOf(token);
        return target != nullptr && view.hasStoppedHeartbeats(*target) ? HeartbeatState::Stopped
                                                                       : HeartbeatState::Current;
    });
    almondwing::recordCheckResult(this->board, token, result, heartbeats, this->signSettings, now);
    if (!this->board.healthOf(token).isUnreachableAt(now))
        return {};
    return unansweredFlows(this->board, token);
}

// Answers this load: a failure domain loses power, and most of its targets have one flow each through this
// instance, so that no second flow confirms their silence.
bool TokenRouter::isLikelyGone(ServingView const &view, ViewTarget const &target, Timestamp now) const
{
    return view.hasStoppedHeartbeats(target)
        && !isKnownAlive(this->board.healthOf(target.token), this->signSettings, now);
}

void TokenRouter::raiseSuspicion(ViewTarget const &target, ConnectionKey const &flow, Timestamp now)
{
    suspect(this->board, target.token, flow, this->signSettings, now);
    this->checkIfDue(target, now);
}

void TokenRouter::checkIfDue(ViewTarget const &target, Timestamp now)
{
    if (now - this->board.healthOf(target.token).checkedAt < checkInterval)
        return;
    this->board.signs.update(target.token,
                             [now](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
                                 TargetHealth next = signs.value_or(TargetHealth{});
                                 next.checkedAt = now;
                                 return next;
                             });
    this->hooks.checkTarget(target);
}

} // namespace almondwing
