// Ends requests with their one final outcome, repeats it for resends, and hands answers to callers.
//
// Parts of urgent and interactive answers are sent at once. Parts of bulk answers wait in a ring and leave
// one at a time, so that a part that is sent at once has at most one bulk part in front of it. The ring
// holds no payload; when it is full, further parts are left out and the caller asks for them again.

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
    RequestOutcomes(RequestStore &requestStore, ReplicaRecords &groupRecords, Outbox const &hooks);

    // The record as it is with its final outcome; for use inside RequestStore::change.
    RequestRecord finished(RequestRecord const &record, FinalOutcome outcome, Timestamp now) const;

    // What must follow after a change to finished(): releases, the reply, the queue, the time to keep it.
    void announce(RequestKey key, RequestRecord const &record);

    // Both in one: ends the request unless it has ended or is in another phase than `phase`.
    bool finish(RequestKey key, RequestPhase phase, FinalOutcome outcome, Timestamp now);

    // Whether no target can have begun to run the request, for a dispatcher that has not run it.
    bool hasCertainlyNotRun(RequestRecord const &record, Timestamp now) const;

    // Refuses a request that was never sent to a target from here: NotRun if no other instance can have sent
    // it either, else OutcomeUnknown.
    bool refuse(RequestKey key, RequestPhase phase, Reason reason, Duration retryAfter, Timestamp now);

    void repeatOutcome(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendPart(RequestKey key, RequestRecord const &record, std::uint32_t part);
    void resendParts(RequestKey key, RequestRecord const &record, std::vector<std::uint32_t> const &parts);

    // Sends at most one bulk part. Returns when to call again, or nullopt if none is waiting.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);
    bool hasPacedParts() const;

    // When a bulk part that is handed over now leaves, behind those that wait.
    Timestamp pacedSendTime(Timestamp now) const;

    Outbox const &out() const { return this->outbox; }

private:
    bool isStillCertain(RequestRecord const &record, Timestamp now) const;
    void dropPartialAnswer(RequestKey key);
    void releaseRecords(RequestKey key, RequestRecord const &record);
    void sendFinalMessage(RequestKey key, RequestRecord const &record);
    void pacePart(RequestKey key, std::uint32_t part, std::size_t bytes);
    Duration pauseAfter(std::size_t bytes) const;
    std::size_t sendPacedPart(PacedPart const &paced); // The bytes, 0 if the answer has been dropped.

    RequestStore &store;
    ReplicaRecords &replicas;
    Outbox const &outbox;
};

} // namespace almondwing
