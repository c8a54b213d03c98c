// Decides what happens to an arriving request: it is refused, located, recorded, queued or forwarded to the
// dispatcher of another target, or handled as a resend of a known request.
//
// A non-idempotent request runs at most once, and NotRun is sent only if it is true. This holds also in the
// following cases, in which messages cross:
//
// 1. The same dispatcher receives the request again. The request record is created before anything else
//    happens. A second arrival updates the caller's endpoint and the attempt, but starts nothing.
// 2. The dispatcher dies and another one takes over. The first one stored the replica record at two
//    members of the replica group before the target received the request. The second one needs two members
//    for recording and all but one for locating, so it reaches at least one of those members and answers
//    OutcomeUnknown.
// 3. The dispatcher restarts without its state. The record id is random, so it can't mistake the record of
//    its former process for its own. Its replica records are lost as well. Its answers about them are not
//    authoritative until `authoritativeAfter` has passed, so locating a resend needs the other members, of
//    which at least one has the replica record.
// 4. A RecordReply is lost and the quorum is missed. A release is sent to all members, and the released entry
//    makes them answer AlreadyRecorded to other dispatchers. If the release is lost, the replica record
//    itself does that. In both cases a resend ends in OutcomeUnknown at other instances and in NotRun at this
//    one, and the request never runs.
// 5. A RecordRequest arrives after its release because the messages were reordered. The replica record
//    remains, as in case 4. A retransmitted RecordRequest that follows a release is answered with
//    AlreadyRecorded, and the entry stays released.
// 6. A first send is in transit while another instance locates a resend. Each instance that answers "not
//    known" thereby promises the request to the sender of the Locate. When the first send arrives, its
//    dispatcher finds the promise and forwards the request to that sender, or the group members that promised
//    answer AlreadyRecorded to its RecordRequest. Promises and request records are in two tables. Both code
//    paths write their own table before they read the other one, so at least one of them sees the other's
//    entry.
// 7. Two dispatchers locate the same request at the same time. Each finds it known at the other one, and
//    neither runs it.
// 8. A request is retried after a Shed. The Shed states that the try will not run. The replica records keep
//    their id over all tries, so the request is recorded all the time.
// 9. The dispatcher was paused or isolated while another one took over. Its queued requests are recorded at a
//    quorum, so no other instance runs them. Requests that it was still recording or locating, and requests
//    that arrive while it has no lease, end in OutcomeUnknown. So does a resend of a request that it answered
//    with NotRun before the takeover.
// 10. A request was spilled to another dispatcher. Its request record stays here, and resends are only
//    forwarded, with an attempt above 1, so that a successor of that dispatcher locates the request if it
//    does not know it.
//
// One case is not covered: the network delivers two copies of a first send to two dispatchers, the bucket
// table of each has named its own target for longer than `bucketSettleTime`, and there is no claim. Locating
// first sends in stable buckets as well would cover it, but would cost every request that latency.

#pragma once

#include <LibRequests/LocatePlan.h>
#include <LibRequests/QueuePolicy.h>
#include <LibRequests/TryRunner.h>

#include <atomic>
#include <optional>
#include <vector>

namespace almondwing {

// A request as it arrives at a dispatcher.
struct IncomingRequest
{
    Endpoint caller;
    Request request;
    TargetId target;
    ForwardPurpose purpose = ForwardPurpose::Deliver;
    std::uint8_t hops = 0;
    InstanceId origin; // The instance that started the forwarding, if any.

    friend bool operator==(IncomingRequest const &, IncomingRequest const &) = default;
};

// How this instance answers a Locate. LocateReply has no verdicts for Recorded and Inconclusive, which are
// sent as a RecordReply with try id 0 and the verdict AlreadyRecorded or Refused.
enum class LocalLocateVerdict : std::uint8_t {
    Known,
    NotKnown,
    Recorded, // Not served here, but recorded, promised to another instance, or forwarded.
    Inconclusive, // Not known, but the answer of this instance is not authoritative.
};

enum class AdmissionState : std::uint8_t { Open, Stopping };

class RequestAdmission
{
public:
    RequestAdmission(RequestStore &requestStore, OutcomeSender &sender, TryRunner &tryRunner,
                     ReplicaRecords &groupRecords, RandomSource const &randomSource);

