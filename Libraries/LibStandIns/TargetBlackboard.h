// The blackboard of a target stand-in: its flows and tries, its load, its simulated behaviour and its
// counters.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>
#include <LibCore/Endpoint.h>
#include <LibMessages/PeerMessages.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibStandIns/AnswerBody.h>
#include <LibStandIns/LoadHistory.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace almondwing {

// The properties of a target, set on the command line.
struct TargetModelSettings
{
    std::string name;
    std::string service;
    std::string failureDomain;
    std::uint32_t slots = 2;
    std::uint32_t connections = 2000;
    std::uint32_t coldSlots = 1; // Concurrent runs that a cold target handles without slowing down.
    std::uint32_t coldSlowdown = 4; // Service time multiplier of a run beyond coldSlots on a cold target.
    // After each start the target is cold for this time: runs beyond coldSlots take coldSlowdown times as
    // long.
    Duration coldDuration{};
    RunParameters defaultRunParameters;
    std::uint32_t burstParts = 32; // Maximum number of parts of one answer sent in a burst.
    Duration burstInterval = 5ms;

    friend bool operator==(TargetModelSettings const &, TargetModelSettings const &) = default;
};

enum class Admission : std::uint8_t { Normal, ShedAll };

enum class ReportMode : std::uint8_t { Accurate, AlwaysHealthy, AlwaysUnhealthy, NoAnswer };

// The simulated behaviour of a target, changed through its control endpoint.
struct TargetBehaviour
{
    std::uint64_t startMark = 0;
    AnnouncedState state = AnnouncedState::Serving;
    Timestamp leavingSince{};
    Timestamp coldUntil{};
    Timestamp frozenUntil{};
    Admission admission = Admission::Normal;
    ReportMode reportMode = ReportMode::Accurate;
    std::optional<double> reportedLoad; // Reported instead of the actual load if set.
    Duration reportLag{};

    bool isCold(Timestamp now) const { return now < this->coldUntil; }
    bool isFrozen(Timestamp now) const { return now < this->frozenUntil; }

    friend bool operator==(TargetBehaviour const &, TargetBehaviour const &) = default;
};

enum class FlowLiveness : std::uint8_t { Normal, Silent };

struct TargetFlow
{
    Endpoint lastSender; // Sender of the last packet; destination of replies and notices.
    FlowLiveness liveness = FlowLiveness::Normal;
    std::uint64_t received = 0;

    friend bool operator==(TargetFlow const &, TargetFlow const &) = default;
};

enum class TryState : std::uint8_t { Running, Answering, Answered, Shed, Cancelled, Expired };

struct TargetTry
{
    RequestKey key;
    TryState state = TryState::Running;
    Endpoint from; // Sender of the run request; destination of the answer.
    std::size_t answerSize = 0;
    Timestamp changedAt{};

    friend bool operator==(TargetTry const &, TargetTry const &) = default;
};

// Counters that tests check.
struct TargetCounts
{
    std::uint64_t packets = 0;
    // A failure domain that an operator has taken out of service gets no packets, so the time must not change
    // any more.
    Timestamp lastPacket{};
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsRefused = 0;
    std::uint64_t runsStarted = 0;
    std::uint64_t runsAnswered = 0;
    std::uint64_t runsShed = 0;
    std::uint64_t runsCancelled = 0;
    std::uint64_t runsExpired = 0;
    std::uint64_t overfilledWhileCold =
        0; // Runs beyond coldSlots on a cold target; the ramp must prevent them.
    std::uint64_t foreignPackets = 0; // Packets of another service; none may arrive.
    std::uint64_t workWhileLeaving = 0; // New flows and runs while the target is leaving.
    // Time from the change to AnnouncedState::Leaving until the last new flow or run. It must
    // stay short, because a leaving target must get no new work.
    Duration lastWorkWhileLeaving{};

    friend bool operator==(TargetCounts const &, TargetCounts const &) = default;
};

struct TargetBlackboard
{
    ShardedTable<FlowKey, TargetFlow> flows;
    ShardedTable<std::uint64_t, TargetTry> tries; // Keyed by try id.
    Cell<TargetLoad> load;
    LoadHistory history;
    Cell<TargetBehaviour> behaviour;
    Cell<TargetCounts> counts;
};

struct TargetHooks
{
    std::function<void(Endpoint, TargetMessage const &)> send;
    std::function<void(Duration, std::function<void()>)> schedule;
    std::function<void(RunRequest const &)> recordStart; // Called before a run starts.
    std::function<Timestamp()> now; // Used by actions that schedule() runs later.
};

// Replaces the load by the result of `change`. It may run more than once, so its result must depend on its
// argument only.
template<typename Change>
void updateLoad(TargetBlackboard &blackboard, Timestamp now, Change const &change)
{
    blackboard.history.add(now, *blackboard.load.update(change));
}

// Counts a new flow or run if the target is leaving. Defined in TargetFlows.cpp.
void countWorkWhileLeaving(TargetBlackboard &blackboard, Timestamp now);

template<typename Change>
void updateCounts(TargetBlackboard &blackboard, Change const &change)
{
    blackboard.counts.update([&](TargetCounts counts) {
        change(counts);
        return counts;
    });
}

} // namespace almondwing
