// The state that the dispatcher of a target keeps about it, and pure functions that update this state and
// derive the published record from it.
//
// The owner of a target record is the instance that wrote it last (TargetSequence). Only the dispatcher of a
// target writes its record, so a new dispatcher takes over the ownership.

#pragma once

#include <LibCore/Time.h>
#include <LibManifest/Manifest.h>
#include <LibMessages/PeerMessages.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/TargetUsage.h>
#include <LibTargets/Health.h>
#include <LibTargets/LoadReport.h>
#include <LibTargets/Ramp.h>

#include <optional>

namespace almondwing {

enum class TargetOrigin : std::uint8_t {
    Announced, // This dispatcher has counted all work of the target.
    TakenOver, // The target may have work that this dispatcher has not counted.
};

// Whether the configuration drains the target.
enum class ConfiguredDrain : std::uint8_t { None, Drain };

struct OwnedTarget
{
    TargetAnnouncement announcement; // The last accepted one, or built from the record at a takeover.
    std::optional<std::uint64_t> previousStartMark{};
    TargetOrigin origin = TargetOrigin::Announced;
    Timestamp lastAnnounced;
    Timestamp nextCheck;
    RampState ramp;
    HealthState health;
    LoadState load;

    friend bool operator==(OwnedTarget const &, OwnedTarget const &) = default;
};

// The inputs of a target's record that are not part of OwnedTarget.
struct TargetInputs
{
    ConfiguredDrain configuredDrain = ConfiguredDrain::None;
    TargetLimits fullLimits;
    TargetUsage usage;

    friend bool operator==(TargetInputs const &, TargetInputs const &) = default;
};

// For a target that announces itself and has no record, or whose record is Gone.
OwnedTarget newOwnedTarget(TargetAnnouncement const &announcement, TargetUsage const &usage, Timestamp now);

// For a target whose previous dispatcher was another instance or an earlier process of this one. Keeps the
// ramp level.
OwnedTarget ownedTargetAfterTakeover(TargetRecord const &record, std::string const &service,
                                     ConfiguredDrain configuredDrain, TargetUsage const &usage,
                                     Timestamp now);

// An announcement with a new start mark comes from a restarted process, which always starts cold.
OwnedTarget applyAnnouncement(OwnedTarget const &target, TargetAnnouncement const &announcement,
                              TargetUsage const &usage, Timestamp now);

// Returns whether the announcement comes from a second process with the same name at another packet endpoint,
// although the first one was active within nameClashWindow.
bool isNameClash(OwnedTarget const &target, TargetAnnouncement const &announcement, TargetUsage const &usage,
                 Timestamp now);

AnnouncementStatus announcementStatus(OwnedTarget const &target, Timestamp now);

bool isDraining(OwnedTarget const &target, ConfiguredDrain configuredDrain);

// The connections that count against the limits, including inherited ones.
std::uint32_t connectionsInUse(TargetUsage const &usage, Timestamp now);

// Returns whether the target has ended: it is leaving and has no work left (after a takeover also no recent
// announcement, since some work may be uncounted), or it was silent for silentTargetTimeout.
bool isGone(OwnedTarget const &target, TargetUsage const &usage, Timestamp now);

// Returns the record to publish, with the sequence unchanged. It equals `known` if nothing has changed.
TargetRecord deriveRecord(TargetRecord const &known, OwnedTarget const &target, TargetInputs const &inputs,
                          Timestamp now);

} // namespace almondwing
