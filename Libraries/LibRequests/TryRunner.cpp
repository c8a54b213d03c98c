// Implements the start of tries and the handling of messages from targets.

#include <LibRequests/TryRunner.h>

#include <LibRequests/AnswerAssembly.h>
#include <LibRequests/QueuePolicy.h>
#include <LibRequests/RetryPolicy.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

// An answer that is sent after the deadline of its request must not count as a success for the caller.
FinalOutcome answerOutcome(RequestRecord const &record, Timestamp sentAt)
{
    if (sentAt <= record.deadline)
        return {.outcome = RequestOutcome::Answered};
    return {.outcome = RequestOutcome::Unknown, .reason = Reason::DeadlinePassed};
}

} // namespace

TryRunner::TryRunner(RequestStore &requestStore, OutcomeSender &sender, RandomSource const &randomSource)
    : store(requestStore), outcomeSender(sender), random(randomSource)
{
}

Reason TryRunner::blockingReason(TargetId target) const
{
    if (this->store.board().ownStatus.read()->lease != LeaseState::Held)
        return Reason::LeaseExpired;
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(target);
    if (routed == nullptr
        || (routed->record.state != TargetState::Starting && routed->record.state != TargetState::Warm)
        || this->store.isTakenOut(*routed))
        return Reason::NoTarget;
    return Reason::None;
}

void TryRunner::dispatch(TargetId target, Timestamp now)
{
    while (this->blockingReason(target) == Reason::None) {
        auto const view = this->store.view();
        RoutedTarget const *const routed = view->findTarget(target);
        if (routed == nullptr)
            return;
        RequestQueue const queue = this->store.queue(target);
        TargetUsage const usage = this->store.usage(target);
        auto const isReadyHere = [&](RequestKey key) {
            auto const record = this->store.find(key);
            return record && this->isReady(*record, target, now)
                && hasTimeToRun(record->requestClass, record->deadline - now, Duration::zero(),
                                QueueMembership::Waiting, queue, usage, this->store.requestSettings());
        };
        auto const key =
            nextToStart(queue, isReadyHere, usage, routed->limits, this->store.requestSettings(), now);
        auto const record = key ? this->store.find(*key) : std::nullopt;
        if (!record || !this->store.takeSlot(target, record->requestClass, routed->limits, queue, now))
            return;
        if (!this->startTry(*key, *routed, now))
            this->store.releaseSlot(target);
    }
}

bool TryRunner::isReady(RequestRecord const &record, TargetId target, Timestamp now) const
{
    return record.phase == RequestPhase::Queued && record.target == target && record.notBefore <= now
        && record.deadline > now && this->mayStillStart(record, now);
}

bool TryRunner::mayStillStart(RequestRecord const &record, Timestamp now) const
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    if (routed == nullptr || routed->dispatcher.isNone() || routed->dispatcher == this->store.self())
        return true;
    // A successor that has the record counts all slots as busy until the deadline of the request.
    if (std::ranges::find(record.storedBy, routed->dispatcher) != record.storedBy.end())
        return true;
    // Any other successor counts them only for `slotGracePeriod` after its takeover, and its view may have
    // shown the takeover earlier than the view here.
    auto const &requestSettings = this->store.requestSettings();
    Timestamp const lostAt = this->store.queue(record.target).dispatchLostAt.value_or(now);
    return record.deadline <= lostAt + requestSettings.slotGracePeriod - requestSettings.pauseTolerance;
}

bool TryRunner::startTry(RequestKey key, RoutedTarget const &target, Timestamp now)
{
    std::uint64_t const tryId = this->random() | 1U; // Zero means "no try".
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Queued || current.target != target.record.id)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Running;
            next.phaseSince = now;
            next.tryId = tryId;
            next.tries = current.tries + 1;
            next.progress = TryProgress::Sent;
            next.slot = SlotUse::Held;
            next.targetEndpoint = target.record.packetEndpoint;
            next.startMark = target.record.startMark;
            next.startedAt = now;
            next.lastSent = now;
            next.lastReceived = now;
            return next;
        });
    if (!record)
        return false;
    this->store.changeQueue(record->target, [&](RequestQueue queue) {
        return withActive(withoutWaiting(std::move(queue), key), key);
    });
    this->sendRun(key, *record, now);
    return true;
}

void TryRunner::sendRun(RequestKey key, RequestRecord const &record, Timestamp now)
{
    this->sendToTarget(record,
                       RunRequest{.key = key,
                                  .tryId = record.tryId,
                                  .requestClass = record.requestClass,
                                  .idempotency = record.idempotency,
                                  .timeLeft = record.deadline - now,
                                  .payload = record.payload ? *record.payload : ""});
}

void TryRunner::sendCancel(RequestKey key, RequestRecord const &record)
{
    this->sendToTarget(record, CancelRequest{.key = key, .tryId = record.tryId});
}

