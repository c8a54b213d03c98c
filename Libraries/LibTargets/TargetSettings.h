// Settings and timeouts of target records and health.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace almondwing {

// Announcements are repeated every few seconds, so several in a row are missing by then.
constexpr Duration announcementLimit = 15s;
// A target that is neither announced nor answers is forgotten after this time.
constexpr Duration silenceLimit = 60s;
// A second process with the name of a target is rejected while the first was heard this recently.
constexpr Duration clashPeriod = 6s;
// Work that a predecessor may have left at a target counts for this time after a takeover.
constexpr Duration inheritedWorkKept = 5s;
// No further target of a service is excluded for this time after the view of it was doubted, so that several
// dispatchers do not exclude and restore their targets in turn.
constexpr Duration doubtPeriod = 30s;
// Records of gone targets are kept so that late updates do not bring them back.
constexpr Duration goneTargetKept = 1h;

constexpr std::size_t longestTargetName = 64;

struct TargetSettings
{
    Duration checkInterval = 1s; // Between two looks at the health endpoint of a target.

    friend bool operator==(TargetSettings const &, TargetSettings const &) = default;
};

} // namespace almondwing
