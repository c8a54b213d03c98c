// The registry of targets on the blackboard: soft state from heartbeats. Records are merged by (start,
// sequence), so copies on several instances agree whatever the order in which they exchange them.

#pragma once

#include <LibBlackboard/ShardedTable.h>
#include <LibRegistry/RegisteredTarget.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

struct RegistrySettings
{
    Duration heartbeatInterval = 1200ms; // As the platform announces it.
    // A target whose heartbeats stop gets no new flows after this many intervals and the margin. A target
    // tries the next control instance after 1 s without an answer.
    int missedHeartbeats = 2;
    Duration heartbeatMargin = 1200ms;
    // Records stay this long after the last heartbeat, so that packets of the last flows find their target.
    Duration retention = 60s;
};

enum class MergeOutcome : std::uint8_t {
    Unchanged, // Older than what is known, or the same.
    Refreshed, // Only the time of the latest heartbeat moved.
    Changed, // The record means something new for routing.
};

struct RegistryEntry
{
    RegisteredTarget target;
    std::uint64_t changeGeneration = 0; // Of the latest change that matters for routing.
    std::uint64_t refreshGeneration = 0; // Of the latest heartbeat; at least changeGeneration.
    Endpoint reporter; // The control instance that sent the record here; none if the target itself did.

    friend bool operator==(RegistryEntry const &, RegistryEntry const &) = default;
};

struct EndpointHolder
{
    TargetNumber number;
    std::int64_t startUnixMilliseconds = 0;

    friend bool operator==(EndpointHolder const &, EndpointHolder const &) = default;
};

// Changes that matter for routing, the oldest first. Whoever has them knows all up to lastGeneration.
struct RegistryChanges
{
    std::vector<RegisteredTarget> targets;
    std::uint64_t lastGeneration = 0;
    bool isTruncated = false; // There were more than asked for.

    friend bool operator==(RegistryChanges const &, RegistryChanges const &) = default;
};

class TargetRegistry
{
public:
    explicit TargetRegistry(RegistrySettings registrySettings) : settings(registrySettings) { }

    // Takes over a heartbeat or a record of another instance if it is later than what is known.
    MergeOutcome merge(RegisteredTarget const &report, Timestamp now, Endpoint reporter = {});

    // A heartbeat without a change, as another instance tells it. Nothing if the record is not known here:
    // the other instance sends it whole.
    MergeOutcome mergeHeartbeat(RegisteredTarget const &heard, Timestamp now, Endpoint reporter);

    // The target has ended for certain; nothing if its start is later than the given one.
    MergeOutcome markGone(TargetNumber number, std::int64_t startUnixMilliseconds, Timestamp now);

    // Targets that come back with their failure domain may be cold until a heartbeat after `now` says
    // otherwise.
    void markCold(std::string const &failureDomain, Timestamp until);

    // Drops records that nobody needs any more.
    void removeExpired(Timestamp now);

    std::optional<RegisteredTarget> find(TargetNumber number) const;
    std::vector<RegisteredTarget> all() const;

    // Targets that are ready by their latest report, but whose heartbeats have stopped; in ascending order.
    std::vector<TargetNumber> overdue(Timestamp now) const;

    // Whether the heartbeats have stopped, so that new flows should go elsewhere.
    bool isOverdue(RegisteredTarget const &target, Timestamp now) const;

    // Grows with each change or heartbeat.
    std::uint64_t generation() const { return this->lastGeneration.load(std::memory_order_acquire); }
    // Grows only with changes that matter for routing.
    std::uint64_t changeGeneration() const { return this->lastChange.load(std::memory_order_acquire); }

    // Entries with a change (or a heartbeat) after the generation.
    std::vector<RegistryEntry> changedAfter(std::uint64_t generation) const;
    std::vector<RegistryEntry> refreshedAfter(std::uint64_t generation) const;

    // The oldest changes after the generation, `atMost` of them (at least one).
    RegistryChanges oldestChangesAfter(std::uint64_t generation, std::size_t atMost) const;

private:
    // Makes one change at a time, under the next generation, and publishes that after the change: a reader
    // who has seen a generation finds every change up to it.
    MergeOutcome changeInOrder(std::function<MergeOutcome(std::uint64_t generation)> const &change);
    MergeOutcome store(RegisteredTarget const &report, Timestamp now, Endpoint reporter);
    void endPredecessor(RegisteredTarget const &report, Timestamp now);
    bool hasSuccessor(RegisteredTarget const &report) const;

    RegistrySettings settings;
    ShardedTable<TargetNumber, RegistryEntry, 16> entries;
    // The target with the latest start that was reported at an endpoint.
    ShardedTable<Endpoint, EndpointHolder, 16> holders;
    std::mutex changeMutex; // Held while a change is made under a new generation.
    std::atomic<std::uint64_t> lastGeneration{0}; // Written while `changeMutex` is held, like lastChange.
    std::atomic<std::uint64_t> lastChange{0}; // At most lastGeneration.
};

} // namespace almondwing