// A failure domain that operators have taken out gets no packets, not even for requests that run there. Their
// answers are still accepted. A request that needs a retransmission ends at its deadline with OutcomeUnknown.
void TryRunner::sendToTarget(RequestRecord const &record, TargetCommand const &command)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    if (routed != nullptr && this->store.isTakenOut(*routed))
        return;
    this->outcomeSender.messageOutbox().sendToTarget(record.targetEndpoint, command);
}

bool TryRunner::isFromCurrentTry(RequestRecord const &record, Endpoint from, std::uint64_t tryId) const
{
    return record.tryId != 0 && record.tryId == tryId && record.targetEndpoint == from
        && (record.phase == RequestPhase::Running || record.slot == SlotUse::Held);
}

void TryRunner::handleStarted(Endpoint from, RequestStarted const &message, Timestamp now)
{
    auto const record =
        this->store.change(message.key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (!this->isFromCurrentTry(current, from, message.tryId))
                return std::nullopt;
            RequestRecord next = current;
            next.progress = TryProgress::Started;
            next.lastReceived = now;
            return next;
        });
    if (record)
        this->store.countEvent(record->target, TryEvent::Started, now);
}

std::optional<Timestamp> TryRunner::planRetry(RequestRecord const &record, RequestKey key,
                                              Duration retryAfter, Timestamp now)
{
    auto const time = retryTime(record, retryAfter, this->store.requestSettings(), now);
    if (!time || record.phase != RequestPhase::Running || record.progress != TryProgress::Sent)
        return std::nullopt;
    if (now - record.startedAt >= this->store.requestSettings().minTargetRestartTime)
        return std::nullopt;
    bool isSpent = false;
    this->store.board().retryBudgets.update(key.service, [&](std::optional<RetryBudget> const &current) {
        auto next = spendRetryBudget(current.value_or(RetryBudget{}));
        isSpent = next.has_value();
        return next;
    });
    return isSpent ? time : std::nullopt;
}

RequestRecord TryRunner::afterShed(RequestRecord const &record, std::optional<Timestamp> retryAt,
                                   Duration retryAfter, Timestamp now) const
{
    RequestRecord next = record;
    next.slot = SlotUse::None;
    next.lastReceived = now;
    if (record.phase != RequestPhase::Running)
        return next;
    bool const isCancelled = record.cancelReason != Reason::None;
    Reason const reason = isCancelled ? record.cancelReason : Reason::TargetShed;
    // A Shed that follows RequestStarted means that the target aborted the try, so part of it may have run.
    bool const mayBeNewProcess = now - record.startedAt >= this->store.requestSettings().minTargetRestartTime;
    if (record.progress == TryProgress::Started || mayBeNewProcess)
        return this->outcomeSender.finishedRecord(
            next, {.outcome = RequestOutcome::Unknown, .reason = reason}, now);
    if (!retryAt) {
        // This try has not run, but another attempt may be running at another target.
        bool const isCertain = this->outcomeSender.isCertainlyNotRun(record, now);
        FinalOutcome const ending{.outcome = isCertain ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                                  .reason = reason,
                                  .retryAfter = retryAfter};
        return this->outcomeSender.finishedRecord(next, ending, now);
    }
    // The replica records keep the same record id over all tries, so that no other dispatcher runs the
    // request until this one has sent its outcome.
    next.phase = RequestPhase::Queued;
    next.phaseSince = now;
    next.notBefore = *retryAt;
    return next;
}

std::optional<TryRunner::TryChange>
TryRunner::changeTry(Endpoint from, RequestKey key, std::uint64_t tryId,
                     std::function<RequestRecord(RequestRecord const &)> const &change)
{
    TryChange result;
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (!this->isFromCurrentTry(current, from, tryId))
                return std::nullopt;
            result.slotBefore = current.slot;
            result.phaseBefore = current.phase;
            return change(current);
        });
    if (!record)
        return std::nullopt;
    result.record = *record;
    return result;
}

void TryRunner::handleShed(Endpoint from, Shed const &message, Timestamp now)
{
    auto const before = this->store.find(message.key);
    if (!before || !this->isFromCurrentTry(*before, from, message.tryId))
        return;
    auto const retryAt = this->planRetry(*before, message.key, message.retryAfter, now);
    auto const changed = this->changeTry(from, message.key, message.tryId, [&](RequestRecord const &current) {
        return this->afterShed(current, retryAt, message.retryAfter, now);
    });
    if (!changed)
        return;
    this->store.countEvent(changed->record.target, TryEvent::Shed, now);
    if (changed->record.phase == RequestPhase::Queued)
        this->requeueForRetry(message.key, changed->record);
    this->completeTry(message.key, *changed, now);
}

