// Moves the flows of a target to its next dispatcher, and copies exceptions to the replica group of the
// target.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <memory>
#include <mutex>

namespace almondwing {

// One ExceptionUpdate carries at most this many flows, to fit into a datagram.
constexpr std::size_t flowsPerUpdate = 40;

// Copies of exceptions are paced to this many flows each second over all receivers, about 1 KB and half of
// the control budget of an instance.
constexpr std::size_t copiesPerSecond = 32;
constexpr Duration copyInterval = 1s;

// A planned handover is short and must end before the instance stops, so it runs faster than the copies.
constexpr Duration handoverInterval = 20ms;

// All flows are looked over for a handover when the view has changed, and seldom otherwise.
constexpr Duration idleHandoverInterval = 5s;

// A process that has just started may get a handover before it has the record of the target, which members
// tell within 2 s; beside load several times that. Later the target is taken for gone.
constexpr Duration unknownTargetRetention = 10s;

class HandoverController
{
public:
    HandoverController(Blackboard &blackboard, Outbox outbox);

    void handleUpdate(ExceptionUpdate const &update, Timestamp now);

    // Hands over flows whose target has another dispatcher now, turns copies into flows where this instance
    // has become the dispatcher, and sends the next batch of copies.
    void tick(Timestamp now);

    // Whether flows of targets that others dispatch for are still to be handed over.
    bool hasFlowsToHandOver() const;

private:
    // Returns whether there may be more flows to hand over.
    bool handOver(RoutingView const &view, InstanceId self);
    bool hasOwnClaims(RoutingView const &view, InstanceId self) const;
    void promoteCopies(RoutingView const &view, InstanceId self, Timestamp now);
    void sendCopies(RoutingView const &view, InstanceId self);
    void sendRemovals(RoutingView const &view, InstanceId self);

    Blackboard &blackboard;
    Outbox outbox;
    std::mutex mutex; // Guards the members below.
    std::shared_ptr<RoutingView const> lastView;
    bool mayHaveMore = false; // The last batch of a handover was not the last one needed.
    Timestamp lastCopies;
    Timestamp lastHandover;
};

} // namespace almondwing
