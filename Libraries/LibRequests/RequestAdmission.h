// Decides what happens to a request that arrives: known, refused, located, recorded, queued, or handed to the
// dispatcher of another target.
//
// Why a non-idempotent request runs at most once, and why NotRun is true, in the cases where messages cross:
//
// 1. The same dispatcher gets the request again. Its request record is created before anything else is
//    done and decides; a second arrival only changes the caller's endpoint.
// 2. The dispatcher dies and another takes over. The records of the first lie at two members of the group
//    before the target sees the request. Both recording (two members) and locating (all members but one) of
//    the second meet at least one of these, so it answers OutcomeUnknown.
// 3. The dispatcher restarts and has lost its memory. Its record id is random, so it does not take its former
//    record for its own. Its own replica records are gone, too; it does not vouch for them for
//    `authoritativeAfter`, so a resend needs the other members, of which at least one has the record.
// 4. A RecordReply is lost and the quorum is missed. All members are told to release, and the release stays
//    there as a refusal for other dispatchers. If a release is lost, the record itself remains. Either way a
//    resend elsewhere becomes OutcomeUnknown; here it is told NotRun again. Nobody runs it.
// 5. A RecordRequest arrives after its release (reordered). The record remains; as in case 4. A repeat of a
//    stored RecordRequest after a release is answered AlreadyRecorded and not taken back into use.
// 6. A first send is still on its way while a resend is located from elsewhere. Each instance that answers
//    "not known" promises to the asker. The first send then finds the promise: its dispatcher passes it on
//    to the asker, or its record is refused by the group members that promised. Promise and request record
//    are in two tables; both sides write their own table before they read the other, so at least one sees
//    the other.
// 7. Two dispatchers locate the same request at the same time. Both find it known and neither runs it.
// 8. Retry after a shed. The try that was shed will not run by the target's word; the record keeps its id
//    over all tries, so there is no moment without a record.
// 9. The dispatcher was paused or cut off, and another one has taken over meanwhile. What it has queued is
//    recorded at a quorum, so nobody else runs it. What it was still recording or locating, what arrives
//    while it holds no lease, and a NotRun that it gave before, it is no longer sure of: OutcomeUnknown.
// 10. A request that was handed to another dispatcher (spill) stays known here and is only passed on. A
//    resend is passed on with an attempt above 1, so that a successor that does not know it locates it.
//
// Not covered: the network delivers two copies of one first send to two dispatchers, each of which has had a
// table that names its own target for longer than `bucketSettleTime`, without a claim. First sends are not
// located in stable buckets, for the sake of latency.

#pragma once

#include <LibRequests/LocatePlan.h>
#include <LibRequests/QueuePolicy.h>
#include <LibRequests/TryRunner.h>

#include <atomic>
#include <optional>
#include <vector>

namespace almondwing {

// A request as it arrives at a dispatcher.
struct ArrivedRequest
{
    Endpoint caller;
    Request request;
    TargetId target;
    ForwardPurpose purpose = ForwardPurpose::Deliver;
    std::uint8_t hops = 0;
    InstanceId origin; // The instance that passed it on, if any.

    friend bool operator==(ArrivedRequest const &, ArrivedRequest const &) = default;
};

// How this instance answers a Locate. LocateReply has no verdicts for the last two; they travel as a
// RecordReply with try id 0, "already recorded" and "refused".
enum class LocateVerdictHere : std::uint8_t {
    Known,
    NotKnown,
    Recorded, // Only a record, a promise or a hint for another instance is here.
    Unable, // Not known, but this instance can't vouch for its memory.
};

enum class AdmissionGate : std::uint8_t { Open, Stopping };

class RequestAdmission
{
public:
    RequestAdmission(RequestStore &requestStore, RequestOutcomes &finalOutcomes, TryRunner &tryRunner,
                     ReplicaRecords &groupRecords, RandomSource const &randomSource);

