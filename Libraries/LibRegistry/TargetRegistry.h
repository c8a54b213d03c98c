// The registry of targets on the blackboard: soft state from heartbeats. almondwing-node uses it; the target
// records of almondwingd are those of LibTargets. Records are merged by (start, sequence), so the copies on
// several instances converge in whatever order they exchange records.
//
// A report is a heartbeat of a target or a record from another instance. The registry numbers the changes and
// heartbeats that it stores; these numbers are its generations.

#pragma once

#include <LibBlackboard/ShardedTable.h>
#include <LibRegistry/RegisteredTarget.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

struct RegistrySettings
{
    Duration heartbeatInterval = 1200ms; // The interval that the targets' platform specifies.
    // A target gets no new flows when no heartbeat has arrived for this many intervals plus the margin. The
    // margin allows for a target that tries the next control instance after 1 s without an answer.
    int missedHeartbeats = 2;
    Duration heartbeatMargin = 1200ms;
    // Records are kept for this time after the last heartbeat, so that packets of the last flows still reach
    // their target.
    Duration retention = 60s;
};

enum class MergeOutcome : std::uint8_t {
    Unchanged, // Nothing is stored, for example because the report is not newer or its run has ended.
    Refreshed, // The report is newer, but changes nothing that matters for routing.
    Changed, // The record has changed in a way that matters for routing.
    // Nothing is stored, because the heartbeat refers to a run of the target whose record is not known here,
    // or only that of an earlier run.
    // Only mergeHeartbeat() returns this.
    UnknownRun,
};

struct RegistryEntry
{
    RegisteredTarget target;
    std::uint64_t changeGeneration = 0; // Of the latest change that matters for routing.
    std::uint64_t refreshGeneration = 0; // Of the latest change or heartbeat; at least changeGeneration.
    // The control instance that sent the latest merged report; empty after a heartbeat that the target sent
    // to this instance, and after markGone() and markCold().
    Endpoint reporter;

    friend bool operator==(RegistryEntry const &, RegistryEntry const &) = default;
};

// The target with the latest start among those reported at an endpoint for a defined service.
struct EndpointOwner
{
    TargetNumber number;
    std::int64_t startUnixMilliseconds = 0;

    friend bool operator==(EndpointOwner const &, EndpointOwner const &) = default;
};

// Changes that matter for routing, oldest first. They include all changes up to lastGeneration.
struct RegistryChanges
{
    std::vector<RegisteredTarget> targets;
    std::uint64_t lastGeneration = 0;
    bool isTruncated = false; // There are more changes than the requested number.

    friend bool operator==(RegistryChanges const &, RegistryChanges const &) = default;
};

struct TargetRegistryHooks
{
    // Whether the configuration in force defines the service. Reports for other services are stored, because
    // a later configuration may define them, but they never end or replace a target of a defined service:
    // they may come from a writer that is not a target.
    std::function<bool(std::string const &service)> isServiceDefined = [](std::string const &) {
        return true;
    };
    // Whether the failure domain belongs to the deployment. A record that names another one is not from a
    // target of the deployment and is not stored.
    std::function<bool(std::string const &failureDomain)> isDomainKnown = [](std::string const &) {
        return true;
    };
};

class TargetRegistry
{
public:
    explicit TargetRegistry(RegistrySettings registrySettings, TargetRegistryHooks registryHooks = {})
        : settings(registrySettings), hooks(std::move(registryHooks))
    {
    }

    // Merges a heartbeat, a stored record or a record of another instance, if it is not outdated and names a
    // target that may be used (see mayBeUsed()). State Gone acts like markGone().
    MergeOutcome merge(RegisteredTarget const &report, Timestamp now, Endpoint reporter = {});

    // Merges a heartbeat without a change that another instance relays. The result is UnknownRun if the
    // target is alive, but the record of this run has expired here or never arrived.
    MergeOutcome mergeHeartbeat(RegisteredTarget const &heartbeat, Timestamp now, Endpoint reporter);

    // Marks a target as Gone. Does nothing if it has started again after the given start.
    MergeOutcome markGone(TargetNumber number, std::int64_t startUnixMilliseconds, Timestamp now);

    // Treats all targets of a failure domain as cold until the given time, since they may be cold when it
    // returns to service. The next report of a target that merge() stores replaces this time.
    void markCold(std::string const &failureDomain, Timestamp until);

    // Returns InvalidArgument if the record is not valid (see checkRecord()) or its failure domain is
    // unknown.
    absl::Status mayBeUsed(RegisteredTarget const &report) const;

    // Removes records whose retention has ended.
    void removeExpired(Timestamp now);

    std::optional<RegisteredTarget> find(TargetNumber number) const;
    std::vector<RegisteredTarget> all() const;

    // Returns the targets in state Ready whose heartbeats have stopped, in ascending order.
    std::vector<TargetNumber> overdue(Timestamp now) const;

    // Returns whether the heartbeats have stopped, so that new flows should go to other targets.
    bool isOverdue(RegisteredTarget const &target, Timestamp now) const;

    // Increases with each change or heartbeat.
    std::uint64_t generation() const { return this->lastGeneration.load(std::memory_order_acquire); }
    // Increases only with changes that matter for routing.
    std::uint64_t changeGeneration() const { return this->lastChange.load(std::memory_order_acquire); }

    // Return the entries whose changeGeneration, or whose refreshGeneration, is above the given generation.
    std::vector<RegistryEntry> changedAfter(std::uint64_t generation) const;
    std::vector<RegistryEntry> refreshedAfter(std::uint64_t generation) const;

    // Returns the oldest changes after the generation, at most `limit`, which must be at least 1.
    RegistryChanges oldestChangesAfter(std::uint64_t generation, std::size_t limit) const;

private:
    // Makes one change at a time under the next generation and publishes that generation after the change. A
    // reader that has read a generation therefore finds every change up to it.
    MergeOutcome commitChange(std::function<MergeOutcome(std::uint64_t generation)> const &change);
    MergeOutcome store(RegisteredTarget const &report, Timestamp now, Endpoint reporter);
    void takeOverEndpoint(RegisteredTarget const &report, Timestamp now);
    bool isSuperseded(RegisteredTarget const &report) const;
    bool isForeignReport(RegisteredTarget const &report) const;

    RegistrySettings settings;
    TargetRegistryHooks hooks;
    ShardedTable<TargetNumber, RegistryEntry, 16> entries;
    ShardedTable<Endpoint, EndpointOwner, 16> endpointOwners;
    std::mutex changeMutex; // Held while a change is made under a new generation.
    std::atomic<std::uint64_t> lastGeneration{0}; // Written under changeMutex, as is lastChange.
    std::atomic<std::uint64_t> lastChange{0}; // At most lastGeneration.
};

} // namespace almondwing
