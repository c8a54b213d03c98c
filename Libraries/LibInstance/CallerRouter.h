// Leads messages of callers to the controller or the instance that decides about them.

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
    std::uint64_t handledHere = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownService = 0;
    std::uint64_t hopLimitExceeded = 0;
    std::uint64_t refusedWithoutLease = 0;

    friend bool operator==(CallerRouterCounters const &, CallerRouterCounters const &) = default;
};

// The controllers that a message may be handed to.
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

    // A message that reached this instance through the fabric.
    void handleFromCaller(Endpoint caller, CallerMessage message, Timestamp now);

    // A message that another instance passed on.
    void handleForwarded(Forwarded forwarded, Timestamp now);

    // Passes on what has waited for the tables to agree.
    void tick(Timestamp now);
    bool hasUnsettledMessages() const;

    CallerRouterCounters counters() const;

private:
    // Whether a message that goes around is still to wait here before it is passed on.
    enum class Pause : std::uint8_t { Due, Over };

    // The message is moved from hook to hook, because copies of payloads cost a good part of a decision.
    void route(Forwarded &&forwarded, Pause pause, Timestamp now);
    // Takes the message and returns true if it has to wait for the tables of the instances to agree.
    bool waitForTables(Forwarded &forwarded, Timestamp now);
    // Likewise for what would be refused by an instance that is still joining.
    bool waitForRecords(Forwarded &forwarded, Timestamp now);
    // Takes the message and returns true, unless too many wait already.
    bool keepUnsettled(Forwarded &forwarded, Timestamp now);
    bool serveIfKnown(Forwarded &forwarded, Timestamp now);
    void handleHere(ForwardDecision &&decision, Timestamp now);
    void handleRequestMessage(ForwardDecision const &decision, Timestamp now);
    void searchRequest(ForwardDecision const &decision, Timestamp now);
    void visitRequestCandidates(Forwarded const &forwarded, std::vector<TargetId> candidates, Timestamp now);
    void decideRequest(Forwarded const &forwarded, TargetId target, Timestamp now);
    void refuse(Forwarded const &forwarded, Reason reason);
    void refuseRequest(Endpoint caller, Request const &request, Reason reason);
    InstanceId self() const;

    Blackboard &blackboard;
    Outbox outbox;
    CallerControllers controllers;
    std::atomic<std::uint64_t> receivedFromCallers = 0;
    std::atomic<std::uint64_t> forwardedCount = 0;
    std::atomic<std::uint64_t> handledHere = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> unknownService = 0;
    std::atomic<std::uint64_t> hopLimitExceeded = 0;
    std::atomic<std::uint64_t> refusedWithoutLease = 0;
    std::atomic<std::uint64_t> nextUnsettled = 0;
};

} // namespace almondwing
