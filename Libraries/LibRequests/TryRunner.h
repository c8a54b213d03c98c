// Starts tries at targets and tracks them to their end: slots, retransmissions, answers, sheds and
// cancellations.
//
// A slot is taken before a try is sent. The thread whose change of the record sets `slot` to None releases
// it, and only that thread: after the target has confirmed the end of the try (Shed, RunEnded or the last
// part), or after the grace period that follows the deadline.

#pragma once

#include <LibRequests/OutcomeSender.h>
#include <LibRequests/RequestStep.h>
#include <LibRequests/RequestStore.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace almondwing {

class TryRunner
{
public:
    TryRunner(RequestStore &requestStore, OutcomeSender &sender, RandomSource const &randomSource);

    // Starts waiting requests of the target while slots are free.
    void dispatch(TargetId target, Timestamp now);

    void handleStarted(Endpoint from, RequestStarted const &message, Timestamp now);
    void handleShed(Endpoint from, Shed const &message, Timestamp now);
    void handleEnded(Endpoint from, RunEnded const &message, Timestamp now);
    void handlePart(Endpoint from, AnswerPart const &part, Timestamp now);

    // Asks the target to cancel a running try, for example because the caller no longer wants the answer.
    void cancel(RequestKey key, Reason reason, Timestamp now);

    // Executes a timer-driven step of a try.
    void executeStep(RequestKey key, RequestStep step, Timestamp now);

    // Ends a try whose target process no longer exists, unless the request is idempotent and has not started:
    // its retransmissions then start it at the new process. The slot of an ended try stays in use until the
    // new process confirms the end, because a retransmitted RunRequest may have reached the new process
    // before its announcement reached this instance.
    void endTryAfterTargetRestart(RequestKey key, RequestRecord const &record, Timestamp now);

    // Returns the reason why no request may start at the target now, or None.
    Reason blockingReason(TargetId target) const;

    // Whether this instance may still start a waiting request. If another instance has become the dispatcher
    // of the target, this depends on whether the successor counts the slot as in use.
    bool mayStillStart(RequestRecord const &record, Timestamp now) const;

private:
    // The record of a try after a message from its target, and its slot and phase before the message.
    struct TryChange
    {
        RequestRecord record;
        SlotUse slotBefore = SlotUse::None;
        RequestPhase phaseBefore = RequestPhase::Finished;
    };

    // Returns nullopt if the message does not belong to the current try.
    std::optional<TryChange> changeTry(Endpoint from, RequestKey key, std::uint64_t tryId,
                                       std::function<RequestRecord(RequestRecord const &)> const &change);
    // Publishes the outcome if the change ended the request, and releases the slot for the next request.
    void completeTry(RequestKey key, TryChange const &changed, Timestamp now);

    bool isReady(RequestRecord const &record, TargetId target, Timestamp now) const;
    bool startTry(RequestKey key, RoutedTarget const &target, Timestamp now);
    void sendRun(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendCancel(RequestKey key, RequestRecord const &record);
    void sendToTarget(RequestRecord const &record, TargetCommand const &command);
    bool isFromCurrentTry(RequestRecord const &record, Endpoint from, std::uint64_t tryId) const;
    std::optional<Timestamp> planRetry(RequestRecord const &record, RequestKey key, Duration retryAfter,
                                       Timestamp now);
    RequestRecord afterShed(RequestRecord const &record, std::optional<Timestamp> retryAt,
                            Duration retryAfter, Timestamp now) const;
    void requeueForRetry(RequestKey key, RequestRecord const &record);
    void completeAnswer(RequestKey key, RequestRecord const &record, Timestamp now);
    void reportForeignPart(AnswerPart const &part);
    void retransmitRun(RequestKey key, RequestStep step, Timestamp now);
    void requestParts(RequestKey key, RequestStep step, Timestamp now);
    void releaseSlotAfterGrace(RequestKey key, RequestStep step, Timestamp now);
    void giveUpTry(RequestKey key, Timestamp now);
    void releaseSlot(RequestKey key, RequestRecord const &record, Timestamp now);

    RequestStore &store;
    OutcomeSender &outcomeSender;
    RandomSource const &random;
};

} // namespace almondwing
