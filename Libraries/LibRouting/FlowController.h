// Decides about packets of flows at the dispatcher of a target: admits, finds, adopts, forwards and refuses.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibRouting/RouteChoice.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace almondwing {

using FlowMessage = std::variant<OpenFlow, FlowData, CloseFlow>;

// A message of a flow as it reaches a dispatcher, directly or forwarded by another instance.
struct FlowArrival
{
    Endpoint caller;
    TargetId target; // Of the bucket table, or the candidate to look at.
    ForwardPurpose purpose = ForwardPurpose::Deliver;
    std::uint8_t hops = 0;
    InstanceId origin;
    std::vector<TargetId> candidates; // Still to visit after `target`.
    bool isOriginComplete = false;
    TargetId originTarget;
    TargetId possibleOwner;
    bool hasSkippedCandidate = false;
    FlowMessage message;

    friend bool operator==(FlowArrival const &, FlowArrival const &) = default;
};

// The arrival of a message of a flow; the target is the one that it is to be handled for, if known.
// Takes the message and the candidates out of `forwarded`: copies of payloads cost a good part of a decision.
FlowArrival toFlowArrival(Forwarded &&forwarded, TargetId target);

struct FlowCounters
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t adopted = 0;
    std::uint64_t searched = 0;
    std::uint64_t spilled = 0;
    std::uint64_t broken = 0;
    std::uint64_t closed = 0;
    std::uint64_t droppedInGrace = 0;
    std::uint64_t unmatched = 0; // Messages of targets that belong to no flow that they have here.

    friend bool operator==(FlowCounters const &, FlowCounters const &) = default;
};

// An Open visits at most this many targets before it is refused.
constexpr std::uint8_t maximumSpills = 2;

// After a dispatcher takes over a target, or a bucket moves, claims of others may still be on their way. A
// packet of an unknown flow is dropped without an answer in this time; the caller sends again.
constexpr Duration searchGrace = 2s;

// A search counts its hops from here, so that a dispatcher sees whether it is the first candidate.
constexpr std::uint8_t searchBaseHops = 8;

// Callers of refused flows should come back after this time.
constexpr Duration refusedRetryAfter = 1s;

class FlowController
{
public:
    FlowController(Blackboard &blackboard, Outbox outbox);

    // Serves the message if this instance has a record of its flow, whatever the bucket table says. Takes the
    // message out of `arrival` only then.
    bool serveIfKnown(FlowArrival &&arrival, Timestamp now);

    // The two steps of serveIfKnown, for callers that build the arrival only when the flow is known.
    std::optional<FlowRecord> recordOf(FlowKey const &key) const;
    void serveKnown(FlowArrival &&arrival, FlowRecord const &record, Timestamp now);

    // Decides about a message whose target this instance dispatches for.
    void handleArrival(FlowArrival &&arrival, Timestamp now);
    void handleTargetMessage(Endpoint from, TargetMessage const &message, Timestamp now);

    void handleFlowFound(FlowFound const &found, Timestamp now);

    FlowCounters counters() const;

private:
    // Times of a flow on the blackboard are refreshed at most this often, so that most packets only read its
    // record.
    static constexpr Duration timeResolution = 1s;

    struct AtomicCounters
    {
        std::atomic<std::uint64_t> opened = 0;
        std::atomic<std::uint64_t> refused = 0;
        std::atomic<std::uint64_t> adopted = 0;
        std::atomic<std::uint64_t> searched = 0;
        std::atomic<std::uint64_t> spilled = 0;
        std::atomic<std::uint64_t> broken = 0;
        std::atomic<std::uint64_t> closed = 0;
        std::atomic<std::uint64_t> droppedInGrace = 0;
        std::atomic<std::uint64_t> unmatched = 0;
    };

    // None if the target that has the flow is gone or was restarted.
    std::optional<Endpoint> endpointOfFlow(FlowKey const &key, FlowRecord const &record) const;
    void refreshRecord(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void startSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void visitCandidates(FlowArrival const &arrival, FlowKey const &key, std::vector<TargetId> candidates,
                         Timestamp now);
    void rememberOrigin(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    InstanceId dispatcherOfCandidate(RoutingView const &view, FlowKey const &key, TargetId candidate) const;
    bool cannotAsk(RoutingView const &view, FlowArrival const &arrival, FlowKey const &key,
                   TargetId candidate) const;
    void passToCandidate(FlowArrival const &arrival, InstanceId dispatcher, std::vector<TargetId> candidates);
    void offerToPossibleOwner(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void endSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void concludeSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void decideUnknown(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void admit(FlowArrival const &arrival, OpenFlow const &open, Timestamp now);
    void spillOrRefuse(FlowArrival const &arrival, OpenFlow const &open, Reason reason, Timestamp now);
    void adopt(FlowArrival const &arrival, FlowKey const &key, TargetId target, Timestamp now);
    void rejectUnknown(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void breakFlow(FlowKey const &key, FlowRecord const &record, Reason reason);
    void handleTargetBroken(FlowKey const &key, FlowRecord const &record, Reason reason, Timestamp now);
    bool isEndpointOf(TargetId id, Endpoint endpoint) const;
    void noteAnswer(FlowKey const &key, FlowRecord const &record, Timestamp now);
    void forwardToTarget(FlowMessage &&message, Endpoint target);

    std::vector<TargetId> searchCandidates(FlowKey const &key, TargetId except) const;
    FlowTableState flowTableStateOf(TargetId target) const;
    // Whether the target may have a flow that this instance, its dispatcher, has no record of.
    bool mayOwn(FlowKey const &key, TargetId target) const;
    void recordFlowMiss(FlowKey const &key, TargetId target, Timestamp now);
    bool isInGrace(FlowKey const &key, TargetId target, Timestamp now) const;
    InstanceId self() const;

    Blackboard &blackboard;
    Outbox outbox;
    AtomicCounters atomicCounters;
};

} // namespace almondwing
