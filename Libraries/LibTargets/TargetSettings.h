// Settings and timeouts of target records and health checks.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace almondwing {

// Targets repeat their announcements every few seconds, so several in a row are missing after this time.
constexpr Duration announcementTimeout = 15s;
// A target counts as gone if it has sent no announcement or packet and has answered no health check for this
// time.
constexpr Duration silentTargetTimeout = 60s;
// A second process with the name of a target is rejected for this time after the last announcement or
// packet of the first one.
constexpr Duration nameClashWindow = 6s;
// After a takeover, work that the previous dispatcher may have left at the target counts as in use for this
// time.
constexpr Duration inheritedWorkTimeout = 5s;
// After most targets of a service have failed at once, none of them is excluded for this time, so that
// several dispatchers do not exclude and include their targets in turn.
constexpr Duration exclusionPause = 30s;
// Records of gone targets are kept for this time, so that late updates do not restore them.
constexpr Duration goneTargetRetention = 1h;

constexpr std::size_t maxTargetNameLength = 64;

struct TargetSettings
{
    Duration healthCheckInterval = 1s; // Between two health checks of the same target.

    friend bool operator==(TargetSettings const &, TargetSettings const &) = default;
};

} // namespace almondwing
