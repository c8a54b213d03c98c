// Derives target records.

#include <LibTargets/TargetProgress.h>

#include <LibTargets/TargetSettings.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A change of the coarse count is worth a message only above this part of the limit.
constexpr std::uint32_t coarseCountParts = 8;

std::uint32_t coarseConnections(std::uint32_t published, std::uint32_t connections, TargetLimits full)
{
    auto const [low, high] = std::minmax(published, connections);
    return high - low > full.connections / coarseCountParts ? connections : published;
}

TargetState stateOf(TargetProgress const &progress, DrainOrder order, std::uint8_t level)
{
    if (isDraining(progress, order))
        return TargetState::Draining;
    if (progress.health.inclusion == Inclusion::Excluded)
        return TargetState::Unhealthy;
    return level == maxRampLevel ? TargetState::Warm : TargetState::Starting;
}

bool hasWork(TargetUsage const &usage, Timestamp now)
{
    bool const hasInherited =
        now < usage.inheritedUntil && usage.inheritedSlots + usage.inheritedConnections > 0;
    return usage.busySlots + usage.connections > 0 || hasInherited;
}

} // namespace

TargetProgress progressOfNewTarget(TargetAnnouncement const &announcement, TargetUsage const &usage,
                                   Timestamp now)
{
    return TargetProgress{.announcement = announcement,
                          .lastAnnounced = now,
                          .nextCheck = now,
                          .ramp = startRamp(0, RampCounts::of(usage), now),
                          .health = startHealth(usage, now),
                          .load = {}};
}

TargetProgress progressAtTakeover(TargetRecord const &record, std::string const &service, DrainOrder order,
                                  TargetUsage const &usage, Timestamp now)
{
    // Without an order only an announcement can have put the target into this state.
    bool const isLeaving = record.state == TargetState::Draining && order == DrainOrder::None;
    auto progress = progressOfNewTarget(
        TargetAnnouncement{.name = record.name,
                           .service = service,
                           .failureDomain = record.failureDomain,
                           .packetEndpoint = record.packetEndpoint,
                           .httpEndpoint = record.httpEndpoint,
                           .startMark = record.startMark,
                           .state = isLeaving ? AnnouncedState::Leaving : AnnouncedState::Serving},
        usage, now);
    progress.origin = Origin::TakenOver;
    progress.ramp = startRamp(record.rampLevel, RampCounts::of(usage), now);
    if (record.state == TargetState::Unhealthy)
        progress.health = exclude(progress.health, now);
    return progress;
}

TargetProgress applyAnnouncement(TargetProgress const &progress, TargetAnnouncement const &announcement,
                                 TargetUsage const &usage, Timestamp now)
{
    if (announcement.startMark == progress.announcement.startMark) {
        auto next = progress;
        next.announcement = announcement;
        next.lastAnnounced = now;
        next.health.lastSignOfLife = now;
        return next;
    }
    auto next = progressOfNewTarget(announcement, usage, now);
    next.previousStartMark = progress.announcement.startMark;
    next.nextCheck = progress.nextCheck;
    return next;
}

bool isNameClash(TargetProgress const &progress, TargetAnnouncement const &announcement,
                 TargetUsage const &usage, Timestamp now)
{
    auto const &present = progress.announcement;
    if (announcement.startMark == present.startMark || announcement.packetEndpoint == present.packetEndpoint)
        return false;
    return now - std::max(progress.lastAnnounced, usage.lastReceived) < clashPeriod;
}

AnnouncementAge announcementAge(TargetProgress const &progress, Timestamp now)
{
    return now - progress.lastAnnounced < announcementLimit ? AnnouncementAge::Recent
                                                            : AnnouncementAge::Missing;
}

bool isDraining(TargetProgress const &progress, DrainOrder order)
{
    return order == DrainOrder::Drain || progress.announcement.state == AnnouncedState::Leaving;
}

std::uint32_t connectionsInUse(TargetUsage const &usage, Timestamp now)
{
    return usage.connections + (now < usage.inheritedUntil ? usage.inheritedConnections : 0);
}

bool isGone(TargetProgress const &progress, TargetUsage const &usage, Timestamp now)
{
    // Flows of a predecessor that are silent just now are not counted here, so only the end of the
    // announcements tells that a target that was taken over has stopped.
    bool const mayHaveUnseenWork =
        progress.origin == Origin::TakenOver && announcementAge(progress, now) == AnnouncementAge::Recent;
    if (progress.announcement.state == AnnouncedState::Leaving && !mayHaveUnseenWork && !hasWork(usage, now))
        return true;
    auto const lastSign =
        std::max({progress.lastAnnounced, progress.health.lastSignOfLife, usage.lastReceived});
    return now - lastSign >= silenceLimit;
}

TargetRecord deriveRecord(TargetRecord const &known, TargetProgress const &progress,
                          TargetSituation const &situation, Timestamp now)
{
    auto const level = lowerByLoad(progress.load, progress.ramp.level, now);
    auto next = known;
    next.service = ServiceId::fromName(progress.announcement.service);
    next.packetEndpoint = progress.announcement.packetEndpoint;
    next.httpEndpoint = progress.announcement.httpEndpoint;
    next.startMark = progress.announcement.startMark;
    next.rampLevel = level;
    next.state = stateOf(progress, situation.drainOrder, level);
    auto const published = next.startMark == known.startMark ? known.connections : 0;
    next.connections =
        coarseConnections(published, connectionsInUse(situation.usage, now), situation.fullLimits);
    return next;
}

} // namespace almondwing
