// The blackboard of a target stand-in: the flows and tries that it knows, its load, and how it is to behave.

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

// What the target is, fixed by the command line.
struct TargetModelSettings
{
    std::string name;
    std::string service;
    std::string failureDomain;
    std::uint32_t slots = 2;
    std::uint32_t connections = 2000;
    std::uint32_t coldSlots = 1; // What it can bear while it is cold.
    std::uint32_t coldSlowdown = 4; // Factor on the service time of a run that overfills a cold target.
    Duration coldFor{}; // After each start.
    RunParameters defaultRunParameters;
    std::uint32_t burstParts = 32; // Parts of one answer sent at once.
    Duration burstInterval = 5ms;

    friend bool operator==(TargetModelSettings const &, TargetModelSettings const &) = default;
};

enum class Admission : std::uint8_t { Normal, ShedEverything };

enum class ReportMode : std::uint8_t { Truth, AlwaysHealthy, AlwaysUnhealthy, NoAnswer };

// Changed through the control surface.
struct TargetBehaviour
{
    std::uint64_t startMark = 0;
    AnnouncedState state = AnnouncedState::Serving;
    Timestamp leavingSince{};
    Timestamp coldUntil{};
    Timestamp frozenUntil{};
    Admission admission = Admission::Normal;
    ReportMode reportMode = ReportMode::Truth;
    std::optional<double> reportedLoad; // A lie, if set.
    Duration reportLag{};

    bool isCold(Timestamp now) const { return now < this->coldUntil; }
    bool isFrozen(Timestamp now) const { return now < this->frozenUntil; }

    friend bool operator==(TargetBehaviour const &, TargetBehaviour const &) = default;
};

enum class FlowLiveness : std::uint8_t { Normal, Silent };

struct TargetFlow
{
    Endpoint lastFrom; // Where its answers and notices go.
    FlowLiveness liveness = FlowLiveness::Normal;
    std::uint64_t received = 0;

    friend bool operator==(TargetFlow const &, TargetFlow const &) = default;
};

enum class TryState : std::uint8_t { Running, Answering, Answered, Shed, Cancelled, Expired };

struct TargetTry
{
    RequestKey key;
    TryState state = TryState::Running;
    Endpoint from;
    std::size_t answerSize = 0;
    Timestamp changedAt{};

    friend bool operator==(TargetTry const &, TargetTry const &) = default;
};

// What tests look at afterwards.
struct TargetCounts
{
    std::uint64_t packets = 0;
    Timestamp lastPacket{}; // R4: after an operator took the failure domain out, this stays.
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsRefused = 0;
    std::uint64_t runsStarted = 0;
    std::uint64_t runsAnswered = 0;
    std::uint64_t runsShed = 0;
    std::uint64_t runsCancelled = 0;
    std::uint64_t runsExpired = 0;
    std::uint64_t overfilledWhileCold = 0; // R3: runs beyond what a cold target bears.
    std::uint64_t foreignPackets = 0; // R2: packets of another service.
    std::uint64_t workWhileLeaving = 0; // New flows and runs while it leaves.
    Duration lastWorkAfterLeaving{}; // R8: how long after the start of the drain the last of them came.

    friend bool operator==(TargetCounts const &, TargetCounts const &) = default;
};

struct TargetBoard
{
    ShardedTable<FlowKey, TargetFlow> flows;
    ShardedTable<std::uint64_t, TargetTry> tries; // By try id.
    Cell<TargetLoad> load;
    LoadHistory history; // Of the load.
    Cell<TargetBehaviour> behaviour;
    Cell<TargetCounts> counts;
};

struct TargetHooks
{
    std::function<void(Endpoint, TargetMessage const &)> send;
    std::function<void(Duration, std::function<void()>)> schedule;
    std::function<void(RunRequest const &)> recordStart; // Before the run starts.
    std::function<Timestamp()> now; // For actions that schedule() runs later.
};

// Replaces the load by what `change` makes of it; `change` is a pure function and may run more than once.
template<typename Change>
void changeLoad(TargetBoard &board, Timestamp now, Change const &change)
{
    board.history.add(now, *board.load.update(change));
}

// Counts a new flow or run and notes whether the target was leaving.
void countNewWork(TargetBoard &board, Timestamp now);

template<typename Change>
void count(TargetBoard &board, Change const &change)
{
    board.counts.update([&](TargetCounts counts) {
        change(counts);
        return counts;
    });
}

} // namespace almondwing
