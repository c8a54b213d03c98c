// The controller of requests at one instance: dispatcher of its targets and member of replica groups.
//
// All state is on the blackboard; see RequestRecord.h. Every function may be called from several threads at
// once. No lock is held while a hook of the Outbox runs. The parts of the controller:
// RequestAdmission (arrival, locating, recording, spilling), TryRunner (slots and tries),
// RequestOutcomes (final outcomes and answers), ReplicaRecords (the group member).

#pragma once

#include <LibRequests/ReplicaRecords.h>
#include <LibRequests/RequestAdmission.h>
#include <LibRequests/RequestOutcomes.h>
#include <LibRequests/RequestSettings.h>
#include <LibRequests/RequestStore.h>
#include <LibRequests/TryRunner.h>

#include <optional>
#include <set>
#include <variant>

namespace almondwing {

using RequestTargetMessage = std::variant<RequestStarted, Shed, RunEnded, AnswerPart>;
using RequestPeerMessage = std::variant<RecordRequest, RecordReply, RecordRelease, Locate, LocateReply>;

class RequestController
{
public:
    RequestController(Blackboard &board, RequestSettings settingsInUse, Outbox hooks,
                      RandomSource randomSource);

    // This instance must be the dispatcher of the target. With purpose Search the request must be known here.
    void handleRequest(ArrivedRequest const &arrived, Timestamp now);

    // Whether a search for the request ends here.
    bool isKnown(RequestKey key) const;

    void handleCancel(Endpoint caller, CancelRequest const &message, std::uint8_t hops, Timestamp now);
    void handleResendParts(Endpoint caller, ResendParts const &message, std::uint8_t hops, Timestamp now);
    void handleTargetMessage(Endpoint from, RequestTargetMessage const &message, Timestamp now);
    void handlePeerMessage(InstanceId from, RequestPeerMessage const &message, Timestamp now);

    // Another instance may have left requests at the target; call when this one becomes its dispatcher.
    void handleTakeover(TargetId target, Timestamp now);

    // Call every 10 to 50 ms.
    void tick(Timestamp now);

    // Sends at most one part of a bulk answer; see RequestOutcomes. The event loop calls it again at the
    // returned time, after the input that has arrived meanwhile. nullopt: nothing waits.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);

    void beginStop(Timestamp now);

    // Nothing is queued, running, or waiting to be sent.
    bool isIdle() const;

    // Buckets in which this instance holds request records of the target.
    std::set<std::uint16_t> bucketsInUse(TargetId target) const;

private:
    void extendTakeover(RecordRequest const &request, Timestamp now);
    void tickTarget(TargetId target, RequestQueue const &queue, Timestamp now);
    void tickRequest(RequestKey key, Timestamp now);
    void emptyQueue(RequestQueue const &queue, Reason reason, Timestamp now);
    void noteDispatcher(TargetId target, Timestamp now);

    Blackboard &blackboard;
    RequestSettings settings;
    Outbox outbox;
    RandomSource random;
    ExpirySchedule schedule;
    RequestStore store;
    ReplicaRecords replicas;
    RequestOutcomes outcomes;
    TryRunner runner;
    RequestAdmission admission;
};

} // namespace almondwing
