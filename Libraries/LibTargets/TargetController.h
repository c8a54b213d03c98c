// Maintains the records of the targets that this instance dispatches for, from their announcements, health
// checks, ramp and drain state. almondwingd uses it; the targets of almondwing-node are those of LibRegistry.
//
// All methods may be called from several threads. Pure functions change the OwnedTarget of a target, and its
// record on the blackboard is derived from that, so two threads never publish a mixture of two states. Only
// the dispatcher of a target writes its record, and only while it holds its lease.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/Blackboard.h>
#include <LibTargets/OwnedTarget.h>
#include <LibTargets/TargetSettings.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace almondwing {

enum class AnnouncementRejection : std::uint8_t {
    InvalidName,
    UnknownService,
    WrongFailureDomain,
    NameClash, // Another process with this name at another endpoint was active a short time ago.
    OutdatedStartMark, // The announcement comes late from a process that has been replaced.
    NotServing, // This instance is joining or leaving, or has no lease.
};

struct AnnouncementAccepted
{
    friend bool operator==(AnnouncementAccepted const &, AnnouncementAccepted const &) = default;
};

// Another instance dispatches for the target.
struct AnnouncementRedirected
{
    InstanceId dispatcher;

    friend bool operator==(AnnouncementRedirected const &, AnnouncementRedirected const &) = default;
};

struct AnnouncementRejected
{
    AnnouncementRejection reason = AnnouncementRejection::NotServing;

    friend bool operator==(AnnouncementRejected const &, AnnouncementRejected const &) = default;
};

using AnnouncementOutcome = std::variant<AnnouncementAccepted, AnnouncementRedirected, AnnouncementRejected>;

// A health check that is due.
struct HealthCheck
{
    TargetId target;
    Endpoint httpEndpoint;

    friend bool operator==(HealthCheck const &, HealthCheck const &) = default;
};

struct TargetCounters
{
    std::uint64_t announcements = 0;
    std::uint64_t rejectedAnnouncements = 0;
    std::uint64_t recordWrites = 0;
    std::uint64_t massFailures = 0;

    friend bool operator==(TargetCounters const &, TargetCounters const &) = default;
};

class TargetController
{
public:
    TargetController(Blackboard &board, TargetSettings const &targetSettings, Outbox hooks);

    AnnouncementOutcome handleAnnouncement(TargetAnnouncement const &announcement, Timestamp now);

    // Handles the result of a check from takeDueHealthChecks(). `answer` is NoAnswer if the endpoint could
    // not be reached.
    void handleHealthReport(TargetId target, HealthReport const &report, Timestamp now);

    // Must be called about every 250 ms.
    void tick(Timestamp now);

    // Returns the checks that are due and schedules the next ones. Each target is checked once in a check
    // interval, at an offset that depends on its id, so that the checks are spread over the interval.
    std::vector<HealthCheck> takeDueHealthChecks(Timestamp now);

    // Return the known targets that this instance took over, or handed over, since the last call.
    std::vector<TargetId> collectTakenOver();
    std::vector<TargetId> collectHandedOver();

    TargetCounters counters() const;

private:
    // Names and full limits by service, computed once for each version of the configuration.
    struct ServiceIndex
    {
        std::optional<std::uint64_t> configurationVersion{};
        struct Entry
        {
            std::string name;
            TargetLimits limits;

            friend bool operator==(Entry const &, Entry const &) = default;
        };
        std::unordered_map<ServiceId, Entry> services;

        friend bool operator==(ServiceIndex const &, ServiceIndex const &) = default;
    };

    using Members = std::vector<MemberRecord>;

    bool isServingWithLease() const;
    Members members() const;
    std::shared_ptr<ServiceIndex const> serviceIndex();
    TargetUsage usageOf(TargetId target) const;
    TargetInputs inputsOf(TargetRecord const &record);
    ConfiguredDrain configuredDrainOf(std::string const &name) const;

    std::optional<AnnouncementRejection> validateAnnouncement(TargetAnnouncement const &announcement);
    AnnouncementOutcome applyAsDispatcher(TargetAnnouncement const &announcement, TargetId target,
                                          Timestamp now);
    void addTarget(TargetAnnouncement const &announcement, TargetId target, Timestamp now);
    void clearInheritedWork(TargetId target);

    // Takes over the targets whose dispatcher this instance has become and hands over the others. Returns the
    // targets that it owns.
    std::vector<TargetRecord> updateOwnership(std::vector<TargetRecord> const &records, Timestamp now);
    void takeOver(TargetRecord const &record, Timestamp now);
    void handOver(TargetId target);
    void evaluateRamp(TargetRecord const &record, Timestamp now);
    void evaluateHealth(std::vector<TargetRecord> const &records, std::vector<TargetRecord> const &own,
                        Timestamp now);
    void excludeUnlessMassFailure(ServiceId service, std::vector<TargetId> const &failingOrExcluded,
                                  std::size_t unhealthyElsewhere, std::size_t total, Timestamp now);
    void setInclusion(TargetId target, Inclusion inclusion, Timestamp now);
    void publish(TargetId target, Timestamp now);
    void publishGone(TargetRecord const &record);
    void queueUpdate(TargetId target);
    void expireGoneTargets(std::vector<TargetRecord> const &records, Timestamp now);
    void reportChange(std::optional<TargetRecord> const &before, TargetRecord const &after) const;

    Blackboard &blackboard;
    TargetSettings settings;
    Outbox outbox;

    // Exactly the targets that this instance dispatches for and whose records it may write.
    ShardedTable<TargetId, OwnedTarget, 16> ownedTargets;
    ShardedTable<TargetId, Timestamp, 16> goneSince;
    ShardedTable<ServiceId, Timestamp, 16> exclusionsPausedUntil;
    Cell<ServiceIndex> services;
    Cell<std::vector<TargetId>> newlyTakenOver;
    Cell<std::vector<TargetId>> newlyHandedOver;
    Cell<TargetCounters> totals;
};

} // namespace almondwing