    void handle(ArrivedRequest const &arrived, Timestamp now);
    void handleRecordReply(InstanceId from, RecordReply const &reply, Timestamp now);
    void handleLocateReply(InstanceId from, LocateReply const &reply, Timestamp now);
    void handleLocate(InstanceId from, Locate const &message, Timestamp now);
    // Moves a waiting request away from a target that takes no new work.
    void leaveTarget(RequestKey key, Timestamp now);
    // Another instance has become dispatcher and must start the request, or nobody.
    void leaveToSuccessor(RequestKey key, RequestRecord const &record, Timestamp now);
    void takeStep(RequestKey key, RequestStep step, Timestamp now);

    // Passes a caller's message about a request in phase Elsewhere on to where the request is.
    void passOn(RequestRecord const &record, Endpoint caller, std::uint8_t hops,
                CallerMessage const &message);

    // From now on new requests are refused.
    void close() { this->gate = AdmissionGate::Stopping; }

private:
    void handleKnown(RequestRecord const &known, ArrivedRequest const &arrived, Timestamp now);
    RequestRecord firstRecord(ArrivedRequest const &arrived, Timestamp now) const;
    bool mayHaveRun(RequestRecord const &record, RequestKey key, ForwardPurpose purpose, Timestamp now) const;
    bool passOnWhileStopping(RequestKey key, RequestRecord const &record, Timestamp now);
    bool refuseAtOnce(RequestKey key, RequestRecord const &record, Timestamp now);
    bool yieldToHolder(ArrivedRequest const &arrived, RequestRecord const &record, Timestamp now);

    bool isReachable(InstanceId instance) const;
    bool hasLongTenure(TargetId target, Timestamp now) const;
    void startLocating(RequestKey key, RequestRecord const &record, Timestamp now);
    void sendLocates(RequestKey key, LocateProgress const &progress, std::vector<InstanceId> const &ask);
    void concludeLocating(RequestKey key, LocateResult result, Timestamp now);
    void handOver(RequestKey key, RequestRecord const &record, InstanceId holder, Timestamp now);
    LocateVerdictHere judgeLocateHere(InstanceId from, RequestKey key, Timestamp now);
    void addAnswer(InstanceId from, RequestKey key, std::vector<InstanceId> LocateProgress::*list,
                   Timestamp now);

    void admit(RequestKey key, RequestPhase phase, Timestamp now);
    Request forwardable(RequestKey key, RequestRecord const &record, Timestamp now) const;
    bool isPinned(RequestKey key, RequestRecord const &record, Timestamp now) const;
    bool spill(RequestKey key, RequestRecord const &record, Timestamp now);
    bool passToOtherDispatcher(RequestKey key, RequestRecord const &record, Timestamp now);
    bool moveToOwnTarget(RequestKey key, RequestRecord const &record, Timestamp now);
    std::optional<RoutedTarget> chooseSpillTarget(RequestKey key, RequestRecord const &record) const;
    bool isInService(RoutedTarget const &target) const;
    std::optional<RequestRecord> markForwarded(RequestKey key, RequestPhase phase, InstanceId instance,
                                               ForwardPurpose purpose, std::vector<TargetId> const &targets,
                                               Timestamp now);
    void refuseFull(RequestKey key, RequestPhase phase, PlaceDecision decision, Timestamp now);

    void enqueue(RequestKey key, RequestPhase phase, TargetId target, Timestamp now);
    void startRecording(RequestKey key, RequestPhase phase, RoutedTarget const &target, Timestamp now);
    void sendRecords(RequestKey key, RequestRecord const &record, Timestamp now);
    RecordRequest recordMessage(RequestKey key, RequestRecord const &record, Timestamp now) const;
    void giveUpRecording(RequestKey key, Timestamp now);

    RequestStore &store;
    RequestOutcomes &outcomes;
    TryRunner &runner;
    ReplicaRecords &replicas;
    RandomSource const &random;
    std::atomic<AdmissionGate> gate = AdmissionGate::Open;
};

} // namespace almondwing
