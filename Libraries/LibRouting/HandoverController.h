// Hands the flows of a target over to its next dispatcher, and copies exceptions to the replica group of the
// target. An exception is a flow whose bucket is assigned to another target than the one that has the flow.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <memory>
#include <mutex>

namespace almondwing {

// One ExceptionUpdate carries at most this many flows, so that it fits into a datagram.
constexpr std::size_t flowsPerUpdate = 40;

// Copies of exceptions are limited to this many flows per second over all receivers. That is about 1 KB/s,
// half of the control traffic budget of an instance.
constexpr std::size_t copiesPerSecond = 32;
constexpr Duration copyInterval = 1s;

// The interval between the batches of a handover. A planned handover is short and must end before the
// instance stops, so it runs faster than the copies.
constexpr Duration handoverInterval = 20ms;

// All flows are checked for a handover when the routing view has changed, and at this interval otherwise.
constexpr Duration regularHandoverInterval = 5s;

// A process that has just started may receive a handover before it has the record of the target. Membership
// messages deliver the record within 2 s, or within several times that under load. After this time the target
// is considered gone.
constexpr Duration unknownTargetRetention = 10s;

class HandoverController
{
public:
    HandoverController(Blackboard &blackboard, Outbox outbox);

    void handleUpdate(ExceptionUpdate const &update, Timestamp now);

    // Hands over flows whose target now has another dispatcher, promotes copies to flow records for targets
    // that this instance now dispatches for, and sends the next batch of copies.
    void tick(Timestamp now);

    // Whether this instance has flows of targets that other instances dispatch for.
    bool hasFlowsToHandOver() const;

private:
    // Returns whether there may be more flows to hand over.
    bool handOver(RoutingView const &view, InstanceId self);
    bool mayHaveCopiesToSend(RoutingView const &view, InstanceId self) const;
    void promoteCopies(RoutingView const &view, InstanceId self, Timestamp now);
    void sendCopies(RoutingView const &view, InstanceId self);
    void sendRemovals(RoutingView const &view, InstanceId self);

    Blackboard &blackboard;
    Outbox outbox;
    std::mutex mutex; // Guards the members below.
    std::shared_ptr<RoutingView const> lastView;
    bool hasMoreToHandOver = false; // The last batch may not have contained all flows to hand over.
    Timestamp lastCopies;
    Timestamp lastHandover;
};

} // namespace almondwing
