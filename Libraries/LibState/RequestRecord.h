// The state of requests at their dispatcher, and the records that members of a replica group keep for
// dispatchers.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/PeerMessages.h>
#include <LibMessages/Reason.h>
#include <LibMessages/RequestMessages.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

enum class RequestPhase : std::uint8_t {
    Admitting, // One thread is deciding on the next phase, on arrival or later.
    Locating, // Other instances are being asked whether they have the request.
    Recording, // Its place in the queue is reserved while the record is written to the replica group.
    Queued, // Ready to be started.
    Running, // A try may have reached the target.
    Finished, // Has its final outcome.
    Forwarded, // Forwarded to another dispatcher; this instance never runs it.
};

enum class RequestOutcome : std::uint8_t { None, Answered, NotRun, Unknown };

enum class SlotUse : std::uint8_t { None, Held };

enum class TryProgress : std::uint8_t { Sent, Started };

// Whether the request may have run other than by a try of this process, for example through another instance.
// The tries of this process do not change the value. The outcome may be NotRun only if an earlier run is
// excluded.
enum class EarlierRun : std::uint8_t { Possible, Excluded };

// The parts of an answer that were received so far. Copies of a request record share this immutable object.
// Invariants: no part has a higher index than lastPart; bytes is the sum of the sizes of all parts.
struct StoredAnswer
{
    std::uint64_t tryId = 0;
    std::vector<std::shared_ptr<std::string const>> parts; // Null where a part is missing.
    std::optional<std::uint32_t> lastPart;
    std::size_t bytes = 0;

    bool isComplete() const;
    std::vector<std::uint32_t> missingParts() const;

    friend bool operator==(StoredAnswer const &, StoredAnswer const &) = default;
};

// The progress of asking other instances whether they have a request.
struct LocateProgress
{
    std::vector<InstanceId> mustAnswer; // All asked instances that are not known to be dead.
    // The replica groups to read: those of all targets of the service except the exempt one; see planLocate.
    std::vector<std::vector<InstanceId>> groups;
    std::vector<InstanceId> notKnown; // Don't have the request, and their replies are authoritative.
    std::vector<InstanceId> known; // Queue or run the request, or have its outcome.
    // Keep a record or a promise for another dispatcher, or have forwarded the request to another instance.
    std::vector<InstanceId> recorded;
    // Replied, but not authoritatively, because the process started too recently or its table of replica
    // records is full; see RequestSettings::authoritativeAfter.
    std::vector<InstanceId> inconclusive;

    friend bool operator==(LocateProgress const &, LocateProgress const &) = default;
};

// Invariants: in phase Running or Finished, a slot is released only by the thread that changed `slot` to
// None. `outcome` is None until the phase becomes Finished and does not change afterwards.
struct RequestRecord
{
    TargetId target;
    Endpoint caller; // The latest one, because a resend may come from another endpoint.
    std::uint32_t attempt = 1; // Counts the sends by the caller, from 1.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::NonIdempotent;
    std::uint8_t hops = 0;
    InstanceId spilledBy; // The instance that spilled the request to this one, or none.
    Timestamp receivedAt; // When this instance first received the request.
    Timestamp deadline;
    std::shared_ptr<std::string const> payload; // Released when the request has finished.

    RequestPhase phase = RequestPhase::Admitting;
    EarlierRun earlierRun = EarlierRun::Possible;
    Timestamp phaseSince;
    Timestamp lastSent; // When the message that the current phase retransmits was last sent.

    LocateProgress locate;
    // Identifies the record in the replica group, for all tries of the request at this instance. It is
    // random, so that an instance that restarted does not mistake a record of its earlier process for its
    // own. Zero until a record was written.
    std::uint64_t recordId = 0;
    std::vector<InstanceId> group; // The replica group that was asked to keep the record.
    std::vector<InstanceId> storedBy; // The members of the group that acknowledged the record.

