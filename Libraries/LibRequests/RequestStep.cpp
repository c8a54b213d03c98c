// Implements the decision about what time makes of a request.

#include <LibRequests/RequestStep.h>

#include <algorithm>

namespace almondwing {

namespace {

RequestStep stepOfLocating(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (now - record.phaseSince >= settings.locateWait)
        return RequestStep::EndLocate;
    return now - record.lastSent >= settings.locateRepeatEvery ? RequestStep::RepeatLocate
                                                               : RequestStep::None;
}

RequestStep stepOfRecording(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (now >= record.deadline)
        return RequestStep::RefuseExpired;
    if (now - record.phaseSince >= settings.recordWait)
        return RequestStep::GiveUpRecording;
    return now - record.lastSent >= settings.repeatEvery ? RequestStep::RepeatRecord : RequestStep::None;
}

bool mayRepeatRun(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    return record.idempotency == Idempotency::Idempotent
        || now - record.startedAt <= settings.repeatNonIdempotentFor;
}

bool isSilent(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    bool const hasGap = record.answer && !record.answer->missingParts().empty();
    Duration const patience = hasGap ? settings.askForPartsAfter : settings.askForTailAfter;
    return now - std::max(record.lastReceived, record.lastSent) >= patience;
}

RequestStep stepOfRunning(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    bool const isRepeatDue = now - record.lastSent >= settings.repeatEvery;
    if (record.cancelReason != Reason::None) {
        if (now - record.cancelledAt >= settings.cancelWait)
            return RequestStep::GiveUpTry;
        return isRepeatDue ? RequestStep::RepeatCancel : RequestStep::None;
    }
    if (now >= record.deadline)
        return RequestStep::CancelOverdue;
    if (record.progress == TryProgress::Sent)
        return isRepeatDue && mayRepeatRun(record, settings, now) ? RequestStep::RepeatRun
                                                                  : RequestStep::None;
    return isSilent(record, settings, now) ? RequestStep::AskForParts : RequestStep::None;
}

RequestStep stepOfFinished(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (record.slot == SlotUse::None)
        return RequestStep::None;
    if (now >= record.deadline + settings.slotGrace)
        return RequestStep::FreeSlot;
    return now - record.lastSent >= settings.repeatEvery ? RequestStep::RepeatCancel : RequestStep::None;
}

} // namespace

RequestStep nextStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    switch (record.phase) {
    case RequestPhase::Locating:
        return stepOfLocating(record, settings, now);
    case RequestPhase::Recording:
        return stepOfRecording(record, settings, now);
    case RequestPhase::Queued:
        return now >= record.deadline ? RequestStep::RefuseExpired : RequestStep::None;
    case RequestPhase::Running:
        return stepOfRunning(record, settings, now);
    case RequestPhase::Finished:
        return stepOfFinished(record, settings, now);
    case RequestPhase::Admitting:
    case RequestPhase::Forwarded:
        return RequestStep::None;
    }
    return RequestStep::None;
}

} // namespace almondwing
