// Implements the decision which timer-driven step of a request is due.

#include <LibRequests/RequestStep.h>

#include <algorithm>

namespace almondwing {

namespace {

RequestStep locatingStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (now - record.phaseSince >= settings.locateTimeout)
        return RequestStep::EndLocate;
    return now - record.lastSent >= settings.locateRetransmitInterval ? RequestStep::RetransmitLocate
                                                                      : RequestStep::None;
}

RequestStep recordingStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (now >= record.deadline)
        return RequestStep::RefusePastDeadline;
    if (now - record.phaseSince >= settings.recordTimeout)
        return RequestStep::GiveUpRecording;
    return now - record.lastSent >= settings.retransmitInterval ? RequestStep::RetransmitRecord
                                                                : RequestStep::None;
}

bool mayRetransmitRun(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    return record.idempotency == Idempotency::Idempotent
        || now - record.startedAt <= settings.nonIdempotentRetransmitTime;
}

bool isAnswerStalled(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    bool const hasGap = record.answer && !record.answer->missingParts().empty();
    Duration const timeout = hasGap ? settings.missingPartTimeout : settings.nextPartTimeout;
    return now - std::max(record.lastReceived, record.lastSent) >= timeout;
}

RequestStep runningStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    bool const isRetransmitDue = now - record.lastSent >= settings.retransmitInterval;
    if (record.cancelReason != Reason::None) {
        if (now - record.cancelledAt >= settings.cancelTimeout)
            return RequestStep::GiveUpTry;
        return isRetransmitDue ? RequestStep::RetransmitCancel : RequestStep::None;
    }
    if (now >= record.deadline)
        return RequestStep::CancelPastDeadline;
    if (record.progress == TryProgress::Sent)
        return isRetransmitDue && mayRetransmitRun(record, settings, now) ? RequestStep::RetransmitRun
                                                                          : RequestStep::None;
    return isAnswerStalled(record, settings, now) ? RequestStep::RequestParts : RequestStep::None;
}

RequestStep finishedStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    if (record.slot == SlotUse::None)
        return RequestStep::None;
    if (now >= record.deadline + settings.slotGracePeriod)
        return RequestStep::ReleaseSlot;
    return now - record.lastSent >= settings.retransmitInterval ? RequestStep::RetransmitCancel
                                                                : RequestStep::None;
}

} // namespace

RequestStep nextStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now)
{
    switch (record.phase) {
    case RequestPhase::Locating:
        return locatingStep(record, settings, now);
    case RequestPhase::Recording:
        return recordingStep(record, settings, now);
    case RequestPhase::Queued:
        return now >= record.deadline ? RequestStep::RefusePastDeadline : RequestStep::None;
    case RequestPhase::Running:
        return runningStep(record, settings, now);
    case RequestPhase::Finished:
        return finishedStep(record, settings, now);
    case RequestPhase::Admitting:
    case RequestPhase::Forwarded:
        return RequestStep::None;
    }
    return RequestStep::None;
}

} // namespace almondwing
