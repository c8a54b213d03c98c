// The responses of the health and load endpoints of a target stand-in. The control endpoint can make them
// outdated or false.

#pragma once

#include <LibStandIns/Http.h>
#include <LibStandIns/TargetBlackboard.h>

#include <optional>
#include <string>

namespace almondwing {

std::optional<HttpReply> healthReply(TargetBehaviour const &behaviour, Timestamp now);

// `load` is the load at the time `now - behaviour.reportLag`.
std::optional<HttpReply> loadReply(TargetBehaviour const &behaviour, TargetModelSettings const &settings,
                                   TargetLoad load, Timestamp now);

std::string announcementJson(TargetAnnouncement const &announcement);

std::string countsJson(TargetCounts const &counts, TargetLoad load, Timestamp now);

} // namespace almondwing
