// The second half of TryRunner: what time, a caller that gives up, and a new process of a target make of a
// try.

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

void TryRunner::takeStep(RequestKey key, RequestStep step, Timestamp now)
{
    switch (step) {
    case RequestStep::RepeatRun:
        this->repeatRun(key, step, now);
        return;
    case RequestStep::AskForParts:
        this->askForParts(key, step, now);
        return;
    case RequestStep::CancelOverdue:
        this->cancel(key, Reason::DeadlinePassed, now);
        return;
    case RequestStep::RepeatCancel:
        if (auto const record = this->store.markSent(key, step, now))
            this->sendCancel(key, *record);
        return;
    case RequestStep::GiveUpTry:
        this->giveUpTry(key, now);
        return;
    case RequestStep::FreeSlot:
        this->freeSlot(key, step, now);
        return;
    default:
        return;
    }
}

void TryRunner::repeatRun(RequestKey key, RequestStep step, Timestamp now)
{
    if (auto const record = this->store.markSent(key, step, now))
        this->sendRun(key, *record, now);
}

void TryRunner::askForParts(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record = this->store.markSent(key, step, now);
    if (!record)
        return;
    this->sendToTarget(
        *record,
        ResendParts{.key = key, .tryId = record->tryId, .parts = partsToAskFor(record->answer.get())});
}

void TryRunner::giveUpTry(RequestKey key, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (nextStep(current, this->store.times(), now) != RequestStep::GiveUpTry)
                return std::nullopt;
            // The target may have run it, or may still run it, so it is never NotRun.
            return this->outcomes.finished(
                current, {.outcome = RequestOutcome::Unknown, .reason = current.cancelReason}, now);
        });
    if (!record)
        return;
    this->store.countEvent(record->target, SlotEvent::TimedOut, now);
    this->outcomes.out().report(Event::TryOverdue, fmt::format("target {:x}", record->target.value));
    this->outcomes.announce(key, *record);
}

void TryRunner::freeSlot(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (nextStep(current, this->store.times(), now) != step)
                return std::nullopt;
            RequestRecord next = current;
            next.slot = SlotUse::None;
            return next;
        });
    if (!record)
        return;
    this->outcomes.out().report(Event::SlotConfirmationMissing,
                                fmt::format("target {:x}", record->target.value));
    this->freeSlotOf(key, *record, now);
}

void TryRunner::freeSlotOf(RequestKey key, RequestRecord const &record, Timestamp now)
{
    if (record.phase == RequestPhase::Finished)
        this->store.changeQueue(record.target,
                                [&](RequestQueue queue) { return withoutActive(std::move(queue), key); });
    this->store.releaseSlot(record.target);
    this->dispatch(record.target, now);
}

void TryRunner::checkTargetProcess(RequestKey key, RequestRecord const &record, Timestamp now)
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
            // The repeats go on and start it at the new process; running twice does no harm.
            isEnded =
                current.idempotency == Idempotency::NonIdempotent || current.progress == TryProgress::Started;
            if (!isEnded)
                return next;
            return this->outcomes.finished(
                next, {.outcome = RequestOutcome::Unknown, .reason = Reason::TargetLost}, now);
        });
    if (!changed || !isEnded)
        return;
    this->outcomes.out().report(Event::TargetRestartedUnderTry,
                                fmt::format("target {:x}", changed->target.value));
    this->outcomes.announce(key, *changed);
}

} // namespace almondwing
