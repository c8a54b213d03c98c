// What the dispatcher of a target keeps of it beside the record, and the record that follows from it. Pure
// functions.

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

enum class Origin : std::uint8_t {
    Announced, // All work of the target is in the counts of this dispatcher.
    TakenOver, // The target may have work that this dispatcher has not seen.
};

enum class DrainOrder : std::uint8_t { None, Drain };

struct TargetProgress
{
    TargetAnnouncement announcement; // The last accepted one, or what the record said at a takeover.
    std::optional<std::uint64_t> previousStartMark{};
    Origin origin = Origin::Announced;
    Timestamp lastAnnounced;
    Timestamp nextCheck;
    RampProgress ramp;
    HealthProgress health;
    LoadProgress load;

    friend bool operator==(TargetProgress const &, TargetProgress const &) = default;
};

// What the record depends on beside the progress.
struct TargetSituation
{
    DrainOrder drainOrder = DrainOrder::None; // Of the configuration.
    TargetLimits fullLimits;
    TargetUsage usage;

    friend bool operator==(TargetSituation const &, TargetSituation const &) = default;
};

// A target that announces itself for the first time here.
TargetProgress progressOfNewTarget(TargetAnnouncement const &announcement, TargetUsage const &usage,
                                   Timestamp now);

// A target that another instance, or an earlier process of this one, has dispatched for. The ramp level
// stays.
TargetProgress progressAtTakeover(TargetRecord const &record, std::string const &service, DrainOrder order,
                                  TargetUsage const &usage, Timestamp now);

// A new start mark means that the target is cold, whatever it was before.
TargetProgress applyAnnouncement(TargetProgress const &progress, TargetAnnouncement const &announcement,
                                 TargetUsage const &usage, Timestamp now);

// Whether the announcement is of another process than the present one, which was heard a short time ago.
bool isNameClash(TargetProgress const &progress, TargetAnnouncement const &announcement,
                 TargetUsage const &usage, Timestamp now);

AnnouncementAge announcementAge(TargetProgress const &progress, Timestamp now);

bool isDraining(TargetProgress const &progress, DrainOrder order);

// The connections that count against the limits now.
std::uint32_t connectionsInUse(TargetUsage const &usage, Timestamp now);

// Whether nothing will come from the target any more.
bool isGone(TargetProgress const &progress, TargetUsage const &usage, Timestamp now);

// The record as it has to be published, with the sequence unchanged. It equals `known` if there is no news.
TargetRecord deriveRecord(TargetRecord const &known, TargetProgress const &progress,
                          TargetSituation const &situation, Timestamp now);

} // namespace almondwing
