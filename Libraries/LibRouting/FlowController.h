// Decides about messages of flows at the dispatcher of a target. It admits new flows, delivers messages of
// known flows to their targets, searches for the dispatcher that has the record of an unknown flow, and
// adopts or rejects flows that no dispatcher has a record of. almondwingd uses it and finds the target by the
// bucket of the flow; almondwing-node uses LibTokenRouting, because its packets carry the token of their
// target.

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

// A message of a flow that reaches a dispatcher, directly or forwarded. Forwarded explains the search fields.
struct FlowArrival
{
    Endpoint caller;
    TargetId target; // The target of the bucket, or the candidate to check.
    ForwardPurpose purpose = ForwardPurpose::Deliver;
    std::uint8_t hops = 0;
    InstanceId origin;
    std::vector<TargetId> candidates; // The candidates still to be visited after `target`.
    bool isOriginFlowTableComplete = false; // Also true if the origin's target reported the flow as unknown.
    TargetId originTarget;
    TargetId possibleOwner;
    bool hasSkippedCandidate = false; // If so, a search that finds nothing is inconclusive.
    FlowMessage message;

    friend bool operator==(FlowArrival const &, FlowArrival const &) = default;
};

// Converts a forwarded message. `target` is the target that it is to be handled for, if known. Moves the
// message and the candidates out of `forwarded`, because copying payloads takes a considerable part of the
// time of a decision.
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
    std::uint64_t droppedWithoutReply = 0; // Packets that the caller is expected to retransmit.
    // Messages of targets that match no flow record of this instance, or come from another endpoint.
    std::uint64_t unmatched = 0;

    friend bool operator==(FlowCounters const &, FlowCounters const &) = default;
};

// An OpenFlow is forwarded to at most this many further targets before it is refused.
constexpr std::uint8_t maxSpills = 2;

// A search starts with at least this hop count. A search that arrives with more than one hop above it has
// usually visited another candidate before; serveKnown() then reports to the origin where the flow is.
constexpr std::uint8_t searchBaseHops = 8;

// The delay after which callers of refused flows should try again.
constexpr Duration refusedRetryAfter = 1s;

class FlowController
{
public:
    FlowController(Blackboard &blackboard, Outbox outbox);

    // Serves the message if this instance has a record of its flow, independent of the bucket table. Moves
    // the message out of `arrival` only in that case.
    bool serveIfKnown(FlowArrival &&arrival, Timestamp now);

    // The two steps of serveIfKnown, for code that builds the arrival only if the flow is known.
    std::optional<FlowRecord> recordOf(FlowKey const &key) const;
    void serveKnown(FlowArrival &&arrival, FlowRecord const &record, Timestamp now);

    // Handles a message whose target this instance dispatches for.
    void handleArrival(FlowArrival &&arrival, Timestamp now);
    void handleTargetMessage(Endpoint from, TargetMessage const &message, Timestamp now);

    void handleFlowFound(FlowFound const &found, Timestamp now);

    FlowCounters counters() const;

private:
    // The timestamps of a flow record are updated at most this often, so that most packets only read the
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
        std::atomic<std::uint64_t> droppedWithoutReply = 0;
        std::atomic<std::uint64_t> unmatched = 0;
    };

    // Returns nullopt if the target that has the flow is gone or was restarted.
    std::optional<Endpoint> endpointOfFlow(FlowKey const &key, FlowRecord const &record) const;
    void refreshRecord(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void startSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void visitCandidates(FlowArrival const &arrival, FlowKey const &key, std::vector<TargetId> candidates,
                         Timestamp now);
    void recordOrigin(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    InstanceId dispatcherOfCandidate(RoutingView const &view, FlowKey const &key, TargetId candidate) const;
    bool isInconclusive(RoutingView const &view, FlowArrival const &arrival, FlowKey const &key,
                        TargetId candidate) const;
    void forwardToCandidate(FlowArrival const &arrival, InstanceId dispatcher,
                            std::vector<TargetId> candidates);
    void offerToPossibleOwner(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void returnSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void concludeSearch(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void handleUnknownFlow(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void admit(FlowArrival const &arrival, OpenFlow const &open, Timestamp now);
    void spillOrRefuse(FlowArrival const &arrival, OpenFlow const &open, Reason reason, Timestamp now);
    void adopt(FlowArrival const &arrival, FlowKey const &key, TargetId target, Timestamp now);
    void rejectUnknownFlow(FlowArrival const &arrival, FlowKey const &key, Timestamp now);
    void breakFlow(FlowKey const &key, FlowRecord const &record, Reason reason);
    void handleTargetBroken(FlowKey const &key, FlowRecord const &record, Reason reason, Timestamp now);
    bool isEndpointOf(TargetId id, Endpoint endpoint) const;
    void recordAnswer(FlowKey const &key, FlowRecord const &record, Timestamp now);
    void forwardToTarget(FlowMessage &&message, Endpoint target);

    std::vector<TargetId> searchCandidates(FlowKey const &key, TargetId except) const;
    FlowTableState flowTableStateOf(TargetId target) const;
    // Whether the target may have the flow although this instance, its dispatcher, has no record of it.
    bool mayOwn(FlowKey const &key, TargetId target) const;
    void recordTargetWithoutFlow(FlowKey const &key, TargetId target, Timestamp now);
    bool isInGracePeriod(FlowKey const &key, TargetId target, Timestamp now) const;
    InstanceId self() const;

    Blackboard &blackboard;
    Outbox outbox;
    AtomicCounters atomicCounters;
};

} // namespace almondwing
