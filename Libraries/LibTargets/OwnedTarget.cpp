// Implements the state of owned targets and the derivation of their records.

#include <LibTargets/OwnedTarget.h>

#include <LibTargets/TargetSettings.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A change of the connection count is published only if it exceeds this fraction of the limit, so that the
// number of messages does not grow with the number of flows.
constexpr std::uint32_t publishedChangeDivisor = 8;

std::uint32_t connectionsToPublish(std::uint32_t published, std::uint32_t connections,
                                   TargetLimits fullLimits)
{
    auto const [low, high] = std::minmax(published, connections);
    return high - low > fullLimits.connections / publishedChangeDivisor ? connections : published;
}

TargetState stateOf(OwnedTarget const &target, ConfiguredDrain configuredDrain, std::uint8_t level)
{
    if (isDraining(target, configuredDrain))
        return TargetState::Draining;
    if (target.health.inclusion == Inclusion::Excluded)
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

OwnedTarget newOwnedTarget(TargetAnnouncement const &announcement, TargetUsage const &usage, Timestamp now)
{
    return OwnedTarget{.announcement = announcement,
                       .lastAnnounced = now,
                       .nextCheck = now,
                       .ramp = startRamp(0, RampCounts::of(usage), now),
                       .health = initialHealth(usage, now),
                       .load = {}};
}

OwnedTarget ownedTargetAfterTakeover(TargetRecord const &record, std::string const &service,
                                     ConfiguredDrain configuredDrain, TargetUsage const &usage, Timestamp now)
{
    // Unless the configuration drains the target, only its own announcement can have caused this state.
    bool const isLeaving = record.state == TargetState::Draining && configuredDrain == ConfiguredDrain::None;
    auto target = newOwnedTarget(
        TargetAnnouncement{.name = record.name,
                           .service = service,
                           .failureDomain = record.failureDomain,
                           .packetEndpoint = record.packetEndpoint,
                           .httpEndpoint = record.httpEndpoint,
                           .startMark = record.startMark,
                           .state = isLeaving ? AnnouncedState::Leaving : AnnouncedState::Serving},
        usage, now);
    target.origin = TargetOrigin::TakenOver;
    target.ramp = startRamp(record.rampLevel, RampCounts::of(usage), now);
    if (record.state == TargetState::Unhealthy)
        target.health = exclude(target.health, now);
    return target;
}

OwnedTarget applyAnnouncement(OwnedTarget const &target, TargetAnnouncement const &announcement,
                              TargetUsage const &usage, Timestamp now)
{
    if (announcement.startMark == target.announcement.startMark) {
        auto next = target;
        next.announcement = announcement;
        next.lastAnnounced = now;
        next.health.lastSeenAt = now;
        return next;
    }
    auto next = newOwnedTarget(announcement, usage, now);
    next.previousStartMark = target.announcement.startMark;
    next.nextCheck = target.nextCheck;
    return next;
}

bool isNameClash(OwnedTarget const &target, TargetAnnouncement const &announcement, TargetUsage const &usage,
                 Timestamp now)
{
    auto const &present = target.announcement;
    if (announcement.startMark == present.startMark || announcement.packetEndpoint == present.packetEndpoint)
        return false;
    return now - std::max(target.lastAnnounced, usage.lastReceived) < nameClashWindow;
}

AnnouncementStatus announcementStatus(OwnedTarget const &target, Timestamp now)
{
    return now - target.lastAnnounced < announcementTimeout ? AnnouncementStatus::Recent
                                                            : AnnouncementStatus::Overdue;
}

bool isDraining(OwnedTarget const &target, ConfiguredDrain configuredDrain)
{
    return configuredDrain == ConfiguredDrain::Drain || target.announcement.state == AnnouncedState::Leaving;
}

std::uint32_t connectionsInUse(TargetUsage const &usage, Timestamp now)
{
    return usage.connections + (now < usage.inheritedUntil ? usage.inheritedConnections : 0);
}

bool isGone(OwnedTarget const &target, TargetUsage const &usage, Timestamp now)
{
    // Idle flows of the previous dispatcher are not counted here, so a target that was taken over has
    // certainly stopped only when its announcements end.
    bool const mayHaveUncountedWork = target.origin == TargetOrigin::TakenOver
        && announcementStatus(target, now) == AnnouncementStatus::Recent;
    if (target.announcement.state == AnnouncedState::Leaving && !mayHaveUncountedWork && !hasWork(usage, now))
        return true;
    auto const lastSeen = std::max({target.lastAnnounced, target.health.lastSeenAt, usage.lastReceived});
    return now - lastSeen >= silentTargetTimeout;
}

TargetRecord deriveRecord(TargetRecord const &known, OwnedTarget const &target, TargetInputs const &inputs,
                          Timestamp now)
{
    auto const level = lowerByLoad(target.load, target.ramp.level, now);
    auto next = known;
    next.service = ServiceId::fromName(target.announcement.service);
    next.packetEndpoint = target.announcement.packetEndpoint;
    next.httpEndpoint = target.announcement.httpEndpoint;
    next.startMark = target.announcement.startMark;
    next.rampLevel = level;
    next.state = stateOf(target, inputs.configuredDrain, level);
    auto const published = next.startMark == known.startMark ? known.connections : 0;
    next.connections =
        connectionsToPublish(published, connectionsInUse(inputs.usage, now), inputs.fullLimits);
    return next;
}

} // namespace almondwing
