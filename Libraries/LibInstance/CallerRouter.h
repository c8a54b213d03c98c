// Routes messages of callers to the local controller or the other instance that is responsible for them.

#pragma once

#include <LibMembership/MembershipController.h>
#include <LibMessages/Outbox.h>
#include <LibRequests/RequestController.h>
#include <LibRouting/FlowController.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <vector>

namespace almondwing {

struct CallerRouterCounters
{
    std::uint64_t receivedFromCallers = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t handledLocally = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownService = 0;
    std::uint64_t hopLimitExceeded = 0;
    std::uint64_t refusedWithoutLease = 0;

    friend bool operator==(CallerRouterCounters const &, CallerRouterCounters const &) = default;
};

// The controllers that handle messages locally.
struct CallerControllers
{
    MembershipController &membership;
    FlowController &flows;
    RequestController &requests;
};

class CallerRouter
{
public:
    CallerRouter(Blackboard &blackboard, Outbox outbox, CallerControllers controllers);

    // Handles a message that arrived from a caller.
    void handleFromCaller(Endpoint caller, CallerMessage message, Timestamp now);

    // Handles a message that another instance forwarded.
    void handleForwarded(Forwarded forwarded, Timestamp now);

    // Routes the delayed messages whose delay is over. A message is delayed if it has been forwarded too
    // often, or while this instance is joining.
    void tick(Timestamp now);
    bool hasUnsettledMessages() const;

    CallerRouterCounters counters() const;

private:
    // Whether the message has already been delayed at this instance.
    enum class HopDelay : std::uint8_t { NotYetApplied, Applied };

    // The message is moved from function to function, because copies of payloads are a considerable part of
    // the cost of a decision.
    void route(Forwarded &&forwarded, HopDelay hopDelay, Timestamp now);
    // Queues the message and returns true if it has to be delayed because it has been forwarded too often.
    // Does not block.
    bool delayUntilTablesAgree(Forwarded &forwarded, Timestamp now);
    // Queues the message and returns true if this instance is still joining and would have to refuse it. Does
    // not block.
    bool delayWhileJoining(Forwarded &forwarded, Timestamp now);
    // Queues the message and returns true, unless maxUnsettledMessages are waiting.
    bool queueUnsettled(Forwarded &forwarded, Timestamp now);
    bool serveIfKnown(Forwarded &forwarded, Timestamp now);
    void handleLocally(ForwardDecision &&decision, Timestamp now);
    void handleRequestMessage(ForwardDecision const &decision, Timestamp now);
    void startRequestSearch(ForwardDecision const &decision, Timestamp now);
    void continueRequestSearch(Forwarded const &forwarded, std::vector<TargetId> candidates, Timestamp now);
    void dispatchRequest(Forwarded const &forwarded, TargetId target, Timestamp now);
    void refuse(Forwarded const &forwarded, Reason reason);
    void refuseRequest(Endpoint caller, Request const &request, Reason reason);
    InstanceId self() const;

    Blackboard &blackboard;
    Outbox outbox;
    CallerControllers controllers;
    std::atomic<std::uint64_t> receivedFromCallers = 0;
    std::atomic<std::uint64_t> forwardedCount = 0;
    std::atomic<std::uint64_t> handledLocally = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> unknownService = 0;
    std::atomic<std::uint64_t> hopLimitExceeded = 0;
    std::atomic<std::uint64_t> refusedWithoutLease = 0;
    std::atomic<std::uint64_t> nextUnsettledNumber = 0;
};

} // namespace almondwing
