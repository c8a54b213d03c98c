// Moves the flows of a target to its next dispatcher, and copies exceptions to the replica group of the
// target.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <mutex>

namespace almondwing {

// One ExceptionUpdate carries at most this many flows, to fit into a datagram.
constexpr std::size_t flowsPerUpdate = 40;

// Copies of exceptions are paced to one full update of about 1 KB each second, half of the control budget of
// an instance.
constexpr Duration copyInterval = 1s;

// A planned handover is short and must end before the instance stops, so it runs faster than the copies.
constexpr Duration handoverInterval = 20ms;

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
    void handOver(RoutingView const &view, InstanceId self);
    void promoteCopies(RoutingView const &view, InstanceId self, Timestamp now);
    void sendCopies(RoutingView const &view, InstanceId self);
    void sendRemovals(RoutingView const &view, InstanceId self);

    Blackboard &blackboard;
    Outbox outbox;
    std::mutex mutex; // Guards the times below.
    Timestamp lastCopies;
    Timestamp lastHandover;
};

} // namespace almondwing
