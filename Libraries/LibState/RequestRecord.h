// What a dispatcher knows of requests, and what a member of a replica group keeps for dispatchers.

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
    Admitting, // Just arrived; one thread decides what happens next.
    Locating, // Other instances are asked whether they know it.
    Recording, // Its place in the queue is reserved, the record is being written to the replica group.
    Queued, // Ready to be started.
    Running, // A try may have reached the target.
    Finished, // Has its final outcome.
    Forwarded, // Handed to another dispatcher; never run here.
};

enum class RequestOutcome : std::uint8_t { None, Answered, NotRun, Unknown };

enum class SlotUse : std::uint8_t { None, Held };

enum class TryProgress : std::uint8_t { Sent, Started };

// Whether it is known that no target has seen the request before; NotRun is true only then.
enum class RunHistory : std::uint8_t { Uncertain, NeverRun };

// The parts of one answer so far. Shared by all versions of the request record that hold it.
// Invariants: no part lies behind lastPart; bytes is the sum of the sizes of all parts.
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

// Progress of asking other instances whether they know a request.
struct LocateProgress
{
    std::vector<InstanceId> mustAnswer; // Every asked instance that is not known to be dead.
    std::vector<std::vector<InstanceId>> groups; // Replica groups of all targets of the service.
    std::vector<InstanceId> notKnown; // Answered that they don't know it and vouch for their memory.
    std::vector<InstanceId> known; // Queue or run it, or hold its outcome.
    std::vector<InstanceId> recorded; // Hold a record, a promise or a hint for another instance.
    std::vector<InstanceId> inconclusive; // Answered, but have started too recently to vouch.

    friend bool operator==(LocateProgress const &, LocateProgress const &) = default;
};

// Invariants: a record in phase Running or Finished only gets a slot back from the thread that changed `slot`
// to None; `outcome` is not None exactly in phase Finished and never changes afterwards.
struct RequestRecord
{
    TargetId target;
    Endpoint caller; // The latest one; a resend may come from another endpoint.
    std::uint32_t attempt = 1;
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::NonIdempotent;
    std::uint8_t hops = 0;
    InstanceId spilledBy; // The instance that spilled it here, or none.
    Timestamp receivedAt; // By this instance, for the first time.
    Timestamp deadline;
    std::shared_ptr<std::string const> payload; // Dropped when the request has finished.

    RequestPhase phase = RequestPhase::Admitting;
    RunHistory history = RunHistory::Uncertain;
    Timestamp phaseSince;
    Timestamp lastSent; // Of the message that the phase repeats.

    LocateProgress locate;
    // Names the record in the replica group for the whole life of the request here, over all tries. It is
    // random, so an instance that restarted does not take a record of its former process for its own.
    std::uint64_t recordId = 0; // Zero while nothing has been recorded.
    std::vector<InstanceId> group; // The replica group that was asked to keep the record.
    std::vector<InstanceId> storedBy;

    std::uint64_t tryId = 0;
    std::uint32_t tries = 0;
    TryProgress progress = TryProgress::Sent;
    SlotUse slot = SlotUse::None;
    Endpoint targetEndpoint;
    std::uint64_t startMark = 0; // Of the target process that got the try.
    Timestamp startedAt;
    Timestamp lastReceived; // From the target, about this try.
    Timestamp notBefore; // A retry waits until then.
    Reason cancelReason = Reason::None; // Not None once the target has been asked to cancel.
    Timestamp cancelledAt;

    std::shared_ptr<StoredAnswer const> answer;
    RequestOutcome outcome = RequestOutcome::None;
    Reason reason = Reason::None;
    Duration retryAfter{};
    Timestamp keepUntil;

    // In phase Elsewhere: who got the request, why, and the targets whose dispatchers may have it.
    InstanceId forwardedTo;
    ForwardPurpose forwardPurpose = ForwardPurpose::Spill;
    std::vector<TargetId> forwardTargets;

    friend bool operator==(RequestRecord const &, RequestRecord const &) = default;
};

constexpr std::size_t requestClassCount = 3;

// The requests of one target at its dispatcher.
struct RequestQueue
{
    std::array<std::vector<RequestKey>, requestClassCount> waiting; // By class, oldest first.
    std::vector<RequestKey> active; // Being located or run, or finished with a slot still in use.
    std::array<Duration, requestClassCount> serviceTime{}; // Moving averages; zero until measured.
    Timestamp lastPriorityWork; // When an urgent or interactive request was last admitted or finished.
    std::optional<Timestamp> dispatchLostAt; // Since when another instance dispatches for the target.
    std::optional<Timestamp> tookOverAt; // When this instance last took the target over from another.

    friend bool operator==(RequestQueue const &, RequestQueue const &) = default;
};

enum class ReplicaRecordKind : std::uint8_t {
    Promised, // The holder was told that the request is not known here; no other dispatcher may record it.
    Recorded, // The holder may have run it.
    Released, // The holder has not run it and has answered NotRun; nobody else may run it either.
};

// What a member of a replica group keeps of a request.
struct ReplicaRecord
{
    ReplicaRecordKind kind = ReplicaRecordKind::Recorded;
    TargetId target; // None for a promise.
    InstanceId holder;
    std::uint64_t recordId = 0;
    Timestamp deadline;
    Timestamp keepUntil;

    friend bool operator==(ReplicaRecord const &, ReplicaRecord const &) = default;
};

// Requests and replica records to look at when a certain second has passed.
struct ExpiringRequests
{
    std::vector<RequestKey> requests;
    std::vector<RequestKey> replicaRecords;

    friend bool operator==(ExpiringRequests const &, ExpiringRequests const &) = default;
};

// Token bucket of one service; a retry costs `tokensPerRetry`, a fresh request earns `tokensPerRequest`.
struct RetryBudget
{
    std::uint32_t tokens = 0;

    friend bool operator==(RetryBudget const &, RetryBudget const &) = default;
};

// How many request records lie in each bucket; empty buckets are left out. Sorted by bucket.
struct BucketUse
{
    std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;

    friend bool operator==(BucketUse const &, BucketUse const &) = default;
};

// A bulk part that waits for its turn to be sent; the payload stays in the kept answer.
struct PacedPart
{
    RequestKey key;
    std::uint32_t part = 0;
    std::size_t bytes = 0;

    friend bool operator==(PacedPart const &, PacedPart const &) = default;
};

// The ring of paced parts: entries [head, tail) of the table are waiting.
struct PacingState
{
    std::uint64_t head = 0;
    std::uint64_t tail = 0;
    Timestamp nextSendAt; // The byte rate allows no bulk part before.
    std::size_t bytes = 0; // Of the waiting parts.

    friend bool operator==(PacingState const &, PacingState const &) = default;
};

struct StoredAnswerTotal
{
    std::size_t bytes = 0;

    friend bool operator==(StoredAnswerTotal const &, StoredAnswerTotal const &) = default;
};

} // namespace almondwing
