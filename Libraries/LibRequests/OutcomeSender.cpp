// Implements the final outcomes of requests and the sending of outcomes and answers.

#include <LibRequests/OutcomeSender.h>

#include <LibRequests/AnswerAssembly.h>
#include <LibRequests/QueuePolicy.h>

#include <algorithm>

namespace almondwing {

OutcomeSender::OutcomeSender(RequestStore &requestStore, ReplicaRecords &groupRecords,
                             Outbox const &sharedOutbox)
    : store(requestStore), replicas(groupRecords), outbox(sharedOutbox)
{
}

RequestRecord OutcomeSender::finishedRecord(RequestRecord const &record, FinalOutcome outcome,
                                            Timestamp now) const
{
    RequestRecord next = record;
    next.phase = RequestPhase::Finished;
    next.phaseSince = now;
    next.outcome = outcome.outcome;
    next.reason = outcome.reason;
    next.retryAfter = outcome.retryAfter;
    next.payload = nullptr;
    next.locate = {};
    next.keepUntil = this->store.keepUntil(record, now);
    return next;
}

void OutcomeSender::publishOutcome(RequestKey key, RequestRecord const &record)
{
    this->store.scheduleExpiry(key, record);
    this->store.changeQueue(record.target, [&](RequestQueue queue) {
        queue = withoutWaiting(std::move(queue), key);
        return record.slot == SlotUse::Held ? queue : withoutActive(std::move(queue), key);
    });
    if (record.outcome != RequestOutcome::Answered)
        this->dropPartialAnswer(key);
    // The releases are sent before NotRun, so that they usually arrive before a resend of the caller.
    if (record.outcome == RequestOutcome::NotRun)
        this->releaseRecords(key, record);
    this->sendOutcome(key, record);
}

void OutcomeSender::dropPartialAnswer(RequestKey key)
{
    std::size_t bytes = 0;
    auto const dropped =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (!current.answer)
                return std::nullopt;
            bytes = current.answer->bytes;
            RequestRecord next = current;
            next.answer = nullptr;
            return next;
        });
    if (dropped)
        this->store.releaseAnswerBytes(bytes);
}

bool OutcomeSender::finish(RequestKey key, RequestPhase expectedPhase, FinalOutcome outcome, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != expectedPhase)
                return std::nullopt;
            return this->finishedRecord(current, outcome, now);
        });
    if (!record)
        return false;
    this->publishOutcome(key, *record);
    return true;
}

bool OutcomeSender::isCertainlyNotRun(RequestRecord const &record, Timestamp now) const
{
    // Idempotent requests are not recorded, so another dispatcher may have run a resend.
    bool const mayBeResentElsewhere = record.idempotency == Idempotency::Idempotent
        && now - record.receivedAt >= this->store.requestSettings().minResendDelay;
    return record.earlierRun == EarlierRun::Excluded && !mayBeResentElsewhere;
}

bool OutcomeSender::endUnstarted(RequestKey key, RequestPhase expectedPhase, Reason reason,
                                 Duration retryAfter, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != expectedPhase)
                return std::nullopt;
            auto const &requestSettings = this->store.requestSettings();
            // Until the record has its quorum, another instance can take over and run the request.
            bool const wasPaused = expectedPhase == RequestPhase::Recording
                && now - current.phaseSince > requestSettings.recordTimeout + requestSettings.pauseTolerance;
            bool const isCertain = this->isCertainlyNotRun(current, now) && !wasPaused;
            return this->finishedRecord(
                current,
                {.outcome = isCertain ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                 .reason = reason,
                 .retryAfter = retryAfter},
                now);
        });
    if (!record)
        return false;
    this->publishOutcome(key, *record);
    return true;
}

void OutcomeSender::releaseRecords(RequestKey key, RequestRecord const &record)
{
    if (record.recordId == 0)
        return;
    // The release goes to the whole group, because a member whose RecordReply was lost has the record as
    // well. If the release is lost, too, a later resend to another instance is answered with OutcomeUnknown,
    // which is true, and does not run.
    RecordRelease const release{.key = key, .tryId = record.recordId};
    InstanceId const self = this->store.self();
    for (InstanceId const member : record.group) {
        if (member == self)
            this->replicas.release(self, release);
        else
            this->outbox.sendToInstance(member, release);
    }
}

void OutcomeSender::sendOutcome(RequestKey key, RequestRecord const &record)
{
    switch (record.outcome) {
    case RequestOutcome::NotRun:
        this->outbox.sendToCaller(
            record.caller, NotRun{.key = key, .reason = record.reason, .retryAfter = record.retryAfter});
        return;
    case RequestOutcome::Unknown:
        this->outbox.sendToCaller(record.caller, OutcomeUnknown{.key = key, .reason = record.reason});
        return;
    case RequestOutcome::Answered: // The parts have been sent as they arrived.
    case RequestOutcome::None:
        return;
    }
}

