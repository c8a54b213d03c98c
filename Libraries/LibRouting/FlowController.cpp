// Implements admission, adoption and rejection of flows, and the delivery of messages to targets.

#include <LibRouting/FlowController.h>

#include <LibRouting/ClaimTiming.h>
#include <LibRouting/ConnectionCount.h>
#include <LibRouting/RouteChoice.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

FlowKey keyOfFlow(FlowMessage const &message)
{
    return std::visit([](auto const &content) { return content.key; }, message);
}

FlowMessage toFlowMessage(CallerMessage &&message)
{
    if (auto *const data = std::get_if<FlowData>(&message))
        return std::move(*data);
    if (auto *const open = std::get_if<OpenFlow>(&message))
        return std::move(*open);
    if (auto const *const close = std::get_if<CloseFlow>(&message))
        return *close;
    return {};
}

std::uint32_t freeConnections(RoutedTarget const &target)
{
    return target.limits.connections - std::min(target.limits.connections, target.record.connections);
}

// Returns the targets that may accept a flow in place of the full one, those with the most free connections
// first.
std::vector<TargetId> spillCandidates(ServiceRoutes const &routes, TargetId full)
{
    std::vector<RoutedTarget const *> others;
    for (std::size_t index = 0; index < routes.targets.size(); ++index) {
        RoutedTarget const &target = routes.targets[index];
        if (target.record.id != full && routes.weights[index] > 0)
            others.push_back(&target);
    }
    std::ranges::stable_sort(others, std::ranges::greater{},
                             [](RoutedTarget const *target) { return freeConnections(*target); });
    std::vector<TargetId> candidates;
    for (RoutedTarget const *const target : others) {
        if (candidates.size() < maxSpills)
            candidates.push_back(target->record.id);
    }
    return candidates;
}

} // namespace

FlowArrival toFlowArrival(Forwarded &&forwarded, TargetId target)
{
    return FlowArrival{.caller = forwarded.caller,
                       .target = target,
                       .purpose = forwarded.purpose,
                       .hops = forwarded.hops,
                       .origin = forwarded.origin,
                       .candidates = std::move(forwarded.candidates),
                       .isOriginFlowTableComplete = forwarded.isOriginFlowTableComplete,
                       .originTarget = forwarded.originTarget,
                       .possibleOwner = forwarded.possibleOwner,
                       .hasSkippedCandidate = forwarded.hasSkippedCandidate,
                       .message = toFlowMessage(std::move(forwarded.message))};
}

FlowController::FlowController(Blackboard &sharedBlackboard, Outbox messageOutbox)
    : blackboard(sharedBlackboard), outbox(std::move(messageOutbox))
{
}

std::optional<FlowRecord> FlowController::recordOf(FlowKey const &key) const
{
    auto const known = this->blackboard.flows.read(key);
    return known ? std::optional<FlowRecord>(known->value) : std::nullopt;
}

bool FlowController::serveIfKnown(FlowArrival &&arrival, Timestamp now)
{
    auto const record = this->recordOf(keyOfFlow(arrival.message));
    if (!record)
        return false;
    this->serveKnown(std::move(arrival), *record, now);
    return true;
}

void FlowController::handleArrival(FlowArrival &&arrival, Timestamp now)
{
    FlowKey const key = keyOfFlow(arrival.message);
    if (auto const record = this->recordOf(key)) {
        this->serveKnown(std::move(arrival), *record, now);
        return;
    }
    switch (arrival.purpose) {
    case ForwardPurpose::Deliver:
        this->startSearch(arrival, key, now);
        return;
    case ForwardPurpose::Search: {
        this->recordOrigin(arrival, key, now);
        std::vector<TargetId> candidates = std::move(arrival.candidates);
        candidates.insert(candidates.begin(), arrival.target);
        this->visitCandidates(arrival, key, std::move(candidates), now);
        return;
    }
    case ForwardPurpose::SearchEnded:
        this->concludeSearch(arrival, key, now);
        return;
    case ForwardPurpose::Spill:
        this->handleUnknownFlow(arrival, key, now);
        return;
    }
}

