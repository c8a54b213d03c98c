// Implements the search for a flow that this instance has no record of. The message visits the dispatchers of
// the targets that claim the flow's bucket or that it was recently moved away from.

#include <LibRouting/FlowController.h>

#include <LibRouting/ClaimController.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

CallerMessage toCallerMessage(FlowMessage const &message)
{
    return std::visit([](auto const &content) -> CallerMessage { return content; }, message);
}

} // namespace

std::vector<TargetId> FlowController::searchCandidates(FlowKey const &key, TargetId except) const
{
    if (auto const redirect = this->blackboard.redirects.read(key)) {
        // A redirect makes the scan of all claims unnecessary. If the flow is not at its target, the redirect
        // is removed and the search starts again.
        TargetId const target = redirect->value.target;
        if (target != except && !target.isNone())
            return {target};
    }
    return candidateTargets(this->blackboard, key.service, bucketOfFlow(key), except);
}

void FlowController::startSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    std::vector<TargetId> candidates = this->searchCandidates(key, arrival.target);
    if (candidates.empty()) {
        this->handleUnknownFlow(arrival, key, now);
        return;
    }
    if (arrival.hops >= maxHops) {
        this->atomicCounters.droppedWithoutReply.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->atomicCounters.searched.fetch_add(1, std::memory_order_relaxed);
    FlowArrival search = arrival;
    search.origin = this->self();
    search.originTarget = arrival.target;
    search.possibleOwner = {};
    search.hasSkippedCandidate = false;
    search.hops = std::max(arrival.hops, searchBaseHops);
    search.isOriginFlowTableComplete = !this->mayOwn(key, arrival.target);
    // The candidates that this instance dispatches for come first and are checked here, because the instances
    // visited later pass over the candidates of the origin.
    auto const view = this->blackboard.routingView.read();
    std::stable_partition(candidates.begin(), candidates.end(), [&](TargetId candidate) {
        return this->dispatcherOfCandidate(*view, key, candidate) == search.origin;
    });
    this->visitCandidates(search, key, std::move(candidates), now);
}

// An OpenFlow that a search brings here is about to be opened at the target of the origin. The redirect
// prevents that a retransmitted OpenFlow, which reaches this instance through an older routing view, opens
// the flow a second time here.
void FlowController::recordOrigin(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (!std::holds_alternative<OpenFlow>(arrival.message) || arrival.originTarget.isNone())
        return;
    FlowRedirect const redirect{
        .target = arrival.originTarget, .dispatcher = arrival.origin, .lastUsed = now};
    this->blackboard.redirects.update(key, [&](auto const &) { return redirect; });
}

InstanceId FlowController::dispatcherOfCandidate(RoutingView const &view, FlowKey const &key,
                                                 TargetId candidate) const
{
    if (RoutedTarget const *const target = view.findTarget(candidate))
        return target->dispatcher;
    auto const redirect = this->blackboard.redirects.read(key);
    return redirect && redirect->value.target == candidate ? redirect->value.dispatcher : InstanceId{};
}

// Forwards the message to the next candidate that another instance dispatches for. This instance has no
// record of the flow, so its own candidates are passed over. The first of them that may have the flow
// nevertheless becomes the possible owner, for which the flow is adopted if no dispatcher has a record.
void FlowController::visitCandidates(FlowArrival const &arrival, FlowKey const &key,
                                     std::vector<TargetId> candidates, Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    bool const isSeekingOwner =
        arrival.isOriginFlowTableComplete && std::holds_alternative<FlowData>(arrival.message);
    FlowArrival visit = arrival;
    while (!candidates.empty()) {
        TargetId const candidate = candidates.front();
        InstanceId const dispatcher = this->dispatcherOfCandidate(*view, key, candidate);
        // The origin has checked its own flow records before it started the search.
        bool const mustBeVisited =
            !dispatcher.isNone() && dispatcher != this->self() && dispatcher != arrival.origin;
        if (mustBeVisited) {
            this->forwardToCandidate(visit, dispatcher, std::move(candidates));
            return;
        }
        candidates.erase(candidates.begin());
        visit.hasSkippedCandidate =
            visit.hasSkippedCandidate || this->isInconclusive(*view, arrival, key, candidate);
        bool const isFirstPossibleOwner = isSeekingOwner && visit.possibleOwner.isNone()
            && dispatcher == this->self() && this->mayOwn(key, candidate);
        if (isFirstPossibleOwner)
            visit.possibleOwner = candidate;
    }
    if (visit.possibleOwner.isNone())
        this->returnSearch(visit, key, now);
    else
        this->offerToPossibleOwner(visit, key, now);
}