    void handle(IncomingRequest const &incoming, Timestamp now);
    void handleRecordReply(InstanceId from, RecordReply const &reply, Timestamp now);
    void handleLocateReply(InstanceId from, LocateReply const &reply, Timestamp now);
    void handleLocate(InstanceId from, Locate const &message, Timestamp now);
    // Moves a waiting request away from a target that accepts no new requests.
    void moveOffTarget(RequestKey key, Timestamp now);
    // Gives up a queued request after another instance has become the dispatcher: an idempotent one is
    // forwarded to the successor, a non-idempotent one ends here.
    void handOffToSuccessor(RequestKey key, RequestRecord const &record, Timestamp now);
    void executeStep(RequestKey key, RequestStep step, Timestamp now);

    // Forwards a caller's message about a request in phase Forwarded to the instance that has the request.
    void forward(RequestRecord const &record, Endpoint caller, std::uint8_t hops,
                 CallerMessage const &message);

    // From now on, new requests are forwarded to other dispatchers or refused.
    void close() { this->state = AdmissionState::Stopping; }

private:
    void handleResend(RequestRecord const &known, IncomingRequest const &incoming, Timestamp now);
    RequestRecord initialRecord(IncomingRequest const &incoming, Timestamp now) const;
    bool mayHaveRun(RequestRecord const &record, RequestKey key, ForwardPurpose purpose, Timestamp now) const;
    bool forwardWhileStopping(RequestKey key, RequestRecord const &record, Timestamp now);
    bool refuseOnArrival(RequestKey key, RequestRecord const &record, Timestamp now);
    bool yieldToHolder(IncomingRequest const &incoming, RequestRecord const &record, Timestamp now);

    bool isReachable(InstanceId instance) const;
    bool hasCompleteRecords(TargetId target, Timestamp now) const;
    void startLocating(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendLocates(RequestKey key, LocateProgress const &progress,
                     std::vector<InstanceId> const &recipients);
    void finishLocating(RequestKey key, LocateResult result, Timestamp now);
    void forwardToHolder(RequestKey key, RequestRecord const &record, InstanceId holder, Timestamp now);
    LocalLocateVerdict processLocate(InstanceId from, RequestKey key, Timestamp now);
    void addLocateAnswer(InstanceId from, RequestKey key, std::vector<InstanceId> LocateProgress::*list,
                         Timestamp now);

    // Functions that take an `expectedPhase` have no effect if the request is in another phase.
    void admit(RequestKey key, RequestPhase expectedPhase, Timestamp now);
    Request requestToForward(RequestKey key, RequestRecord const &record, Timestamp now) const;
    // Whether the request may not move to another dispatcher. A non-idempotent request that was located (each
    // resend is) has promises of other instances, and a recorded one has replica records. Both are valid only
    // for this dispatcher.
    bool mustStayAtThisInstance(RequestKey key, RequestRecord const &record, Timestamp now) const;
    bool spill(RequestKey key, RequestRecord const &record, Timestamp now);
    bool forwardToOtherDispatcher(RequestKey key, RequestRecord const &record, Timestamp now);
    bool moveToOwnTarget(RequestKey key, RequestRecord const &record, Timestamp now);
    std::optional<RoutedTarget> chooseSpillTarget(RequestKey key, RequestRecord const &record) const;
    bool mayTakeNewRequests(RoutedTarget const &target) const;
    std::optional<RequestRecord> markForwarded(RequestKey key, RequestPhase expectedPhase,
                                               InstanceId instance, ForwardPurpose purpose,
                                               std::vector<TargetId> const &targets, Timestamp now);
    void refuseNotAdmitted(RequestKey key, RequestPhase expectedPhase, AdmissionDecision decision,
                           Timestamp now);

    void enqueue(RequestKey key, RequestPhase expectedPhase, TargetId target, Timestamp now);
    void startRecording(RequestKey key, RequestPhase expectedPhase, RoutedTarget const &target,
                        Timestamp now);
    void sendRecords(RequestKey key, RequestRecord const &record, Timestamp now);
    RecordRequest recordRequest(RequestKey key, RequestRecord const &record, Timestamp now) const;
    void giveUpRecording(RequestKey key, Timestamp now);

    RequestStore &store;
    OutcomeSender &outcomeSender;
    TryRunner &runner;
    ReplicaRecords &replicas;
    RandomSource const &random;
    std::atomic<AdmissionState> state = AdmissionState::Open;
};

} // namespace almondwing
