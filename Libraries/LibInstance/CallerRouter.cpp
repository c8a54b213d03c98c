// Implements the routing of messages from callers.

#include <LibInstance/CallerRouter.h>

#include <LibRouting/ClaimController.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr Duration refusalRetryAfter = 1s;

// The hop from the receiving instance to the dispatcher, and one or two more while a change propagates.
constexpr std::uint8_t maxHopsWithoutDelay = 3;
// The delay for each further hop. With it the hop limit is reached after 2 s, and a change propagates within
// 1 s. Without it, two instances that each take the other one for the dispatcher reach the limit within
// milliseconds.
constexpr Duration unsettledDelay = 100ms;
constexpr std::size_t maxUnsettledMessages = 4096; // Of at most 1400 bytes each.

// Returns null for messages of requests.
FlowKey const *flowKeyOf(CallerMessage const &message)
{
    if (auto const *const data = std::get_if<FlowData>(&message))
        return &data->key;
    if (auto const *const open = std::get_if<OpenFlow>(&message))
        return &open->key;
    if (auto const *const close = std::get_if<CloseFlow>(&message))
        return &close->key;
    return nullptr;
}

RequestKey requestKeyOf(CallerMessage const &message)
{
    if (auto const *const request = std::get_if<Request>(&message))
        return request->key;
    if (auto const *const cancel = std::get_if<CancelRequest>(&message))
        return cancel->key;
    if (auto const *const resend = std::get_if<ResendParts>(&message))
        return resend->key;
    return {};
}

