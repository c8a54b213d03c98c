// Implements final outcomes and the handing over of answers.

#include <LibRequests/RequestOutcomes.h>

#include <LibRequests/AnswerAssembly.h>
#include <LibRequests/QueuePolicy.h>

#include <algorithm>

namespace almondwing {

RequestOutcomes::RequestOutcomes(RequestStore &requestStore, ReplicaRecords &groupRecords,
                                 Outbox const &hooks)
    : store(requestStore), replicas(groupRecords), outbox(hooks)
{
}

RequestRecord RequestOutcomes::finished(RequestRecord const &record, FinalOutcome outcome,
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

void RequestOutcomes::announce(RequestKey key, RequestRecord const &record)
{
    this->store.fileForExpiry(key, record);
    this->store.changeQueue(record.target, [&](RequestQueue queue) {
        queue = withoutWaiting(std::move(queue), key);
        return record.slot == SlotUse::Held ? queue : withoutActive(std::move(queue), key);
    });
    if (record.outcome != RequestOutcome::Answered)
        this->dropPartialAnswer(key);
    // The records are released before the caller learns of it; see ReplicaRecords.
    if (record.outcome == RequestOutcome::NotRun)
        this->releaseRecords(key, record);
    this->sendFinalMessage(key, record);
}

void RequestOutcomes::dropPartialAnswer(RequestKey key)
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
        this->store.returnAnswerBytes(bytes);
}

bool RequestOutcomes::finish(RequestKey key, RequestPhase phase, FinalOutcome outcome, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != phase)
                return std::nullopt;
            return this->finished(current, outcome, now);
        });
    if (!record)
        return false;
    this->announce(key, *record);
    return true;
}

bool RequestOutcomes::hasCertainlyNotRun(RequestRecord const &record, Timestamp now) const
{
    // No records keep other dispatchers from running a resend of an idempotent request.
    bool const mayBeResentElsewhere = record.idempotency == Idempotency::Idempotent
        && now - record.receivedAt >= this->store.times().soonestResend;
    return record.history == RunHistory::NeverRun && !mayBeResentElsewhere;
}

bool RequestOutcomes::refuse(RequestKey key, RequestPhase phase, Reason reason, Duration retryAfter,
                             Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != phase)
                return std::nullopt;
            auto const &times = this->store.times();
            // Until its quorum is complete, a takeover may run the request elsewhere.
            bool const wasPaused = phase == RequestPhase::Recording
                && now - current.phaseSince > times.recordWait + times.pauseTolerance;
            bool const isCertain = this->hasCertainlyNotRun(current, now) && !wasPaused;
            return this->finished(current,
                                  {.outcome = isCertain ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                                   .reason = reason,
                                   .retryAfter = retryAfter},
                                  now);
        });
    if (!record)
        return false;
    this->announce(key, *record);
    return true;
}

void RequestOutcomes::releaseRecords(RequestKey key, RequestRecord const &record)
{
    if (record.recordId == 0)
        return;
    // Sent to the whole group: a member whose RecordReply was lost holds the record, too. If the release is
    // lost as well, a later resend elsewhere is told OutcomeUnknown, which is true, and is not run.
    RecordRelease const release{.key = key, .tryId = record.recordId};
    InstanceId const self = this->store.self();
    for (InstanceId const member : record.group) {
        if (member == self)
            this->replicas.release(self, release);
        else
            this->outbox.sendToInstance(member, release);
    }
}

void RequestOutcomes::sendFinalMessage(RequestKey key, RequestRecord const &record)
{
    switch (record.outcome) {
    case RequestOutcome::NotRun:
        this->outbox.sendToCaller(
            record.caller, NotRun{.key = key, .reason = record.reason, .retryAfter = record.retryAfter});
        return;
    case RequestOutcome::Unknown:
        this->outbox.sendToCaller(record.caller, OutcomeUnknown{.key = key, .reason = record.reason});
        return;
    case RequestOutcome::Answered: // Its parts are sent as they arrive.
    case RequestOutcome::None:
        return;
    }
}

