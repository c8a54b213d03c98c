// Implements the decision for each packet.

#include <LibTokenRouting/TokenRouter.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace almondwing {

namespace {

// The minimum interval between direct checks of a target, because each check costs the target work.
constexpr Duration checkInterval = 400ms;

// A check is over after this time.
constexpr Duration maxCheckTime = 150ms;

PacketDecision forwardTo(ViewTarget const &target)
{
    return ForwardPacket{
        .target = target.target.number, .endpoint = target.target.endpoint, .token = target.token};
}

// A caller that reuses a port starts the new flow with another sequence number.
bool isSameFlow(RecentFlow const &flow, FlowPacket const &open)
{
    return !flow.openingSequence || *flow.openingSequence == open.sequence;
}

} // namespace

TokenRouter::TokenRouter(TokenBlackboard &tokenBlackboard, PlacementSettings placementSettings,
                         TokenRouterHooks routerHooks, RepeatSettings repeatSettings)
    : board(tokenBlackboard), repeats(repeatSettings), placement(std::move(placementSettings)),
      hooks(std::move(routerHooks))
{
}

void TokenRouter::permitColdFlows(Timestamp until)
{
    this->placement.update([until](PlacementSettings settings) {
        settings.coldPermitUntil = until;
        return settings;
    });
}

PacketDecision TokenRouter::decide(FlowPacket const &packet, Timestamp now)
{
    if (packet.kind == PacketKind::NotFromCaller)
        return DropPacket{.reason = DropReason::NotFromCaller};
    auto const view = this->board.view.read();
    if (!view->hasConfiguration())
        return HoldPacket{};
    if (view->routeTo(packet.flow.service) == nullptr)
        return packet.kind == PacketKind::Close ? PacketDecision(DropPacket{DropReason::UnknownFlow})
                                                : PacketDecision(ResetFlow{ResetReason::NoRoute});
    return packet.kind == PacketKind::Open ? this->decideOpen(*view, packet, now)
                                           : this->decideSubsequent(*view, packet, now);
}

PacketDecision TokenRouter::decideOpen(ServingView const &view, FlowPacket const &packet, Timestamp now)
{
    TargetToken excluded;
    FlowRoute const &route = *view.routeTo(packet.flow.service);
    auto const known = this->board.flows.read(packet.flow);
    if (known && isSameFlow(known->value, packet)) {
        // If two targets answered the same flow, both would get its data. A retransmission is therefore sent
        // to another target only if the first one has ended, a check has shown that it is gone, or it gives
        // no answer.
        ViewTarget const *const first = view.targetOf(known->value.target);
        bool const isGone = !known->value.isEstablished && mayRepeat(route.terms, this->repeats)
            && this->board.healthOf(known->value.target).isUnreachableAt(now);
        bool const hasEnded = first == nullptr || first->hasEnded || isGone;
        bool const isSilent = evaluateRepeatedOpen(this->board, known->value, this->healthSettings, now)
            == HealthVerdict::Suspect;
        if (!hasEnded && !isSilent)
            return forwardTo(*first);
        if (isSilent && !hasEnded)
            this->markSuspectAndCheck(view, *first, packet.flow, now);
        excluded = known->value.target;
    }
    std::string const &service = chooseService(route, packet.flow);
    auto const token =
        placeFlow(this->board, view, service, excluded, *this->placement.read(), this->hooks.random, now);
    if (!token)
        return view.isRegistryComplete ? PacketDecision(ResetFlow{ResetReason::NoTarget})
                                       : PacketDecision(HoldPacket{});
    ViewTarget const *const chosen = view.targetOf(*token);
    recordPlacement(this->board, packet, *chosen, now);
    return ForwardPacket{.target = chosen->target.number,
                         .endpoint = chosen->target.endpoint,
                         .token = chosen->token,
                         .lateAfter = excluded.isNone() ? this->watchOpening(route.terms, service) : 0ms};
}

Duration TokenRouter::watchOpening(RouteTerms const &terms, std::string const &service)
{
    if (!mayRepeat(terms, this->repeats))
        return 0ms;
    this->board.repeatBudgets.update(service, [this](std::optional<RepeatBudget> const &budget) {
        return std::optional(refilled(budget.value_or(RepeatBudget{}), this->repeats));
    });
    auto const times = this->board.openingTimes.read(service);
    return times ? lateAfter(times->value, this->repeats).value_or(0ms) : 0ms;
}

