// Settings, intervals and timeouts of the membership protocol.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace almondwing {

constexpr Duration ownDomainProbeInterval = 500ms;
constexpr Duration otherDomainProbeInterval = 1s;
// Dead members and seeds that have never answered are still probed, though rarely, so that a healed partition
// is detected.
constexpr Duration deadMemberProbeInterval = 5s;
constexpr Duration deadMemberProbeIntervalWhileJoining = 250ms;
constexpr Duration ackTimeout = 300ms;
constexpr std::size_t indirectProbeCount = 3;
constexpr Duration suspicionTimeout = 2s;
// A suspected member is pinged directly when its suspicion is this old. While many updates are pending, its
// refutation may not arrive through gossip before suspicionTimeout.
constexpr Duration suspectPingDelay = 1200ms;
constexpr Duration deadMemberRetention = 1h;

// The lease is the permission of this instance to dispatch. No other instance grants it: after joining, it is
// held while an instance of the same failure domain has acknowledged a ping sent less than leaseDuration ago,
// or while this instance knows no other live one in its failure domain. It expires before other instances can
// declare this one dead: that takes them at least two ack timeouts and the suspicion timeout after the last
// probe that this instance answered.
constexpr Duration leaseDuration = 2s;
// A fetch that brings more new records than this is not gossiped further: this instance has just joined or
// returned, and the other instances already know the records.
constexpr std::size_t maxFetchedRecordsToGossip = 64;
// A longer gap between two ticks counts as a pause of the process, and its view of the cluster as outdated.
constexpr Duration maxTickGap = 1s;
// Joining ends after this time even if the instance has reached no other one or has no records yet.
constexpr Duration joinTimeout = 2s;

// Without contact with a majority of the control instances for this time, this instance may miss a change of
// the configuration, such as a failure domain that was taken out of service.
constexpr Duration majorityContactTimeout = 4s;
// Control instances are probed outside of the regular rounds once the last contact with a majority of them is
// older than this.
constexpr Duration controlProbeThreshold = 2500ms;
constexpr Duration controlProbeInterval = 500ms;
// Control instances stay in closer contact with each other, so that one ack from any of them carries recent
// contact ages of all of them.
constexpr Duration controlProbeThresholdOfControlInstance = 500ms;

struct MembershipSettings
{
    // Names of the control instances, which keep the replicated log of the configuration; must be the same on
    // all instances. If it is empty, there are no control instances and contact with a majority is never
    // lost.
    std::vector<std::string> controlInstances;

    friend bool operator==(MembershipSettings const &, MembershipSettings const &) = default;
};

} // namespace almondwing
