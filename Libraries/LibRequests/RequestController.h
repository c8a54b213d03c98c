// Handles the requests at one instance, as the dispatcher of its targets and as a member of replica groups.
//
// The state of requests is on the blackboard; see RequestRecord.h. All functions are thread-safe. No lock is
// held while a hook of the Outbox runs. The controller consists of RequestAdmission (arrival, locating,
// recording, spilling), TryRunner (slots and tries), OutcomeSender (final outcomes and answers) and
// ReplicaRecords (records stored for other dispatchers).

#pragma once

#include <LibRequests/OutcomeSender.h>
#include <LibRequests/ReplicaRecords.h>
#include <LibRequests/RequestAdmission.h>
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
    RequestController(Blackboard &board, RequestSettings settingsInUse, Outbox messageOutbox,
                      RandomSource randomSource);

    // This instance must be the dispatcher of the target. With purpose Search the request must be served
    // here.
    void handleRequest(IncomingRequest const &incoming, Timestamp now);

    // Whether this instance serves the request, so that a search for it ends here.
    bool isServedHere(RequestKey key) const;

    void handleCancel(Endpoint caller, CancelRequest const &message, std::uint8_t hops, Timestamp now);
    void handleResendParts(Endpoint caller, ResendParts const &message, std::uint8_t hops, Timestamp now);
    void handleTargetMessage(Endpoint from, RequestTargetMessage const &message, Timestamp now);
    void handlePeerMessage(InstanceId from, RequestPeerMessage const &message, Timestamp now);

    // Must be called when this instance becomes the dispatcher of the target. Its predecessor may have left
    // requests running there.
    void handleTakeover(TargetId target, Timestamp now);

    // Must be called every 10 to 50 ms.
    void tick(Timestamp now);

    // Sends at most one part of a bulk answer; see OutcomeSender. The event loop calls it again at the
    // returned time, after it has handled the input that has arrived until then. Returns nullopt if no part
    // is waiting.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);

    void beginStop(Timestamp now);

    // Whether no request is waiting or active (see RequestQueue) and no answer part is waiting to be sent.
    bool isIdle() const;

    // Returns the buckets in which this instance holds request records of the target.
    std::set<std::uint16_t> bucketsInUse(TargetId target) const;

private:
    void extendInheritedSlots(RecordRequest const &request, Timestamp now);
    void tickTarget(TargetId target, RequestQueue const &queue, Timestamp now);
    void tickRequest(RequestKey key, Timestamp now);
    void clearQueue(RequestQueue const &queue, Reason reason, Timestamp now);
    void trackDispatcher(TargetId target, Timestamp now);

    Blackboard &blackboard;
    RequestSettings settings;
    Outbox outbox;
    RandomSource random;
    ExpirySchedule schedule;
    RequestStore store;
    ReplicaRecords replicas;
    OutcomeSender outcomeSender;
    TryRunner runner;
    RequestAdmission admission;
};

} // namespace almondwing