LateOpening TokenRouter::examineLateOpening(FlowPacket const &packet, Timestamp now)
{
    auto const target = this->silentTargetOf(packet);
    if (!target)
        return {};
    TargetHealth const health = this->board.healthOf(target->token);
    if (!health.isUnreachableAt(now) && now - health.lastCheckedAt < maxCheckTime)
        return LateOpening{.action = LateOpeningAction::Wait};
    if (!this->takeRepetition(target->target.service))
        return LateOpening{.action = LateOpeningAction::Withheld};
    if (health.isUnreachableAt(now))
        return LateOpening{.action = LateOpeningAction::Repeat};
    this->recordCheckStart(target->token, now);
    return LateOpening{.action = LateOpeningAction::Check, .target = *target};
}

LateOpening TokenRouter::examineCheckedOpening(FlowPacket const &packet, Timestamp now) const
{
    auto const target = this->silentTargetOf(packet);
    bool const isGone = target && this->board.healthOf(target->token).isUnreachableAt(now);
    return LateOpening{.action = isGone ? LateOpeningAction::Repeat : LateOpeningAction::None};
}

std::optional<ViewTarget> TokenRouter::silentTargetOf(FlowPacket const &packet) const
{
    auto const flow = this->board.flows.read(packet.flow);
    if (!flow || flow->value.openingSequence != packet.sequence || flow->value.isEstablished)
        return std::nullopt;
    auto const view = this->board.view.read();
    ViewTarget const *const target = view->targetOf(flow->value.target);
    if (target == nullptr || this->board.healthOf(target->token).lastAliveAt >= flow->value.openedAt)
        return std::nullopt;
    return *target;
}

bool TokenRouter::takeRepetition(std::string const &service)
{
    bool isPermitted = false;
    this->board.repeatBudgets.update(
        service, [&](std::optional<RepeatBudget> const &budget) -> std::optional<RepeatBudget> {
            auto const next = withdrawn(budget.value_or(RepeatBudget{}));
            isPermitted = next.has_value();
            return next;
        });
    return isPermitted;
}

PacketDecision TokenRouter::decideSubsequent(ServingView const &view, FlowPacket const &packet, Timestamp now)
{
    if (packet.token.isNone())
        return DropPacket{.reason = DropReason::UnknownFlow};
    ViewTarget const *const target = view.targetOf(packet.token);
    if (target == nullptr)
        return HoldPacket{};
    if (packet.kind == PacketKind::Close) {
        this->board.flows.remove(packet.flow);
        return target->hasEnded ? PacketDecision(DropPacket{.reason = DropReason::UnknownFlow})
                                : forwardTo(*target);
    }
    if (target->hasEnded)
        return ResetFlow{ResetReason::TargetEnded};
    PacketObservation const observation = observeDataPacket(this->board, packet, this->healthSettings, now);
    if (observation.establishedAfter) {
        this->hooks.flowEstablished(packet, *target, *observation.establishedAfter);
        this->recordOpeningTime(*target, *observation.establishedAfter);
    }
    if (observation.isAnswered)
        recordDomainAnswer(this->board.domainSilence, target->target.failureDomain, now);
    if (observation.verdict == HealthVerdict::Suspect)
        this->markSuspectAndCheck(view, *target, packet.flow, now);
    else if (packet.length > 0 && this->hasStoppedResponding(view, *target, now))
        this->checkIfDue(*target, now);
    if (!observation.isAnswered && this->board.healthOf(packet.token).isUnreachableAt(now)) {
        this->checkIfDue(*target, now);
        return ResetFlow{ResetReason::TargetUnreachable};
    }
    return forwardTo(*target);
}

