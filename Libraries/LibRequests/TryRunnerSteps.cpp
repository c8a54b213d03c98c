// Implements the rest of TryRunner: cancellations, timer-driven steps and restarts of the target process.

#include <LibRequests/TryRunner.h>

#include <LibRequests/AnswerAssembly.h>
#include <LibRequests/QueuePolicy.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

void TryRunner::cancel(RequestKey key, Reason reason, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Running || current.cancelReason != Reason::None)
                return std::nullopt;
            RequestRecord next = current;
            next.cancelReason = reason;
            next.cancelledAt = now;
            next.lastSent = now;
            return next;
        });
    if (record)
        this->sendCancel(key, *record);
}

void TryRunner::executeStep(RequestKey key, RequestStep step, Timestamp now)
{
    switch (step) {
    case RequestStep::RetransmitRun:
        this->retransmitRun(key, step, now);
        return;
    case RequestStep::RequestParts:
        this->requestParts(key, step, now);
        return;
    case RequestStep::CancelPastDeadline:
        this->cancel(key, Reason::DeadlinePassed, now);
        return;
    case RequestStep::RetransmitCancel:
        if (auto const record = this->store.markSent(key, step, now))
            this->sendCancel(key, *record);
        return;
    case RequestStep::GiveUpTry:
        this->giveUpTry(key, now);
        return;
    case RequestStep::ReleaseSlot:
        this->releaseSlotAfterGrace(key, step, now);
        return;
    default:
        return;
    }
}

void TryRunner::retransmitRun(RequestKey key, RequestStep step, Timestamp now)
{
    if (auto const record = this->store.markSent(key, step, now))
        this->sendRun(key, *record, now);
}

void TryRunner::requestParts(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record = this->store.markSent(key, step, now);
    if (!record)
        return;
    this->sendToTarget(
        *record,
        ResendParts{.key = key, .tryId = record->tryId, .parts = partsToRequest(record->answer.get())});
}

void TryRunner::giveUpTry(RequestKey key, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (nextStep(current, this->store.requestSettings(), now) != RequestStep::GiveUpTry)
                return std::nullopt;
            // The target may have run the request or may still be running it, so NotRun would be wrong.
            return this->outcomeSender.finishedRecord(
                current, {.outcome = RequestOutcome::Unknown, .reason = current.cancelReason}, now);
        });
    if (!record)
        return;
    this->store.countEvent(record->target, TryEvent::TimedOut, now);
    this->outcomeSender.messageOutbox().report(Event::TryOverdue,
                                               fmt::format("target {:x}", record->target.value));
    this->outcomeSender.publishOutcome(key, *record);
}

void TryRunner::releaseSlotAfterGrace(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (nextStep(current, this->store.requestSettings(), now) != step)
                return std::nullopt;
            RequestRecord next = current;
            next.slot = SlotUse::None;
            return next;
        });
    if (!record)
        return;
    this->outcomeSender.messageOutbox().report(Event::SlotConfirmationMissing,
                                               fmt::format("target {:x}", record->target.value));
    this->releaseSlot(key, *record, now);
}

void TryRunner::releaseSlot(RequestKey key, RequestRecord const &record, Timestamp now)
{
    if (record.phase == RequestPhase::Finished)
        this->store.changeQueue(record.target,
                                [&](RequestQueue queue) { return withoutActive(std::move(queue), key); });
    this->store.releaseSlot(record.target);
    this->dispatch(record.target, now);
}

void TryRunner::endTryAfterTargetRestart(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    if (record.phase != RequestPhase::Running || routed == nullptr
        || routed->record.startMark == record.startMark)
        return;
    bool isEnded = false;
    auto const changed =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Running || current.tryId != record.tryId)
                return std::nullopt;
            RequestRecord next = current;
            next.startMark = routed->record.startMark;
            // The retransmissions of an idempotent request that has not started continue and start it at the
            // new process. A second run does no harm.
            isEnded =
                current.idempotency == Idempotency::NonIdempotent || current.progress == TryProgress::Started;
            if (!isEnded)
                return next;
            return this->outcomeSender.finishedRecord(
                next, {.outcome = RequestOutcome::Unknown, .reason = Reason::TargetLost}, now);
        });
    if (!changed || !isEnded)
        return;
    this->outcomeSender.messageOutbox().report(Event::TargetRestartedUnderTry,
                                               fmt::format("target {:x}", changed->target.value));
    this->outcomeSender.publishOutcome(key, *changed);
}

} // namespace almondwing