void TryRunner::handleEnded(Endpoint from, RunEnded const &message, Timestamp now)
{
    auto const changed = this->changeTry(from, message.key, message.tryId, [&](RequestRecord const &current) {
        RequestRecord next = current;
        next.slot = SlotUse::None;
        if (current.phase != RequestPhase::Running)
            return next;
        bool const isCancelled = current.cancelReason != Reason::None;
        Reason const reason = isCancelled ? current.cancelReason : Reason::DeadlinePassed;
        return this->outcomeSender.finishedRecord(
            next, {.outcome = RequestOutcome::Unknown, .reason = reason}, now);
    });
    if (!changed)
        return;
    if (changed->phaseBefore == RequestPhase::Running && changed->record.reason == Reason::DeadlinePassed)
        this->store.countEvent(changed->record.target, TryEvent::TimedOut, now);
    this->completeTry(message.key, *changed, now);
}

void TryRunner::completeTry(RequestKey key, TryChange const &changed, Timestamp now)
{
    bool const hasOutcome = changed.record.phase == RequestPhase::Finished;
    if (hasOutcome && changed.phaseBefore == RequestPhase::Running)
        this->outcomeSender.publishOutcome(key, changed.record);
    if (changed.slotBefore == SlotUse::Held)
        this->releaseSlot(key, changed.record, now);
}

void TryRunner::requeueForRetry(RequestKey key, RequestRecord const &record)
{
    this->store.changeQueue(record.target, [&](RequestQueue queue) {
        queue = withoutActive(std::move(queue), key);
        auto &waiting = queue.waiting[static_cast<std::size_t>(record.requestClass)];
        // A retry has already waited in the queue, so it goes to the front.
        if (std::ranges::find(waiting, key) == waiting.end())
            waiting.insert(waiting.begin(), key);
        return queue;
    });
}

void TryRunner::handlePart(Endpoint from, AnswerPart const &part, Timestamp now)
{
    if (!this->store.reserveAnswerBytes(part.payload.size(), now)) {
        this->outcomeSender.messageOutbox().report(
            Event::AnswerMemoryFull, fmt::format("dropped answer part of {} bytes", part.payload.size()));
        return;
    }
    AddPartStatus status = AddPartStatus::Inconsistent;
    Timestamp const pacedAt = this->outcomeSender.pacedSendTime(now);
    auto const changed = this->changeTry(from, part.key, part.tryId, [&](RequestRecord const &current) {
        status = AddPartStatus::Inconsistent;
        RequestRecord next = current;
        next.progress = TryProgress::Started;
        next.lastReceived = now;
        if (part.position == PartPosition::Last)
            next.slot = SlotUse::None;
        if (current.phase != RequestPhase::Running)
            return next;
        auto const added = addPart(current.answer, part, this->store.requestSettings().maxAnswerBytes);
        status = added.status;
        next.answer = added.answer;
        bool const isComplete = next.answer && next.answer->isComplete();
        Timestamp const sentAt = current.requestClass == RequestClass::Bulk ? pacedAt : now;
        return isComplete ? this->outcomeSender.finishedRecord(next, answerOutcome(current, sentAt), now)
                          : next;
    });
    if (!changed || status != AddPartStatus::Added)
        this->store.releaseAnswerBytes(part.payload.size());
    bool const wasRunning = changed && changed->phaseBefore == RequestPhase::Running;
    if (!changed || (status == AddPartStatus::Inconsistent && wasRunning))
        this->reportForeignPart(part);
    if (!changed)
        return;
    RequestRecord const &record = changed->record;
    if (status == AddPartStatus::Added && record.outcome != RequestOutcome::Unknown)
        this->outcomeSender.sendPart(part.key, record, part.part);
    if (wasRunning && record.phase == RequestPhase::Finished)
        this->completeAnswer(part.key, record, now);
    if (changed->slotBefore == SlotUse::Held && record.slot == SlotUse::None)
        this->releaseSlot(part.key, record, now);
}

void TryRunner::completeAnswer(RequestKey key, RequestRecord const &record, Timestamp now)
{
    Duration const serviceTime = now - record.startedAt;
    bool const isSlow = record.requestClass != RequestClass::Bulk
        && serviceTime > this->store.requestSettings().slowAnswerThreshold;
    this->store.countEvent(record.target, isSlow ? TryEvent::AnsweredSlowly : TryEvent::Answered, now);
    this->store.changeQueue(record.target, [&](RequestQueue queue) {
        return withServiceTime(std::move(queue), record.requestClass, serviceTime, now);
    });
    this->outcomeSender.publishOutcome(key, record);
}

void TryRunner::reportForeignPart(AnswerPart const &part)
{
    // Late copies of parts of the try that was answered are normal and not reported.
    auto const record = this->store.find(part.key);
    if (record && record->phase == RequestPhase::Finished && record->tryId == part.tryId)
        return;
    this->outcomeSender.messageOutbox().report(
        Event::ForeignAnswerDropped,
        fmt::format("caller {:x}, request number {}, try {:x}, part {}", part.key.caller, part.key.number,
                    part.tryId, part.part));
}

} // namespace almondwing
