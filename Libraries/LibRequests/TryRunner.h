// Starts tries at targets and follows them to their end: slots, repeats, answers, sheds, cancellation.
//
// A slot is taken before a try is sent and given back by the one change of the record that sets its `slot`
// to None: when the target confirmed the end (Shed, RunEnded or the last part), or when the grace time after
// the deadline is over.

#pragma once

#include <LibRequests/RequestOutcomes.h>
#include <LibRequests/RequestStep.h>
#include <LibRequests/RequestStore.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace almondwing {

class TryRunner
{
public:
    TryRunner(RequestStore &requestStore, RequestOutcomes &finalOutcomes, RandomSource const &randomSource);

    // Starts waiting requests as long as there are slots for them.
    void dispatch(TargetId target, Timestamp now);

    void handleStarted(Endpoint from, RequestStarted const &message, Timestamp now);
    void handleShed(Endpoint from, Shed const &message, Timestamp now);
    void handleEnded(Endpoint from, RunEnded const &message, Timestamp now);
    void handlePart(Endpoint from, AnswerPart const &part, Timestamp now);

    // The caller no longer wants the answer.
    void cancel(RequestKey key, Reason reason, Timestamp now);

    // Executes the step of a try that time has made due.
    void takeStep(RequestKey key, RequestStep step, Timestamp now);

    // Ends tries whose target process no longer exists. Their slots stay in use until the new process
    // confirms: a repeat of RunRequest may have reached it before its announcement reached this instance.
    void checkTargetProcess(RequestKey key, RequestRecord const &record, Timestamp now);

    // Why no request may start at the target now, or None.
    Reason obstacle(TargetId target) const;

    // Whether a waiting request may still be started here although another instance has become dispatcher.
    bool isStillOurs(RequestRecord const &record, Timestamp now) const;

private:
    // A try after a message of its target, and what it was before.
    struct TryChange
    {
        RequestRecord record;
        SlotUse slotBefore = SlotUse::None;
        RequestPhase phaseBefore = RequestPhase::Finished;
    };

    // Null if the message is not from the target of the present try.
    std::optional<TryChange> changeTry(Endpoint from, RequestKey key, std::uint64_t tryId,
                                       std::function<RequestRecord(RequestRecord const &)> const &change);
    // Tells the caller of an end that the change has brought, and gives the slot to the next request.
    void concludeTry(RequestKey key, TryChange const &changed, Timestamp now);

    bool isReady(RequestRecord const &record, TargetId target, Timestamp now) const;
    bool startTry(RequestKey key, RoutedTarget const &target, Timestamp now);
    void sendRun(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendCancel(RequestKey key, RequestRecord const &record);
    void sendToTarget(RequestRecord const &record, TargetCommand const &command);
    bool isOfPresentTry(RequestRecord const &record, Endpoint from, std::uint64_t tryId) const;
    std::optional<Timestamp> planRetry(RequestRecord const &record, RequestKey key, Duration retryAfter,
                                       Timestamp now);
    RequestRecord afterShed(RequestRecord const &record, std::optional<Timestamp> retryAt,
                            Duration retryAfter, Timestamp now) const;
    void moveToWaiting(RequestKey key, RequestRecord const &record);
    void finishAnswer(RequestKey key, RequestRecord const &record, Timestamp now);
    void dropPart(AnswerPart const &part);
    void repeatRun(RequestKey key, RequestStep step, Timestamp now);
    void askForParts(RequestKey key, RequestStep step, Timestamp now);
    void freeSlot(RequestKey key, RequestStep step, Timestamp now);
    void giveUpTry(RequestKey key, Timestamp now);
    void freeSlotOf(RequestKey key, RequestRecord const &record, Timestamp now);

    RequestStore &store;
    RequestOutcomes &outcomes;
    RandomSource const &random;
};

} // namespace almondwing
