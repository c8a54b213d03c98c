// Ends each request with exactly one outcome, sends that outcome again when the caller resends the request,
// and sends answers to callers.
//
// Parts of urgent and interactive answers are sent immediately. Parts of bulk answers wait in a ring buffer
// and are sent one at a time at a limited byte rate, so that an immediate part is queued behind at most one
// bulk part. The ring buffer holds no payload. When it is full, further parts are dropped and the caller
// requests them again.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibRequests/ReplicaRecords.h>
#include <LibRequests/RequestStore.h>

#include <optional>
#include <vector>

namespace almondwing {

struct FinalOutcome
{
    RequestOutcome outcome = RequestOutcome::None;
    Reason reason = Reason::None;
    Duration retryAfter{};

    friend bool operator==(FinalOutcome const &, FinalOutcome const &) = default;
};

class RequestOutcomes
{
public:
    RequestOutcomes(RequestStore &requestStore, ReplicaRecords &groupRecords, Outbox const &messageHooks);

    // Returns the record with its final outcome. For use inside RequestStore::change.
    RequestRecord finishedRecord(RequestRecord const &record, FinalOutcome outcome, Timestamp now) const;

    // Must be called after a record was changed to finishedRecord(). Removes the request from the queue,
    // releases its replica records, replies to the caller and schedules the expiry of the record.
    void publishOutcome(RequestKey key, RequestRecord const &record);

    // Ends the request and publishes its outcome, unless it is in another phase than `phase`.
    bool finish(RequestKey key, RequestPhase phase, FinalOutcome outcome, Timestamp now);

    // Whether it is certain that no target has started the request, given that this instance has not run it.
    bool isCertainlyNotRun(RequestRecord const &record, Timestamp now) const;

    // Refuses a request that this instance never sent to a target: with NotRun if no other instance can have
    // sent it to one either, otherwise with OutcomeUnknown.
    bool refuse(RequestKey key, RequestPhase phase, Reason reason, Duration retryAfter, Timestamp now);

    void resendOutcome(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendPart(RequestKey key, RequestRecord const &record, std::uint32_t part);
    void resendParts(RequestKey key, RequestRecord const &record, std::vector<std::uint32_t> const &parts);

    // Sends at most one bulk part. Returns when to call again, or nullopt if no part is waiting.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);
    bool hasPacedParts() const;

    // Returns when a bulk part that is enqueued now will be sent, after the parts that are already waiting.
    Timestamp pacedSendTime(Timestamp now) const;

    Outbox const &hooks() const { return this->outbox; }

private:
    bool isNotRunStillCertain(RequestRecord const &record, Timestamp now) const;
    void dropPartialAnswer(RequestKey key);
    void releaseRecords(RequestKey key, RequestRecord const &record);
    void sendOutcome(RequestKey key, RequestRecord const &record);
    void enqueuePacedPart(RequestKey key, std::uint32_t part, std::size_t bytes);
    Duration sendInterval(std::size_t bytes) const;
    // Returns the bytes sent, or 0 if the answer has been dropped.
    std::size_t sendPacedPart(PacedPart const &paced);

    RequestStore &store;
    ReplicaRecords &replicas;
    Outbox const &outbox;
};

} // namespace almondwing
