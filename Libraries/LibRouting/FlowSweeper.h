// Periodically checks the flows of this instance. It ends flows whose target or failure domain is gone, ends
// and reports flows that the target does not answer, and keeps track of the targets for which the flow table
// of this instance is complete.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace almondwing {

// A flow is ended if its target does not answer a packet within this time although it answers other flows.
constexpr Duration answerTimeout = 15s;

// Flows without a packet are ended after this time; callers send at least a keepalive every few minutes.
constexpr Duration flowIdleTimeout = 1h;

// An adopted flow without a packet for this long may have ended before it was adopted. Its record is dropped
// without notice to the caller; if the flow still exists, its next packet is adopted again.
constexpr Duration adoptionConfirmTimeout = 2min;

// All flows are swept immediately after a change of the configuration, soon after another change of the
// routing view, and less often otherwise, because the duration of a sweep is proportional to the number of
// flows.
constexpr Duration changeSweepInterval = 1s;
constexpr Duration regularSweepInterval = 5s;

struct SweepCounters
{
    std::uint64_t silent = 0;
    std::uint64_t targetLost = 0;
    std::uint64_t takenOut = 0;
    std::uint64_t idle = 0;

    friend bool operator==(SweepCounters const &, SweepCounters const &) = default;
};

class FlowSweeper
{
public:
    FlowSweeper(Blackboard &blackboard, Outbox outbox);

    // Must be called after each refresh of the routing view.
    void refreshFlowTableStatus(Timestamp now);

    // Sweeps all flows if a sweep is due.
    void tick(Timestamp now);

    // Must be called after a pause of the process: a successor may have taken over and opened flows, so no
    // flow table is complete any more.
    void markFlowTablesPartial(Timestamp now);

    SweepCounters counters() const;

private:
    void endFlow(FlowKey const &key, FlowRecord const &record, Reason reason);
    void dropStaleClaims(RoutingView const &view);
    void markOldFlowTablesComplete(Timestamp now);
    void dropOldRedirects(Timestamp now);
    void dropOldTargetsWithoutFlow(Timestamp now);

    Blackboard &blackboard;
    Outbox outbox;
    std::mutex mutex; // Guards the three members below.
    Timestamp lastSweep;
    std::shared_ptr<RoutingView const> sweptView; // The view of the last sweep.
    std::shared_ptr<RoutingView const> flowTableView; // The view of the last refresh of flow table states.
    std::atomic<std::uint64_t> silent = 0;
    std::atomic<std::uint64_t> targetLost = 0;
    std::atomic<std::uint64_t> takenOut = 0;
    std::atomic<std::uint64_t> idle = 0;
};

} // namespace almondwing