std::vector<FlowPacket> TokenRouter::recordCheckResult(TargetToken token, CheckResult result, Timestamp now)
{
    auto const view = this->board.view.read();
    ViewTarget const *const target = view->targetOf(token);
    HeartbeatState const heartbeats = target != nullptr && view->hasStoppedHeartbeats(*target)
        ? HeartbeatState::Stopped
        : HeartbeatState::Current;
    almondwing::recordCheckResult(this->board, token, result, heartbeats, this->healthSettings, now);
    std::vector<TargetToken> unreachable;
    if (target != nullptr && result == CheckResult::Accepted)
        recordDomainAnswer(this->board.domainSilence, target->target.failureDomain, now);
    else if (target != nullptr && result == CheckResult::NoAnswer
             && (this->board.healthOf(token).isOneSilentFlowEnough
                 || this->isDomainSilent(target->target.failureDomain, now)))
        unreachable = this->confirmSilence(*view, *target, now);
    if (this->board.healthOf(token).isUnreachableAt(now)
        && std::ranges::find(unreachable, token) == unreachable.end())
        unreachable.push_back(token);
    std::vector<FlowPacket> waiting;
    for (TargetToken const silent : unreachable)
        std::ranges::copy(unansweredFlows(this->board, silent), std::back_inserter(waiting));
    return waiting;
}

std::vector<TargetToken> TokenRouter::confirmSilence(ServingView const &view, ViewTarget const &target,
                                                     Timestamp now)
{
    std::string const &domain = target.target.failureDomain;
    SilenceVerdict const verdict = recordSilentCheck(this->board.domainSilence, domain, target.target.number,
                                                     this->healthSettings.domainSilence, now);
    std::vector<TargetToken> tokens;
    for (TargetNumber const number : verdict.targets) {
        // In a failure domain that was silent before, the others were confirmed by the earlier checks.
        if (!verdict.isNew && number != target.target.number)
            continue;
        tokens.push_back(tokenOf(number));
        markUnreachable(this->board, tokens.back(), this->healthSettings, now);
    }
    if (verdict.isNew)
        this->leaveSilentDomain(view, domain, now);
    return tokens;
}

void TokenRouter::leaveSilentDomain(ServingView const &view, std::string const &failureDomain, Timestamp now)
{
    std::set<TargetToken> const waiting = targetsWithUnansweredFlows(this->board);
    Timestamp const suspectUntil = now + this->healthSettings.suspectDuration;
    for (auto const &[token, target] : view.targets) {
        if (target.target.failureDomain != failureDomain)
            continue;
        this->board.targetHealth.update(
            token, [suspectUntil](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
                TargetHealth next = health.value_or(TargetHealth{});
                next.suspectUntil = std::max(next.suspectUntil, suspectUntil);
                return next;
            });
        if (waiting.contains(token))
            this->checkIfDue(target, now);
    }
}

void TokenRouter::recordOpeningTime(ViewTarget const &target, Duration time)
{
    if (this->repeats.share <= 0)
        return;
    this->board.openingTimes.update(target.target.service, [time](std::optional<OpeningTimes> const &times) {
        return std::optional(withTime(times.value_or(OpeningTimes{}), time));
    });
}

// Covers the loss of a whole failure domain while most of its targets have only one flow each through this
// instance, so that no second flow can confirm that they do not answer.
bool TokenRouter::hasStoppedResponding(ServingView const &view, ViewTarget const &target, Timestamp now) const
{
    if (view.hasStoppedHeartbeats(target))
        return !isRecentlyAlive(this->board.healthOf(target.token), this->healthSettings, now);
    return this->isDomainSilent(target.target.failureDomain, now);
}

bool TokenRouter::isDomainSilent(std::string const &failureDomain, Timestamp now) const
{
    return this->board.domainSilence.containsWhere(failureDomain, [this, now](DomainSilence const &silence) {
        return silence.isSilentAt(now, this->healthSettings.domainSilence);
    });
}

void TokenRouter::markSuspectAndCheck(ServingView const &view, ViewTarget const &target,
                                      ConnectionKey const &flow, Timestamp now)
{
    markSuspect(this->board, target.token, flow, view.routeTo(flow.service)->terms, this->healthSettings,
                now);
    this->checkIfDue(target, now);
}

void TokenRouter::checkIfDue(ViewTarget const &target, Timestamp now)
{
    if (now - this->board.healthOf(target.token).lastCheckedAt < checkInterval)
        return;
    this->recordCheckStart(target.token, now);
    this->hooks.checkTarget(target);
}

void TokenRouter::recordCheckStart(TargetToken token, Timestamp now)
{
    this->board.targetHealth.update(token,
                                    [now](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
                                        TargetHealth next = health.value_or(TargetHealth{});
                                        next.lastCheckedAt = now;
                                        return next;
                                    });
}

} // namespace almondwing
