// Implements the request controller: dispatches messages and ticks to its parts and tracks takeovers.

#include <LibRequests/RequestController.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

RequestController::RequestController(Blackboard &board, RequestSettings settingsInUse, Outbox hooks,
                                     RandomSource randomSource)
    : blackboard(board), settings(settingsInUse), outbox(std::move(hooks)), random(std::move(randomSource)),
      schedule(board), store(board, this->settings, this->schedule),
      replicas(board, this->settings, this->schedule), outcomes(this->store, this->replicas, this->outbox),
      runner(this->store, this->outcomes, this->random),
      admission(this->store, this->outcomes, this->runner, this->replicas, this->random)
{
}

void RequestController::handleRequest(IncomingRequest const &incoming, Timestamp now)
{
    this->admission.handle(incoming, now);
}

bool RequestController::isServedHere(RequestKey key) const
{
    auto const record = this->store.find(key);
    return record && record->phase != RequestPhase::Forwarded;
}

void RequestController::handleCancel(Endpoint caller, CancelRequest const &message, std::uint8_t hops,
                                     Timestamp now)
{
    auto const record = this->store.find(message.key);
    if (!record)
        return;
    switch (record->phase) {
    case RequestPhase::Forwarded:
        if (hops < this->settings.maxForwardHops)
            this->admission.forward(*record, caller, hops, message);
        return;
    case RequestPhase::Running:
        this->runner.cancel(message.key, Reason::Cancelled, now);
        return;
    case RequestPhase::Finished:
        return;
    case RequestPhase::Admitting:
    case RequestPhase::Locating:
    case RequestPhase::Recording:
    case RequestPhase::Queued:
        // If the request has started in the meantime, the refusal has no effect and the try is cancelled.
        if (!this->outcomes.refuse(message.key, record->phase, Reason::Cancelled, Duration::zero(), now))
            this->runner.cancel(message.key, Reason::Cancelled, now);
        return;
    }
}

void RequestController::handleResendParts(Endpoint caller, ResendParts const &message, std::uint8_t hops,
                                          Timestamp now)
{
    static_cast<void>(now);
    auto const record = this->store.find(message.key);
    if (!record)
        return;
    if (record->phase == RequestPhase::Forwarded) {
        if (hops < this->settings.maxForwardHops)
            this->admission.forward(*record, caller, hops, message);
        return;
    }
    if (record->answer && record->answer->tryId == message.tryId)
        this->outcomes.resendParts(message.key, *record, message.parts);
}

void RequestController::handleTargetMessage(Endpoint from, RequestTargetMessage const &message, Timestamp now)
{
    if (auto const *const started = std::get_if<RequestStarted>(&message))
        this->runner.handleStarted(from, *started, now);
    else if (auto const *const shed = std::get_if<Shed>(&message))
        this->runner.handleShed(from, *shed, now);
    else if (auto const *const ended = std::get_if<RunEnded>(&message))
        this->runner.handleEnded(from, *ended, now);
    else if (auto const *const part = std::get_if<AnswerPart>(&message))
        this->runner.handlePart(from, *part, now);
}

void RequestController::handlePeerMessage(InstanceId from, RequestPeerMessage const &message, Timestamp now)
{
    if (auto const *const request = std::get_if<RecordRequest>(&message)) {
        auto const verdict = this->replicas.record(*request, now);
        if (verdict == RecordVerdict::Stored)
            this->extendInheritedSlots(*request, now);
        this->outbox.sendToInstance(
            from, RecordReply{.key = request->key, .tryId = request->tryId, .verdict = verdict});
    } else if (auto const *const reply = std::get_if<RecordReply>(&message)) {
        this->admission.handleRecordReply(from, *reply, now);
    } else if (auto const *const release = std::get_if<RecordRelease>(&message)) {
        this->replicas.release(from, *release);
    } else if (auto const *const locate = std::get_if<Locate>(&message)) {
        this->admission.handleLocate(from, *locate, now);
    } else if (auto const *const located = std::get_if<LocateReply>(&message)) {
        this->admission.handleLocateReply(from, *located, now);
    }
}

void RequestController::handleTakeover(TargetId target, Timestamp now)
{
    auto const latest = this->replicas.latestDeadline(target, now);
    Timestamp const until = std::max(now + this->settings.slotGracePeriod, latest.value_or(now));
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(target);
    std::uint32_t const slots = routed != nullptr ? routed->fullLimits.slots : 0;
    this->blackboard.usage.update(target, [&](std::optional<TargetUsage> const &current) {
        TargetUsage next = current.value_or(TargetUsage{});
        next.inheritedSlots = std::max(slots, next.inheritedSlots);
        next.inheritedUntil = std::max(until, next.inheritedUntil);
        return std::optional(next);
    });
    this->store.changeQueue(target, [&](RequestQueue queue) {
        queue.tookOverAt = now;
        queue.dispatchLostAt = std::nullopt;
        return queue;
    });
    this->outbox.report(Event::SlotsInherited,
                        fmt::format("target {:x}, {} slots count as in use for {} ms", target.value, slots,
                                    (until - now) / 1ms));
}

