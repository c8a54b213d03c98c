// Keeps the records of the targets that this instance dispatches for: announcements, ramp, health, drain.
//
// All methods may be called from several threads. The progress of a target is changed by pure functions, and
// its record on the blackboard is derived from the progress, so that two threads never publish a mixture.
// Only the dispatcher of a target writes its record, and only while it holds its lease.

#pragma once

#include <LibMessages/Outbox.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/Blackboard.h>
#include <LibTargets/TargetProgress.h>
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
    NameClash, // Another process of this name at another endpoint was heard a short time ago.
    OutdatedStartMark, // A late announcement of a process that has been replaced.
    NotServing, // This instance is joining, leaving or without a lease.
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

// A look at the endpoints of a target that is due.
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
    std::uint64_t doubtedHealthViews = 0;

    friend bool operator==(TargetCounters const &, TargetCounters const &) = default;
};

class TargetController
{
public:
    TargetController(Blackboard &board, TargetSettings const &targetSettings, Outbox hooks);

    AnnouncementOutcome handleAnnouncement(TargetAnnouncement const &announcement, Timestamp now);

    // The result of a check from takeDueHealthChecks; `answer` is NoAnswer when the endpoint could not be
    // reached.
    void handleHealthReport(TargetId target, HealthReport const &report, Timestamp now);

    // To be called about every 250 ms.
    void tick(Timestamp now);

    // The checks that are due; each target is due once in a check interval, spread over it by its id.
    std::vector<HealthCheck> takeDueHealthChecks(Timestamp now);

    // Targets for which this instance has become dispatcher, or has stopped to be, since the last call.
    std::vector<TargetId> collectTakenOver();
    std::vector<TargetId> collectHandedOver();

    TargetCounters counters() const;

private:
    // The full limits by service, computed once for each version of the configuration.
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

    bool isServing() const;
    Members members() const;
    std::shared_ptr<ServiceIndex const> serviceIndex();
    TargetUsage usageOf(TargetId target) const;
    TargetSituation situationOf(TargetRecord const &record);
    DrainOrder drainOrderOf(std::string const &name) const;

    std::optional<AnnouncementRejection> checkAnnouncement(TargetAnnouncement const &announcement);
    AnnouncementOutcome applyAsDispatcher(TargetAnnouncement const &announcement, TargetId target,
                                          Timestamp now);
    void addTarget(TargetAnnouncement const &announcement, TargetId target, Timestamp now);
    void voidInheritedWork(TargetId target);

    // Takes over the targets that this instance now dispatches for and gives up the others. Returns its own.
    std::vector<TargetRecord> settleOwnership(std::vector<TargetRecord> const &records, Timestamp now);
    void takeOver(TargetRecord const &record, Timestamp now);
    void giveUp(TargetId target);
    void evaluateRamp(TargetRecord const &record, Timestamp now);
    void evaluateHealth(std::vector<TargetRecord> const &records, std::vector<TargetRecord> const &own,
                        Timestamp now);
    void excludeUnlessDoubted(ServiceId service, std::vector<TargetId> const &failing, std::size_t unhealthy,
                              std::size_t total, Timestamp now);
    void changeInclusion(TargetId target, Inclusion inclusion, Timestamp now);
    void publish(TargetId target, Timestamp now);
    void publishGone(TargetRecord const &record);
    void queueUpdate(TargetId target);
    void forgetGone(std::vector<TargetRecord> const &records, Timestamp now);
    void reportChange(std::optional<TargetRecord> const &before, TargetRecord const &after) const;

    Blackboard &blackboard;
    TargetSettings settings;
    Outbox outbox;

    // Holds exactly the targets that this instance dispatches for and whose records it may write.
    ShardedTable<TargetId, TargetProgress, 16> progress;
    ShardedTable<TargetId, Timestamp, 16> goneSince;
    ShardedTable<ServiceId, Timestamp, 16> doubtedUntil;
    Cell<ServiceIndex> services;
    Cell<std::vector<TargetId>> newlyTakenOver;
    Cell<std::vector<TargetId>> newlyHandedOver;
    Cell<TargetCounters> totals;
};

} // namespace almondwing