// Whether it is unknown whether the candidate's dispatcher has a record of the flow. A visited instance that
// finds no dispatcher of the candidate may not have the target's record yet. The dispatcher itself has no
// flow record while a handover of the flow has arrived but is not promoted yet. At the origin, a target that
// is gone has no flows left, whereas a target of an unreachable failure domain still has them.
bool FlowController::isInconclusive(RoutingView const &view, FlowArrival const &arrival, FlowKey const &key,
                                    TargetId candidate) const
{
    if (this->dispatcherOfCandidate(view, key, candidate).isNone())
        return arrival.origin != this->self() || view.findTarget(candidate) != nullptr;
    return this->blackboard.receivedFlowCopies.containsWhere(
        key, [candidate](FlowCopy const &copy) { return copy.target == candidate; });
}

void FlowController::forwardToCandidate(FlowArrival const &arrival, InstanceId dispatcher,
                                        std::vector<TargetId> candidates)
{
    this->outbox.sendToInstance(dispatcher,
                                Forwarded{.caller = arrival.caller,
                                          .purpose = ForwardPurpose::Search,
                                          .hops = static_cast<std::uint8_t>(arrival.hops + 1),
                                          .origin = arrival.origin,
                                          .candidates = std::move(candidates),
                                          .isOriginFlowTableComplete = arrival.isOriginFlowTableComplete,
                                          .originTarget = arrival.originTarget,
                                          .possibleOwner = arrival.possibleOwner,
                                          .hasSkippedCandidate = arrival.hasSkippedCandidate,
                                          .message = toCallerMessage(arrival.message)});
}

// No candidate has a record of the flow, so it is adopted for the possible owner, here or at its dispatcher.
// If that target has reported the flow as unknown by then, the search ends without an owner.
void FlowController::offerToPossibleOwner(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    FlowArrival offer = arrival;
    TargetId const owner = offer.possibleOwner;
    offer.possibleOwner = {};
    InstanceId const dispatcher =
        this->dispatcherOfCandidate(*this->blackboard.routingView.read(), key, owner);
    if (dispatcher == this->self() && this->mayOwn(key, owner))
        this->adopt(offer, key, owner, now);
    else if (dispatcher.isNone() || dispatcher == this->self())
        this->returnSearch(offer, key, now);
    else
        this->forwardToCandidate(offer, dispatcher, {owner});
}

void FlowController::returnSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (arrival.origin != this->self()) {
        this->outbox.sendToInstance(arrival.origin,
                                    Forwarded{.caller = arrival.caller,
                                              .purpose = ForwardPurpose::SearchEnded,
                                              .hops = arrival.hops,
                                              .origin = arrival.origin,
                                              .candidates = {},
                                              .isOriginFlowTableComplete = arrival.isOriginFlowTableComplete,
                                              .originTarget = arrival.originTarget,
                                              .possibleOwner = {},
                                              .hasSkippedCandidate = arrival.hasSkippedCandidate,
                                              .message = toCallerMessage(arrival.message)});
        return;
    }
    FlowArrival own = arrival;
    own.target = arrival.originTarget;
    this->concludeSearch(own, key, now);
}

void FlowController::concludeSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (!arrival.possibleOwner.isNone()) {
        this->offerToPossibleOwner(arrival, key, now);
        return;
    }
    auto const redirect = this->blackboard.redirects.read(key);
    if (!redirect) {
        this->handleUnknownFlow(arrival, key, now);
        return;
    }
    this->blackboard.redirects.remove(key);
    bool const isOpenedElsewhere = !redirect->value.dispatcher.isNone();
    if (!isOpenedElsewhere) {
        this->startSearch(arrival, key, now);
        return;
    }
    // Two dispatchers with different routing views searched for the same new flow at each other. The one
    // whose target has the lower id opens it. The redirect is removed above, so if the other dispatcher does
    // not open the flow, the caller's next OpenFlow finds no redirect of this search.
    if (redirect->value.target < arrival.target) {
        this->atomicCounters.droppedWithoutReply.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->handleUnknownFlow(arrival, key, now);
}

} // namespace almondwing
