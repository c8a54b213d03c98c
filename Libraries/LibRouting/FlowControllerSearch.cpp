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
    return possibleHolders(this->blackboard, key.service, bucketOfFlow(key), except);
}

void FlowController::startSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    std::vector<TargetId> candidates = this->searchCandidates(key, arrival.target);
    if (candidates.empty()) {
        this->decideUnknown(arrival, key, now);
        return;
    }
    if (arrival.hops >= maximumHops) {
        this->atomicCounters.droppedInGrace.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->atomicCounters.searched.fetch_add(1, std::memory_order_relaxed);
    FlowArrival search = arrival;
    search.origin = this->self();
    search.originTarget = arrival.target;
    search.hops = std::max(arrival.hops, searchBaseHops);
    auto const redirect = this->blackboard.redirects.read(key);
    search.isOriginComplete = this->knowledgeOf(arrival.target) == KnowledgeState::Complete
        || (redirect && redirect->value.isDisclaimed);
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
// are known not to have a record of the flow; one with partial knowledge may still own it, if nobody else
// can.
void FlowController::visitCandidates(FlowArrival const &arrival, FlowKey const &key,
                                     std::vector<TargetId> candidates, Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    bool const isData = std::holds_alternative<FlowData>(arrival.message);
    while (!candidates.empty()) {
        TargetId const candidate = candidates.front();
        InstanceId const dispatcher = this->dispatcherOfCandidate(*view, key, candidate);
        // The origin has looked at its own flows before it began to search.
        bool const isElsewhere =
            !dispatcher.isNone() && dispatcher != this->self() && dispatcher != arrival.origin;
        if (isElsewhere) {
            this->outbox.sendToInstance(dispatcher,
                                        Forwarded{.caller = arrival.caller,
                                                  .purpose = ForwardPurpose::Search,
                                                  .hops = static_cast<std::uint8_t>(arrival.hops + 1),
                                                  .origin = arrival.origin,
                                                  .candidates = std::move(candidates),
                                                  .isOriginComplete = arrival.isOriginComplete,
                                                  .originTarget = arrival.originTarget,
                                                  .message = toCallerMessage(arrival.message)});
            return;
        }
        candidates.erase(candidates.begin());
        bool const isOnlyPossibleOwner = candidates.empty() && arrival.isOriginComplete && isData
            && dispatcher == this->self() && this->knowledgeOf(candidate) == KnowledgeState::Partial;
        if (isOnlyPossibleOwner) {
            this->adopt(arrival, key, candidate, now);
            return;
        }
    }
    this->endSearch(arrival, key, now);
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
                                              .message = toCallerMessage(arrival.message)});
        return;
    }
    FlowArrival own = arrival;
    own.target = arrival.originTarget;
    this->concludeSearch(own, key, now);
}

void FlowController::concludeSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
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
