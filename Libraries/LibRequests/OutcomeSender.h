// Ends each request with exactly one outcome, and sends outcomes and answers to callers. When a caller
// resends a request, its outcome is sent again, or OutcomeUnknown if a NotRun is no longer certain or the
// answer was dropped.
//
// Parts of urgent and interactive answers are sent immediately. Parts of bulk answers wait in a queue and are
// sent one at a time at a limited byte rate, so that an immediate part is queued behind at most one bulk
// part. The queue holds no payload. When it is full, further parts are dropped and the caller requests them
// again.

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

class OutcomeSender
{
public:
    OutcomeSender(RequestStore &requestStore, ReplicaRecords &groupRecords, Outbox const &sharedOutbox);

    // Returns the record with its final outcome. For use inside RequestStore::change.
    RequestRecord finishedRecord(RequestRecord const &record, FinalOutcome outcome, Timestamp now) const;

    // Must be called after a record was changed to finishedRecord(). Removes the request from the queue,
    // releases its replica records, replies to the caller and schedules the expiry of the record.
    void publishOutcome(RequestKey key, RequestRecord const &record);

    // Ends the request and publishes its outcome, unless it is in another phase than `expectedPhase`.
    bool finish(RequestKey key, RequestPhase expectedPhase, FinalOutcome outcome, Timestamp now);

    // Whether it is certain that no target has started the request, given that this instance has not run it.
    bool isCertainlyNotRun(RequestRecord const &record, Timestamp now) const;

    // Ends a request that no try of this instance has run: with NotRun if it is certain that no other
    // instance has run it either, otherwise with OutcomeUnknown. Has no effect in another phase than
    // `expectedPhase`.
    bool endUnstarted(RequestKey key, RequestPhase expectedPhase, Reason reason, Duration retryAfter,
                      Timestamp now);

    void resendOutcome(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendPart(RequestKey key, RequestRecord const &record, std::uint32_t part);
    void resendParts(RequestKey key, RequestRecord const &record, std::vector<std::uint32_t> const &parts);

    // Sends at most one bulk part. Returns when to call again, or nullopt if no part is waiting.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);
    bool hasPacedParts() const;

    // Returns when a bulk part that is enqueued now will be sent, after the parts that are already waiting.
    Timestamp pacedSendTime(Timestamp now) const;

    Outbox const &messageOutbox() const { return this->outbox; }

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