bool OutcomeSender::isNotRunStillCertain(RequestRecord const &record, Timestamp now) const
{
    if (record.idempotency == Idempotency::Idempotent)
        return this->isCertainlyNotRun(record, now);
    auto const status = this->store.board().ownStatus.read();
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    bool const isDispatcher =
        status->lease == LeaseState::Held && routed != nullptr && routed->dispatcher == status->self.id;
    auto const tookOverAt = this->store.queue(record.target).tookOverAt;
    return isDispatcher && (!tookOverAt || *tookOverAt <= record.phaseSince);
}

void OutcomeSender::resendOutcome(RequestKey key, RequestRecord const &record, Timestamp now)
{
    // If the NotRun did not reach the caller, an instance that was the dispatcher in between may have run a
    // later attempt.
    if (record.outcome == RequestOutcome::NotRun && !this->isNotRunStillCertain(record, now)) {
        this->outbox.sendToCaller(record.caller,
                                  OutcomeUnknown{.key = key, .reason = Reason::DispatcherLost});
        return;
    }
    if (record.outcome != RequestOutcome::Answered) {
        this->sendOutcome(key, record);
        return;
    }
    if (!record.answer) {
        this->outbox.sendToCaller(record.caller,
                                  OutcomeUnknown{.key = key, .reason = Reason::AnswerIncomplete});
        return;
    }
    for (std::uint32_t part = 0; part < record.answer->parts.size(); ++part)
        this->sendPart(key, record, part);
}

void OutcomeSender::sendPart(RequestKey key, RequestRecord const &record, std::uint32_t part)
{
    if (record.requestClass == RequestClass::Bulk)
        this->enqueuePacedPart(key, part, record.answer->parts[part]->size());
    else
        this->outbox.sendToCaller(record.caller, storedPart(key, *record.answer, part));
}

void OutcomeSender::resendParts(RequestKey key, RequestRecord const &record,
                                std::vector<std::uint32_t> const &parts)
{
    if (!record.answer)
        return;
    for (std::uint32_t const part : parts) {
        if (part < record.answer->parts.size() && record.answer->parts[part] != nullptr)
            this->sendPart(key, record, part);
    }
}

void OutcomeSender::enqueuePacedPart(RequestKey key, std::uint32_t part, std::size_t bytes)
{
    std::optional<std::uint64_t> position;
    this->store.board().pacing.update([&](PacingState state) {
        bool const hasRoom = state.tail - state.head < this->store.requestSettings().maxPacedParts;
        position = hasRoom ? std::optional(state.tail) : std::nullopt;
        state.tail += hasRoom ? 1 : 0;
        state.bytes += hasRoom ? bytes : 0;
        return state;
    });
    if (position)
        this->store.board().pacedParts.write(*position, PacedPart{.key = key, .part = part, .bytes = bytes},
                                             0);
}

Duration OutcomeSender::sendInterval(std::size_t bytes) const
{
    return Duration{1'000'000 * bytes / this->store.requestSettings().bulkBytesPerSecond};
}

Timestamp OutcomeSender::pacedSendTime(Timestamp now) const
{
    auto const state = this->store.board().pacing.read();
    return std::max(now, state->nextSendAt) + this->sendInterval(state->bytes);
}

std::optional<Timestamp> OutcomeSender::sendNextBulkPart(Timestamp now)
{
    auto const state = this->store.board().pacing.read();
    if (state->head == state->tail)
        return std::nullopt;
    if (now < state->nextSendAt)
        return state->nextSendAt;
    auto const paced = this->store.board().pacedParts.read(state->head);
    // Another thread has reserved the position but not yet written the entry, or has just sent the part.
    if (!paced || this->store.board().pacedParts.erase(state->head, paced->version) != WriteOutcome::Written)
        return now + 1ms;
    std::size_t const sentBytes = this->sendPacedPart(paced->value);
    auto const next = this->store.board().pacing.update([&](PacingState current) {
        current.head = std::max(current.head, state->head + 1);
        current.nextSendAt = now + this->sendInterval(sentBytes);
        current.bytes -= paced->value.bytes;
        return current;
    });
    return next->head == next->tail ? std::nullopt : std::optional(next->nextSendAt);
}

bool OutcomeSender::hasPacedParts() const
{
    auto const state = this->store.board().pacing.read();
    return state->head != state->tail;
}

std::size_t OutcomeSender::sendPacedPart(PacedPart const &paced)
{
    auto const record = this->store.find(paced.key);
    if (!record || !record->answer || paced.part >= record->answer->parts.size()
        || record->answer->parts[paced.part] == nullptr)
        return 0;
    this->outbox.sendToCaller(record->caller, storedPart(paced.key, *record->answer, paced.part));
    return paced.bytes;
}

} // namespace almondwing