void increment(std::atomic<std::uint64_t> &counter)
{
    counter.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

CallerRouter::CallerRouter(Blackboard &sharedBlackboard, Outbox routerOutbox,
                           CallerControllers callerControllers)
    : blackboard(sharedBlackboard), outbox(std::move(routerOutbox)), controllers(callerControllers)
{
}

InstanceId CallerRouter::self() const
{
    return this->blackboard.ownStatus.select([](OwnStatus const &status) { return status.self.id; });
}

void CallerRouter::handleFromCaller(Endpoint caller, CallerMessage message, Timestamp now)
{
    increment(this->receivedFromCallers);
    this->route(Forwarded{.caller = caller, .candidates = {}, .message = std::move(message)},
                HopDelay::NotYetApplied, now);
}

void CallerRouter::handleForwarded(Forwarded forwarded, Timestamp now)
{
    this->route(std::move(forwarded), HopDelay::NotYetApplied, now);
}

void CallerRouter::tick(Timestamp now)
{
    if (!this->hasUnsettledMessages())
        return;
    std::vector<std::pair<std::uint64_t, UnsettledMessage>> due;
    this->blackboard.unsettledMessages.forEach([&](std::uint64_t number, UnsettledMessage const &waiting) {
        if (now - waiting.since >= unsettledDelay)
            due.emplace_back(number, waiting);
    });
    for (auto &[number, waiting] : due) {
        Duration const waited = now - waiting.since;
        this->blackboard.unsettledMessages.remove(number);
        if (auto *const request = std::get_if<Request>(&waiting.forwarded.message))
            request->timeLeft = std::max(request->timeLeft - waited, Duration::zero());
        this->route(std::move(waiting.forwarded), HopDelay::Applied, now);
    }
}

bool CallerRouter::hasUnsettledMessages() const
{
    return this->blackboard.unsettledMessages.size() > 0;
}

bool CallerRouter::delayUntilTablesAgree(Forwarded &forwarded, Timestamp now)
{
    if (forwarded.hops <= maxHopsWithoutDelay)
        return false;
    --forwarded.hops; // The hop is counted again when the message is forwarded after the delay.
    if (this->queueUnsettled(forwarded, now))
        return true;
    ++forwarded.hops;
    return false;
}

// A joining instance lacks the records of targets, so the refusal "no target" could be wrong. The joining
// phase is bounded in time.
bool CallerRouter::delayWhileJoining(Forwarded &forwarded, Timestamp now)
{
    bool const isJoining = this->blackboard.ownStatus.select(
        [](OwnStatus const &status) { return status.phase == InstancePhase::Joining; });
    return isJoining && this->queueUnsettled(forwarded, now);
}

bool CallerRouter::queueUnsettled(Forwarded &forwarded, Timestamp now)
{
    if (this->blackboard.unsettledMessages.size() >= maxUnsettledMessages)
        return false;
    this->blackboard.unsettledMessages.write(
        this->nextUnsettledNumber.fetch_add(1, std::memory_order_relaxed),
        UnsettledMessage{.forwarded = std::move(forwarded), .since = now}, 0);
    return true;
}

void CallerRouter::route(Forwarded &&forwarded, HopDelay hopDelay, Timestamp now)
{
    if (this->serveIfKnown(forwarded, now))
        return;
    auto const view = this->blackboard.routingView.read();
    ForwardDecision decision = decideForwarded(*view, this->self(), std::move(forwarded));
    switch (decision.kind) {
    case ForwardDecisionKind::HandleLocally:
        this->handleLocally(std::move(decision), now);
        return;
    case ForwardDecisionKind::Forward:
        if (hopDelay == HopDelay::NotYetApplied && this->delayUntilTablesAgree(decision.forwarded, now))
            return;
        increment(this->forwardedCount);
        this->outbox.sendToInstance(decision.instance, PeerMessage(std::move(decision.forwarded)));
        return;
    case ForwardDecisionKind::Refuse:
        if (this->delayWhileJoining(decision.forwarded, now))
            return;
        if (decision.reason == Reason::RouteUnsettled)
            increment(this->hopLimitExceeded);
        this->refuse(decision.forwarded, decision.reason);
        return;
    case ForwardDecisionKind::Drop:
        increment(this->unknownService);
        return;
    }
}

// A record at this instance takes precedence over the table, which may have moved the bucket since. After a
// pause of the process, records are not used until the lease is regained, because a successor may have taken
// over. The message is moved from `forwarded` only if it is served.
bool CallerRouter::serveIfKnown(Forwarded &forwarded, Timestamp now)
{
    if (!this->controllers.membership.canDispatch(now))
        return false;
    if (FlowKey const *const key = flowKeyOf(forwarded.message)) {
        auto const record = this->controllers.flows.recordOf(*key);
        if (!record)
            return false;
        this->controllers.flows.serveKnown(toFlowArrival(std::move(forwarded), TargetId{}), *record, now);
        increment(this->handledLocally);
        return true;
    }
    if (!this->controllers.requests.isServedHere(requestKeyOf(forwarded.message)))
        return false;
    increment(this->handledLocally);
    this->dispatchRequest(forwarded, TargetId{}, now);
    return true;
}

void CallerRouter::handleLocally(ForwardDecision &&decision, Timestamp now)
{
    if (!this->controllers.membership.canDispatch(now)) {
        increment(this->refusedWithoutLease);
        return;
    }
    increment(this->handledLocally);
    if (flowKeyOf(decision.forwarded.message) != nullptr)
        this->controllers.flows.handleArrival(toFlowArrival(std::move(decision.forwarded), decision.target),
                                              now);
    else
        this->handleRequestMessage(decision, now);
}

void CallerRouter::handleRequestMessage(ForwardDecision const &decision, Timestamp now)
{
    switch (decision.forwarded.purpose) {
    case ForwardPurpose::Deliver:
        this->startRequestSearch(decision, now);
        return;
    case ForwardPurpose::Search: {
        std::vector<TargetId> candidates = decision.forwarded.candidates;
        candidates.insert(candidates.begin(), decision.target);
        this->continueRequestSearch(decision.forwarded, std::move(candidates), now);
        return;
    }
    case ForwardPurpose::SearchEnded:
    case ForwardPurpose::Spill:
        this->dispatchRequest(decision.forwarded, decision.target, now);
        return;
    }
}

void CallerRouter::startRequestSearch(ForwardDecision const &decision, Timestamp now)
{
    MessageKey const key = keyOf(decision.forwarded.message);
    auto candidates = candidateTargets(this->blackboard, key.service, bucketOf(key.hash), decision.target);
    Forwarded search = decision.forwarded;
    search.origin = this->self();
    search.originTarget = decision.target;
    this->continueRequestSearch(search, std::move(candidates), now);
}

void CallerRouter::continueRequestSearch(Forwarded const &forwarded, std::vector<TargetId> candidates,
                                         Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    while (!candidates.empty()) {
        RoutedTarget const *const target = view->findTarget(candidates.front());
        InstanceId const dispatcher = target == nullptr ? InstanceId{} : target->dispatcher;
        bool const isElsewhere =
            !dispatcher.isNone() && dispatcher != this->self() && dispatcher != forwarded.origin;
        if (isElsewhere) {
            Forwarded search = forwarded;
            search.purpose = ForwardPurpose::Search;
            search.candidates = std::move(candidates);
            ++search.hops;
            this->outbox.sendToInstance(dispatcher, search);
            return;
        }
        candidates.erase(candidates.begin());
    }
    if (forwarded.origin == this->self()) {
        this->dispatchRequest(forwarded, forwarded.originTarget, now);
        return;
    }
    Forwarded ended = forwarded;
    ended.purpose = ForwardPurpose::SearchEnded;
    ended.candidates.clear();
    this->outbox.sendToInstance(forwarded.origin, ended);
}

void CallerRouter::dispatchRequest(Forwarded const &forwarded, TargetId target, Timestamp now)
{
    if (auto const *const request = std::get_if<Request>(&forwarded.message))
        this->controllers.requests.handleRequest({.caller = forwarded.caller,
                                                  .request = *request,
                                                  .target = target,
                                                  .purpose = forwarded.purpose,
                                                  .hops = forwarded.hops,
                                                  .origin = forwarded.origin},
                                                 now);
    else if (auto const *const cancel = std::get_if<CancelRequest>(&forwarded.message))
        this->controllers.requests.handleCancel(forwarded.caller, *cancel, forwarded.hops, now);
    else if (auto const *const resend = std::get_if<ResendParts>(&forwarded.message))
        this->controllers.requests.handleResendParts(forwarded.caller, *resend, forwarded.hops, now);
}

void CallerRouter::refuse(Forwarded const &forwarded, Reason reason)
{
    if (auto const *const open = std::get_if<OpenFlow>(&forwarded.message)) {
        increment(this->refused);
        this->outbox.sendToCaller(
            forwarded.caller,
            FlowRefused{.key = open->key, .reason = reason, .retryAfter = refusalRetryAfter});
    } else if (auto const *const request = std::get_if<Request>(&forwarded.message)) {
        this->refuseRequest(forwarded.caller, *request, reason);
    }
    // Data of a flow gets no answer, because it may still exist on the other side of a network partition.
}

void CallerRouter::refuseRequest(Endpoint caller, Request const &request, Reason reason)
{
    increment(this->refused);
    // After an earlier attempt the outcome is unknown, because that attempt may have run without this
    // instance knowing.
    bool const isFirstSend = request.attempt <= 1;
    if (isFirstSend)
        this->outbox.sendToCaller(
            caller, NotRun{.key = request.key, .reason = reason, .retryAfter = refusalRetryAfter});
    else
        this->outbox.sendToCaller(caller, OutcomeUnknown{.key = request.key, .reason = reason});
}

CallerRouterCounters CallerRouter::counters() const
{
    return CallerRouterCounters{.receivedFromCallers = this->receivedFromCallers,
                                .forwarded = this->forwardedCount,
                                .handledLocally = this->handledLocally,
                                .refused = this->refused,
                                .unknownService = this->unknownService,
                                .hopLimitExceeded = this->hopLimitExceeded,
                                .refusedWithoutLease = this->refusedWithoutLease};
}

} // namespace almondwing