bool RequestOutcomes::isStillCertain(RequestRecord const &record, Timestamp now) const
{
    if (record.idempotency == Idempotency::Idempotent)
        return this->hasCertainlyNotRun(record, now);
    auto const status = this->store.board().ownStatus.read();
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    bool const isDispatcher =
        status->lease == LeaseState::Held && routed != nullptr && routed->dispatcher == status->self.id;
    auto const tookOverAt = this->store.queue(record.target).tookOverAt;
    return isDispatcher && (!tookOverAt || *tookOverAt <= record.phaseSince);
}

void RequestOutcomes::repeatOutcome(RequestKey key, RequestRecord const &record, Timestamp now)
{
    // If the caller has not seen the NotRun, a later attempt may have been run by an instance that
    // dispatched in between.
    if (record.outcome == RequestOutcome::NotRun && !this->isStillCertain(record, now)) {
        this->outbox.sendToCaller(record.caller,
                                  OutcomeUnknown{.key = key, .reason = Reason::DispatcherLost});
        return;
    }
    if (record.outcome != RequestOutcome::Answered) {
        this->sendFinalMessage(key, record);
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

void RequestOutcomes::sendPart(RequestKey key, RequestRecord const &record, std::uint32_t part)
{
    if (record.requestClass == RequestClass::Bulk)
        this->pacePart(key, part, record.answer->parts[part]->size());
    else
        this->outbox.sendToCaller(record.caller, keptPart(key, *record.answer, part));
}

void RequestOutcomes::resendParts(RequestKey key, RequestRecord const &record,
                                  std::vector<std::uint32_t> const &parts)
{
    if (!record.answer)
        return;
    for (std::uint32_t const part : parts) {
        if (part < record.answer->parts.size() && record.answer->parts[part] != nullptr)
            this->sendPart(key, record, part);
    }
}

void RequestOutcomes::pacePart(RequestKey key, std::uint32_t part, std::size_t bytes)
{
    std::optional<std::uint64_t> position;
    this->store.board().pacing.update([&](PacingState state) {
        bool const hasRoom = state.tail - state.head < this->store.times().pacedPartBound;
        position = hasRoom ? std::optional(state.tail) : std::nullopt;
        state.tail += hasRoom ? 1 : 0;
        state.bytes += hasRoom ? bytes : 0;
        return state;
    });
    if (position)
        this->store.board().pacedParts.write(*position, PacedPart{.key = key, .part = part, .bytes = bytes},
                                             0);
}

Duration RequestOutcomes::pauseAfter(std::size_t bytes) const
{
    return Duration{1'000'000 * bytes / this->store.times().bulkBytesPerSecond};
}

Timestamp RequestOutcomes::pacedSendTime(Timestamp now) const
{
    auto const state = this->store.board().pacing.read();
    return std::max(now, state->nextSendAt) + this->pauseAfter(state->bytes);
}

std::optional<Timestamp> RequestOutcomes::sendNextBulkPart(Timestamp now)
{
    auto const state = this->store.board().pacing.read();
    if (state->head == state->tail)
        return std::nullopt;
    if (now < state->nextSendAt)
        return state->nextSendAt;
    auto const paced = this->store.board().pacedParts.read(state->head);
    // The position is taken before the entry is written; the writer needs another moment.
    if (!paced || this->store.board().pacedParts.erase(state->head, paced->version) != WriteOutcome::Written)
        return now + 1ms;
    std::size_t const sentBytes = this->sendPacedPart(paced->value);
    auto const next = this->store.board().pacing.update([&](PacingState current) {
        current.head = std::max(current.head, state->head + 1);
        current.nextSendAt = now + this->pauseAfter(sentBytes);
        current.bytes -= paced->value.bytes;
        return current;
    });
    return next->head == next->tail ? std::nullopt : std::optional(next->nextSendAt);
}

bool RequestOutcomes::hasPacedParts() const
{
    auto const state = this->store.board().pacing.read();
    return state->head != state->tail;
}

std::size_t RequestOutcomes::sendPacedPart(PacedPart const &paced)
{
    auto const record = this->store.find(paced.key);
    if (!record || !record->answer || paced.part >= record->answer->parts.size()
        || record->answer->parts[paced.part] == nullptr)
        return 0;
    this->outbox.sendToCaller(record->caller, keptPart(paced.key, *record->answer, paced.part));
    return paced.bytes;
}

} // namespace almondwing
