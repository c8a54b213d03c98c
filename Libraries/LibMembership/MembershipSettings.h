// Settings and timeouts of the membership protocol.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace almondwing {

constexpr Duration ownDomainProbeInterval = 500ms;
constexpr Duration otherDomainProbeInterval = 1s;
// Dead members and seeds that never answered are probed this seldom, so that a healed partition is noticed.
constexpr Duration absentProbeInterval = 5s;
constexpr Duration absentProbeIntervalWhileJoining = 250ms;
constexpr Duration ackTimeout = 300ms;
constexpr std::size_t indirectProbeCount = 3;
constexpr Duration suspicionPeriod = 2s;
// A member that is suspected by others is asked directly at this age of the suspicion. While much changes at
// once its refutation may not arrive with the updates of others in time.
constexpr Duration suspicionQuestionAge = 1200ms;
constexpr Duration deadMemberKept = 1h;

// The lease ends before the others can consider this instance dead: they need at least two ack timeouts and
// the suspicion period after the last probe that it answered.
constexpr Duration leasePeriod = 2s;
// Fetched records are spread further only up to this number. More of them mean that this instance has joined
// or returned, and that the others know them already.
constexpr std::size_t mostFetchedRecordsToSpread = 64;
// A longer gap between two ticks means that the process was paused and its view is outdated.
constexpr Duration pauseLimit = 1s;
// An instance that finds nobody serves what it can after this time.
constexpr Duration joinTimeout = 2s;

constexpr Duration majorityContactPeriod = 4s;
// Below this age of the majority's evidence no control instance is probed out of turn.
constexpr Duration controlProbeAge = 2500ms;
constexpr Duration controlProbeInterval = 500ms;
// Control instances keep fresh evidence of each other, so that one ack of any of them brings all of it.
constexpr Duration controlProbeAgeOfControlInstance = 500ms;

struct MembershipSettings
{
    // Names of the instances that keep the replicated log; the same on all instances. Empty: no control
    // instances, and contact with a majority is never lost.
    std::vector<std::string> controlInstances;

    friend bool operator==(MembershipSettings const &, MembershipSettings const &) = default;
};

} // namespace almondwing
