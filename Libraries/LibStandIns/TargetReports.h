// What the health and load endpoints of a target stand-in say; both may lag or lie as the control surface
// asks.

#pragma once

#include <LibStandIns/Http.h>
#include <LibStandIns/TargetBoard.h>

#include <optional>
#include <string>

namespace almondwing {

std::optional<HttpAnswer> answerHealth(TargetBehaviour const &behaviour, Timestamp now);

// `load` is the load as of now minus the lag.
std::optional<HttpAnswer> answerLoad(TargetBehaviour const &behaviour, TargetModelSettings const &traits,
                                     TargetLoad load, Timestamp now);

std::string announcementJson(TargetAnnouncement const &announcement);

std::string countsJson(TargetCounts const &counts, TargetLoad load, Timestamp now);

} // namespace almondwing