void FlowController::serveKnown(FlowArrival &&arrival, FlowRecord const &record, Timestamp now)
{
    FlowKey const key = keyOfFlow(arrival.message);
    auto const endpoint = this->endpointOfFlow(key, record);
    if (!endpoint) {
        this->breakFlow(key, record, Reason::TargetLost);
        return;
    }
    if (std::holds_alternative<CloseFlow>(arrival.message)) {
        this->forwardToTarget(std::move(arrival.message), *endpoint);
        this->blackboard.flows.remove(key);
        releaseConnection(this->blackboard, record.target);
        this->atomicCounters.closed.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    bool const isRefreshDue = record.caller != arrival.caller || record.unansweredSince == Timestamp{}
        || now - record.lastFromCaller >= timeResolution;
    if (isRefreshDue)
        this->refreshRecord(arrival, key, now);
    this->forwardToTarget(std::move(arrival.message), *endpoint);
    // If the search has visited other candidates before, the origin learns where the flow is, so that later
    // packets reach this instance directly.
    bool const wasLaterCandidate = arrival.purpose == ForwardPurpose::Search && arrival.origin != this->self()
        && arrival.hops > searchBaseHops + 1;
    if (wasLaterCandidate)
        this->outbox.sendToInstance(arrival.origin, FlowFound{.key = key, .target = record.target});
}

std::optional<Endpoint> FlowController::endpointOfFlow(FlowKey const &key, FlowRecord const &record) const
{
    std::uint16_t const bucket = bucketOfFlow(key);
    return this->blackboard.routingView.select([&](RoutingView const &view) -> std::optional<Endpoint> {
        RoutedTarget const *const target = view.findTarget(key.service, bucket, record.target);
        if (target == nullptr || target->record.startMark != record.targetStart)
            return std::nullopt;
        return target->record.packetEndpoint;
    });
}

void FlowController::refreshRecord(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    this->blackboard.flows.update(key,
                                  [&](std::optional<FlowRecord> const &current) -> std::optional<FlowRecord> {
                                      if (!current)
                                          return std::nullopt;
                                      FlowRecord next = *current;
                                      next.caller = arrival.caller;
                                      next.lastFromCaller = now;
                                      if (next.unansweredSince == Timestamp{})
                                          next.unansweredSince = now;
                                      return next;
                                  });
}

void FlowController::handleUnknownFlow(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (auto const *const open = std::get_if<OpenFlow>(&arrival.message)) {
        this->admit(arrival, *open, now);
        return;
    }
    if (!std::holds_alternative<FlowData>(arrival.message))
        return;
    if (this->mayOwn(key, arrival.target))
        this->adopt(arrival, key, arrival.target, now);
    else
        this->rejectUnknownFlow(arrival, key, now);
}

void FlowController::admit(FlowArrival const &arrival, OpenFlow const &open, Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    ServiceRoutes const *const routes = view->findService(open.key.service);
    std::size_t const index =
        routes == nullptr ? 0 : routes->indexOfTarget(arrival.target, bucketOfFlow(open.key));
    if (routes == nullptr || index == routes->targets.size() || routes->weights[index] <= 0) {
        this->spillOrRefuse(arrival, open, Reason::NoTarget, now);
        return;
    }
    RoutedTarget const *const target = &routes->targets[index];
    // While this instance is not serving, another instance dispatches for the target or soon will. The
    // OpenFlow that the caller sends next reaches that instance. Opening the flow at another target here
    // would leave a record that the successor does not know of.
    bool const isServing = this->blackboard.ownStatus.select([](OwnStatus const &status) {
        return status.phase == InstancePhase::Serving && status.lease == LeaseState::Held;
    });
    if (!isServing) {
        this->atomicCounters.droppedWithoutReply.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (acquireConnection(this->blackboard, arrival.target, target->limits.connections, now)
        == AcquireOutcome::LimitReached) {
        this->spillOrRefuse(arrival, open, Reason::TargetFull, now);
        return;
    }
    FlowRecord const record{.target = arrival.target,
                            .caller = arrival.caller,
                            .state = FlowState::Opening,
                            .targetStart = target->record.startMark,
                            .lastFromCaller = now,
                            .lastFromTarget = now,
                            .unansweredSince = now};
    if (this->blackboard.flows.write(open.key, record, 0) == WriteOutcome::Conflict) {
        // Another thread has opened the same flow from a duplicate of this packet.
        releaseConnection(this->blackboard, arrival.target);
        return;
    }
    this->blackboard.targetsWithoutFlow.remove(open.key);
    this->atomicCounters.opened.fetch_add(1, std::memory_order_relaxed);
    this->outbox.sendToTarget(target->record.packetEndpoint, open);
    if (arrival.purpose == ForwardPurpose::Spill)
        this->blackboard.openedExceptions.fetch_add(1, std::memory_order_relaxed);
    if (arrival.purpose == ForwardPurpose::Spill && arrival.origin != this->self())
        this->outbox.sendToInstance(arrival.origin, FlowFound{.key = open.key, .target = arrival.target});
}

void FlowController::spillOrRefuse(FlowArrival const &arrival, OpenFlow const &open, Reason reason,
                                   Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    ServiceRoutes const *const routes = view->findService(open.key.service);
    bool const isFirstSpill = arrival.purpose != ForwardPurpose::Spill;
    std::vector<TargetId> candidates = arrival.candidates;
    if (isFirstSpill)
        candidates = routes == nullptr ? std::vector<TargetId>{} : spillCandidates(*routes, arrival.target);
    InstanceId const origin = isFirstSpill ? this->self() : arrival.origin;
    while (!candidates.empty()) {
        TargetId const next = candidates.front();
        Route const route = chooseRouteToTarget(*view, this->self(), next);
        if (route.kind == RouteKind::ForwardToInstance) {
            this->atomicCounters.spilled.fetch_add(1, std::memory_order_relaxed);
            if (isFirstSpill)
                this->blackboard.redirects.update(open.key, [&](auto const &) {
                    return FlowRedirect{.target = next, .dispatcher = {}, .lastUsed = now};
                });
            this->outbox.sendToInstance(route.instance,
                                        Forwarded{.caller = arrival.caller,
                                                  .purpose = ForwardPurpose::Spill,
                                                  .hops = static_cast<std::uint8_t>(arrival.hops + 1),
                                                  .origin = origin,
                                                  .candidates = std::move(candidates),
                                                  .isOriginFlowTableComplete = false,
                                                  .originTarget = {},
                                                  .possibleOwner = {},
                                                  .hasSkippedCandidate = false,
                                                  .message = open});
            return;
        }
        candidates.erase(candidates.begin());
        if (route.kind == RouteKind::DispatchHere) {
            FlowArrival spill = arrival;
            spill.target = next;
            spill.purpose = ForwardPurpose::Spill;
            spill.origin = origin;
            spill.candidates = std::move(candidates);
            this->admit(spill, open, now);
            return;
        }
    }
    this->atomicCounters.refused.fetch_add(1, std::memory_order_relaxed);
    this->outbox.sendToCaller(
        arrival.caller, FlowRefused{.key = open.key, .reason = reason, .retryAfter = refusedRetryAfter});
}

void FlowController::adopt(FlowArrival const &arrival, FlowKey const &key, TargetId target, Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    RoutedTarget const *const routed = view->findTarget(target);
    if (routed == nullptr || routed->record.service != key.service) {
        this->rejectUnknownFlow(arrival, key, now);
        return;
    }
    FlowRecord const record{.target = target,
                            .caller = arrival.caller,
                            .state = FlowState::Adopted,
                            .targetStart = routed->record.startMark,
                            .lastFromCaller = now,
                            .lastFromTarget = now,
                            .unansweredSince = now};
    if (this->blackboard.flows.write(key, record, 0) == WriteOutcome::Written) {
        adoptConnection(this->blackboard, target);
        this->atomicCounters.adopted.fetch_add(1, std::memory_order_relaxed);
    }
    this->forwardToTarget(FlowMessage(arrival.message), routed->record.packetEndpoint);
}

void FlowController::rejectUnknownFlow(FlowArrival const &arrival, FlowKey const &key, Timestamp now)
{
    if (arrival.hasSkippedCandidate || this->isInGracePeriod(key, arrival.target, now)) {
        this->atomicCounters.droppedWithoutReply.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->atomicCounters.broken.fetch_add(1, std::memory_order_relaxed);
    this->outbox.sendToCaller(arrival.caller, FlowBroken{.key = key, .reason = Reason::UnknownFlow});
}

void FlowController::breakFlow(FlowKey const &key, FlowRecord const &record, Reason reason)
{
    this->blackboard.flows.remove(key);
    releaseConnection(this->blackboard, record.target);
    this->atomicCounters.broken.fetch_add(1, std::memory_order_relaxed);
    this->outbox.sendToCaller(record.caller, FlowBroken{.key = key, .reason = reason});
}

void FlowController::forwardToTarget(FlowMessage &&message, Endpoint target)
{
    std::visit([&](auto content) { this->outbox.sendToTarget(target, TargetCommand(std::move(content))); },
               std::move(message));
}

FlowTableState FlowController::flowTableStateOf(TargetId target) const
{
    auto const status = this->blackboard.flowTableStatus.read(target);
    return status ? status->value.state : FlowTableState::Partial;
}

bool FlowController::mayOwn(FlowKey const &key, TargetId target) const
{
    if (this->flowTableStateOf(target) == FlowTableState::Complete)
        return false;
    return !this->blackboard.targetsWithoutFlow.containsWhere(key, [target](TargetsWithoutFlow const &entry) {
        return std::ranges::find(entry.targets, target) != entry.targets.end();
    });
}

void FlowController::recordTargetWithoutFlow(FlowKey const &key, TargetId target, Timestamp now)
{
    this->blackboard.targetsWithoutFlow.update(key, [&](std::optional<TargetsWithoutFlow> const &current) {
        TargetsWithoutFlow next = current.value_or(TargetsWithoutFlow{});
        if (std::ranges::find(next.targets, target) == next.targets.end())
            next.targets.push_back(target);
        next.lastAdded = now;
        return next;
    });
}

bool FlowController::isInGracePeriod(FlowKey const &key, TargetId target, Timestamp now) const
{
    auto const status = this->blackboard.flowTableStatus.read(target);
    if (!status || now - status->value.since < searchGracePeriod)
        return true;
    auto const view = this->blackboard.routingView.read();
    ServiceRoutes const *const routes = view->findService(key.service);
    return routes != nullptr && routes->hasMovedWithin(bucketOfFlow(key), searchGracePeriod, now);
}

InstanceId FlowController::self() const
{
    return this->blackboard.ownStatus.select([](OwnStatus const &status) { return status.self.id; });
}

FlowCounters FlowController::counters() const
{
    AtomicCounters const &current = this->atomicCounters;
    return FlowCounters{.opened = current.opened,
                        .refused = current.refused,
                        .adopted = current.adopted,
                        .searched = current.searched,
                        .spilled = current.spilled,
                        .broken = current.broken,
                        .closed = current.closed,
                        .droppedWithoutReply = current.droppedWithoutReply,
                        .unmatched = current.unmatched};
}

} // namespace almondwing
