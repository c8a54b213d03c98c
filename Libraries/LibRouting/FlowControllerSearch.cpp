// Implements the search for a flow that this instance has no record of: at the targets that claim its bucket,
// or had it a short time ago.

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
        // A known place spares the look at all claims; if the flow is not there, the search begins anew
        // without it.
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
        this->decideUnknown(arrival, key, now);
        return;
    }
    if (arrival.hops >= maxHops) {
        this->atomicCounters.droppedInGrace.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->atomicCounters.searched.fetch_add(1, std::memory_order_relaxed);
    FlowArrival search = arrival;
    search.origin = this->self();
    search.originTarget = arrival.target;
    search.possibleOwner = {};
    search.hasSkippedCandidate = false;
    search.hops = std::max(arrival.hops, searchBaseHops);
    search.isOriginComplete = !this->mayOwn(key, arrival.target);
    // Instances that are visited later leave out the candidates of this one.
    auto const view = this->blackboard.routingView.read();
    std::stable_partition(candidates.begin(), candidates.end(), [&](TargetId candidate) {
        return this->dispatcherOfCandidate(*view, key, candidate) == search.origin;
    });
    this->visitCandidates(search, key, std::move(candidates), now);
}

// An Open that searches here is about to be opened at the origin's target. Remembering that keeps a repeated
// Open, which reaches this instance through an older view, from opening the flow a second time here.
void FlowController::rememberOrigin(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
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

// Passes the message to the next candidate that another instance dispatches for. Candidates dispatched here
// are known not to have a record of the flow; the first one that may have it all the same is remembered, for
// the case that no candidate has a record.
void FlowController::visitCandidates(FlowArrival const &arrival, FlowKey const &key,
                                     std::vector<TargetId> candidates, Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    bool const seeksOwner = arrival.isOriginComplete && std::holds_alternative<FlowData>(arrival.message);
    FlowArrival visit = arrival;
    while (!candidates.empty()) {
        TargetId const candidate = candidates.front();
        InstanceId const dispatcher = this->dispatcherOfCandidate(*view, key, candidate);
        // The origin has looked at its own flows before it began to search.
        bool const isElsewhere =
            !dispatcher.isNone() && dispatcher != this->self() && dispatcher != arrival.origin;
        if (isElsewhere) {
            this->passToCandidate(visit, dispatcher, std::move(candidates));
            return;
        }
        candidates.erase(candidates.begin());
        visit.hasSkippedCandidate =
            visit.hasSkippedCandidate || this->cannotAsk(*view, arrival, key, candidate);
        bool const isFirstPossibleOwner = seeksOwner && visit.possibleOwner.isNone()
            && dispatcher == this->self() && this->mayOwn(key, candidate);
        if (isFirstPossibleOwner)
            visit.possibleOwner = candidate;
    }
    if (visit.possibleOwner.isNone())
        this->endSearch(visit, key, now);
    else
        this->offerToPossibleOwner(visit, key, now);
}

// A visited instance that knows no dispatcher of the candidate has not learned of the target yet. One that is
// the dispatcher can't tell while a handover of the flow has arrived and is not taken in. At the origin a
// target that is gone has no flows any more, but one whose failure domain is cut off has.
bool FlowController::cannotAsk(RoutingView const &view, FlowArrival const &arrival, FlowKey const &key,
                               TargetId candidate) const
{
    if (this->dispatcherOfCandidate(view, key, candidate).isNone())
        return arrival.origin != this->self() || view.findTarget(candidate) != nullptr;
    return this->blackboard.flowCopies.containsWhere(
        key, [candidate](FlowCopy const &copy) { return copy.target == candidate; });
}

void FlowController::passToCandidate(FlowArrival const &arrival, InstanceId dispatcher,
                                     std::vector<TargetId> candidates)
{
    this->outbox.sendToInstance(dispatcher,
                                Forwarded{.caller = arrival.caller,
                                          .purpose = ForwardPurpose::Search,
                                          .hops = static_cast<std::uint8_t>(arrival.hops + 1),
                                          .origin = arrival.origin,
                                          .candidates = std::move(candidates),
                                          .isOriginComplete = arrival.isOriginComplete,
                                          .originTarget = arrival.originTarget,
                                          .possibleOwner = arrival.possibleOwner,
                                          .hasSkippedCandidate = arrival.hasSkippedCandidate,
                                          .message = toCallerMessage(arrival.message)});
}

// No candidate has a record of the flow, so the possible owner adopts it, here or at its dispatcher. If it
// has disclaimed the flow by then, the search ends without an owner.
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
        this->endSearch(offer, key, now);
    else
        this->passToCandidate(offer, dispatcher, {owner});
}

void FlowController::endSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (arrival.origin != this->self()) {
        this->outbox.sendToInstance(arrival.origin,
                                    Forwarded{.caller = arrival.caller,
                                              .purpose = ForwardPurpose::SearchEnded,
                                              .hops = arrival.hops,
                                              .origin = arrival.origin,
                                              .candidates = {},
                                              .isOriginComplete = arrival.isOriginComplete,
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
        this->decideUnknown(arrival, key, now);
        return;
    }
    this->blackboard.redirects.remove(key);
    bool const isOpenedElsewhere = !redirect->value.dispatcher.isNone();
    if (!isOpenedElsewhere) {
        this->startSearch(arrival, key, now);
        return;
    }
    // Two dispatchers with different views searched for the same new flow at each other. The lower target
    // opens it; if that message is lost, the caller's next Open finds no trace of this one.
    if (redirect->value.target < arrival.target) {
        this->atomicCounters.droppedInGrace.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->decideUnknown(arrival, key, now);
}

} // namespace almondwing