    std::uint64_t tryId = 0;
    std::uint32_t tries = 0; // Counts the tries that this instance has sent to targets.
    TryProgress progress = TryProgress::Sent;
    SlotUse slot = SlotUse::None;
    Endpoint targetEndpoint;
    std::uint64_t startMark = 0; // Of the target process that received the try.
    Timestamp startedAt;
    Timestamp lastReceived; // When the target last sent a message about this try.
    Timestamp notBefore; // The earliest time of a retry.
    Reason cancelReason = Reason::None; // Not None after the target was asked to cancel.
    Timestamp cancelledAt;

    std::shared_ptr<StoredAnswer const> answer;
    RequestOutcome outcome = RequestOutcome::None;
    Reason reason = Reason::None;
    Duration retryAfter{};
    Timestamp keepUntil;

    // Valid in phase Forwarded: the instance that the request was forwarded to, the purpose, and the targets
    // whose dispatchers may have the request.
    InstanceId forwardedTo;
    ForwardPurpose forwardPurpose = ForwardPurpose::Spill;
    std::vector<TargetId> forwardTargets;

    friend bool operator==(RequestRecord const &, RequestRecord const &) = default;
};

constexpr std::size_t requestClassCount = 3;

// The requests of one target at its dispatcher.
struct RequestQueue
{
    std::array<std::vector<RequestKey>, requestClassCount> waiting; // By class; the oldest is first.
    std::vector<RequestKey> active; // Being located or run, or finished with a slot still in use.
    std::array<Duration, requestClassCount> serviceTime{}; // Moving averages by class; zero until measured.
    Timestamp lastPriorityWork; // When an urgent or interactive request was last admitted or answered.
    std::optional<Timestamp> dispatchLostAt; // When this instance ceased to be the dispatcher of the target.
    std::optional<Timestamp> tookOverAt; // When this instance last took over the target from another one.

    friend bool operator==(RequestQueue const &, RequestQueue const &) = default;
};

enum class ReplicaRecordKind : std::uint8_t {
    // This instance replied to the holder that it has no record. No other dispatcher may record the request.
    Promised,
    // The holder may have run the request.
    Recorded,
    // The holder has not run the request and has replied NotRun. No other dispatcher may run it either.
    Released,
};

// The record that a member of a replica group keeps of a request.
struct ReplicaRecord
{
    ReplicaRecordKind kind = ReplicaRecordKind::Recorded;
    TargetId target; // None for a promise.
    InstanceId holder; // The dispatcher for which the record is kept.
    std::uint64_t recordId = 0;
    Timestamp deadline;
    Timestamp keepUntil;

    friend bool operator==(ReplicaRecord const &, ReplicaRecord const &) = default;
};

// The requests and replica records to check for expiry after a certain second.
struct ExpiringRequests
{
    std::vector<RequestKey> requests;
    std::vector<RequestKey> replicaRecords;

    friend bool operator==(ExpiringRequests const &, ExpiringRequests const &) = default;
};

// The token bucket of one service. A retry costs `tokensPerRetry`, and each new request adds
// `tokensPerRequest`.
struct RetryBudget
{
    std::uint32_t tokens = 0;

    friend bool operator==(RetryBudget const &, RetryBudget const &) = default;
};

// The number of request records in each bucket, sorted by bucket and without empty buckets.
struct BucketUse
{
    std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;

    friend bool operator==(BucketUse const &, BucketUse const &) = default;
};

// A part of a bulk answer that waits until the byte rate allows it to be sent. Its payload is in the stored
// answer.
struct PacedPart
{
    RequestKey key;
    std::uint32_t part = 0;
    std::size_t bytes = 0;

    friend bool operator==(PacedPart const &, PacedPart const &) = default;
};

// The queue of paced parts. Positions only increase; the entries [head, tail) of the table are waiting.
struct PacingState
{
    std::uint64_t head = 0;
    std::uint64_t tail = 0;
    Timestamp nextSendAt; // The earliest time at which the byte rate allows another part.
    std::size_t bytes = 0; // The total size of the waiting parts.

    friend bool operator==(PacingState const &, PacingState const &) = default;
};

struct StoredAnswerTotal
{
    std::size_t bytes = 0;

    friend bool operator==(StoredAnswerTotal const &, StoredAnswerTotal const &) = default;
};

} // namespace almondwing