void RequestController::extendInheritedSlots(RecordRequest const &request, Timestamp now)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(request.target);
    if (routed == nullptr || routed->dispatcher != this->store.self())
        return;
    // The former dispatcher does not know of the takeover yet, or still runs the requests that it has queued.
    Timestamp const deadline = now + request.keepFor - this->settings.keepAfterDeadline;
    this->blackboard.usage.update(
        request.target, [&](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
            if (current && now < current->inheritedUntil && current->inheritedUntil >= deadline)
                return std::nullopt;
            TargetUsage next = current.value_or(TargetUsage{});
            next.inheritedSlots = std::max(next.inheritedSlots, routed->fullLimits.slots);
            next.inheritedUntil = std::max(next.inheritedUntil, deadline);
            return next;
        });
}

void RequestController::tick(Timestamp now)
{
    for (auto const &[target, queue] : this->blackboard.queues.entries())
        this->tickTarget(target, queue, now);
    auto const expired = this->schedule.takeExpired(now);
    this->store.expire(expired.requests, now);
    this->replicas.expire(expired.replicaRecords, now);
    this->sendNextBulkPart(now);
}

void RequestController::tickTarget(TargetId target, RequestQueue const &queue, Timestamp now)
{
    if (this->store.view()->findTarget(target) == nullptr)
        this->store.removeEmptyQueue(target);
    this->trackDispatcher(target, now);
    for (auto const &waiting : queue.waiting) {
        for (RequestKey const key : waiting)
            this->tickRequest(key, now);
    }
    for (RequestKey const key : queue.active)
        this->tickRequest(key, now);
    this->store.pruneQueue(target);
    Reason const blockingReason = this->runner.blockingReason(target);
    if (blockingReason != Reason::None)
        this->clearQueue(queue, blockingReason, now);
    else
        this->runner.dispatch(target, now);
}

void RequestController::tickRequest(RequestKey key, Timestamp now)
{
    auto const record = this->store.find(key);
    if (!record)
        return;
    this->runner.detectTargetRestart(key, *record, now);
    if (record->phase == RequestPhase::Queued && !this->runner.mayStillStart(*record, now)) {
        this->admission.handOffToSuccessor(key, *record, now);
        return;
    }
    RequestStep const step = nextStep(*record, this->settings, now);
    if (step == RequestStep::None)
        return;
    if (record->phase == RequestPhase::Running || record->phase == RequestPhase::Finished)
        this->runner.executeStep(key, step, now);
    else
        this->admission.executeStep(key, step, now);
}

void RequestController::clearQueue(RequestQueue const &queue, Reason reason, Timestamp now)
{
    auto const leave = [&](RequestKey key) {
        if (reason == Reason::NoTarget) {
            this->admission.moveOffTarget(key, now);
            return;
        }
        for (auto const phase : {RequestPhase::Recording, RequestPhase::Queued})
            this->outcomes.refuse(key, phase, reason, Duration::zero(), now);
    };
    for (auto const &waiting : queue.waiting)
        std::ranges::for_each(waiting, leave);
}

void RequestController::trackDispatcher(TargetId target, Timestamp now)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(target);
    bool const isOwn = routed != nullptr && routed->dispatcher == this->store.self();
    auto const queue = this->blackboard.queues.read(target);
    if (!queue || isOwn != queue->value.dispatchLostAt.has_value())
        return;
    this->store.changeQueue(target, [&](RequestQueue next) {
        next.dispatchLostAt = isOwn ? std::nullopt : std::optional(now);
        return next;
    });
}

std::optional<Timestamp> RequestController::sendNextBulkPart(Timestamp now)
{
    return this->outcomes.sendNextBulkPart(now);
}

void RequestController::beginStop(Timestamp now)
{
    static_cast<void>(now);
    this->admission.close();
}

bool RequestController::isIdle() const
{
    bool const isBusy = std::ranges::any_of(this->blackboard.queues.entries(), [](auto const &entry) {
        return !entry.second.active.empty()
            || std::ranges::any_of(entry.second.waiting, [](auto const &list) { return !list.empty(); });
    });
    return !isBusy && !this->outcomes.hasPacedParts();
}

std::set<std::uint16_t> RequestController::bucketsInUse(TargetId target) const
{
    std::set<std::uint16_t> buckets;
    if (auto const use = this->blackboard.requestBuckets.read(target)) {
        for (auto const &[bucket, count] : use->value.counts)
            buckets.insert(bucket);
    }
    return buckets;
}

} // namespace almondwing
