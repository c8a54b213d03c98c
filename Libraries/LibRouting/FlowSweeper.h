// Looks over the flows of this instance from time to time: ends those whose target or failure domain is gone,
// reports silent ones, and keeps track of the targets whose flows this instance knows completely.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace almondwing {

// A packet to a target must be answered within this time, if other flows of the target get answers.
constexpr Duration silentAfter = 15s;

// Flows without any packet are forgotten after this time; callers send at least a keepalive every few
// minutes.
constexpr Duration idleAfter = 1h;

// A flow that was handed over and then neither used nor confirmed may have ended meanwhile. Its record is
// dropped without a word; if the flow lives, its next packet is adopted again.
constexpr Duration unconfirmedAfter = 2min;

// All flows are looked over at once after a change of the configuration, soon after any other change of the
// view, and seldom otherwise, because the look takes time in proportion to the flows.
constexpr Duration changeSweepInterval = 1s;
constexpr Duration idleSweepInterval = 5s;

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

    // To be called after each refresh of the routing view.
    void refreshFlowTableStatus(Timestamp now);

    // Looks over all flows if a look is due.
    void tick(Timestamp now);

    // After a pause of the process: a successor may have taken over, so nothing is known completely any more.
    void markFlowTablesPartial(Timestamp now);

    SweepCounters counters() const;

private:
    void endFlow(FlowKey const &key, FlowRecord const &record, Reason reason);
    void dropStaleClaims(RoutingView const &view);
    void completeOldFlowTables(Timestamp now);
    void dropOldRedirects(Timestamp now);
    void dropOldFlowMisses(Timestamp now);

    Blackboard &blackboard;
    Outbox outbox;
    std::mutex mutex; // Guards the following three.
    Timestamp lastSweep;
    std::shared_ptr<RoutingView const> sweptView;
    std::shared_ptr<RoutingView const> knownView;
    std::atomic<std::uint64_t> silent = 0;
    std::atomic<std::uint64_t> targetLost = 0;
    std::atomic<std::uint64_t> takenOut = 0;
    std::atomic<std::uint64_t> idle = 0;
};

} // namespace almondwing
