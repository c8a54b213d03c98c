// The blackboard of token routing: the view, the recent flows of this instance, and what it saw of each
// target.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>
#include <LibTokenRouting/ServingView.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// A flow that this instance has seen lately. A hint: routing needs only the token, and flows of other
// instances have no note here.
struct RecentFlow
{
    TargetToken target;
    Timestamp openedAt; // Its first packet here.
    std::optional<std::uint32_t> openingSequence; // Nothing if its opening packet was not seen here.
    Timestamp lastSeen;
    std::uint32_t sequence = 0; // Of the latest packet with data.
    Timestamp sequenceSince; // When that sequence was seen first.
    std::uint32_t acknowledgement = 0; // Highest seen.
    Timestamp answeredAt; // When that advanced last.
    bool isEstablished = false; // A packet after the opening one was seen.

    friend bool operator==(RecentFlow const &, RecentFlow const &) = default;
};

// What packets through this instance tell of a target.
struct TargetHealth
{
    Timestamp aliveAt; // A caller got something from it that was new.
    Timestamp suspectUntil; // No new flows before that time.
    std::uint32_t activeFlows = 0; // Flows with recent packets, by the last sweep, and those opened since.
    std::uint32_t remoteFlows = 0; // The same at the other instances, by their latest reports.
    Timestamp coldFlowAt; // The latest flow that it got while it was cold.
    Timestamp checkedAt; // The latest direct check.
    Timestamp unreachableUntil; // A direct check has failed; forgotten at that time.
    std::uint32_t silentFlows = 0; // Flows that got no answer since it was alive last.
    std::uint64_t lastSilentFlow = 0; // Hash of the flow that was counted last.

    bool isUnreachableAt(Timestamp now) const { return now < this->unreachableUntil; }
    bool isSuspectAt(Timestamp now) const { return now < this->suspectUntil || this->isUnreachableAt(now); }

    friend bool operator==(TargetHealth const &, TargetHealth const &) = default;
};

// More notes are not kept, 64 bytes each.
constexpr std::size_t maxRecentFlows = 16384;

// The targets of one service in one failure domain.
struct TargetGroup
{
    std::string service;
    std::string failureDomain;

    friend auto operator<=>(TargetGroup const &, TargetGroup const &) = default;
};

struct GroupLoad
{
    TargetGroup group;
    std::uint32_t flows = 0; // Of all instances.
    std::uint32_t slots = 1; // Of all targets of the group; at least 1.

    friend bool operator==(GroupLoad const &, GroupLoad const &) = default;
};

using GroupLoads = std::map<TargetGroup, double>; // Flows a slot.

struct TokenBlackboard
{
    Cell<ServingView> view;
    ShardedTable<ConnectionKey, RecentFlow, 16> flows;
    ShardedTable<TargetToken, TargetHealth, 16> signs;
    Cell<GroupLoads> groupLoads; // As reported last.

    TargetHealth healthOf(TargetToken token) const;
};

// Flows of the target whose latest data got no answer yet.
std::vector<FlowPacket> unansweredFlows(TokenBlackboard const &board, TargetToken token);

struct TargetActivity
{
    TargetToken token;
    std::uint32_t flows = 0;

    friend bool operator==(TargetActivity const &, TargetActivity const &) = default;
};

// Counts the flows with recent packets, and forgets those that have ended or are idle. Returns the count of
// each target that has any.
std::vector<TargetActivity> sweepFlows(TokenBlackboard &board, Timestamp now);

// Takes over how many flows the other instances have at the targets that are named.
void setRemoteActivity(TokenBlackboard &board, std::vector<TargetActivity> const &activity);

// What other instances reported before no longer holds.
void clearRemoteActivity(TokenBlackboard &board);

void setGroupLoads(TokenBlackboard &board, std::vector<GroupLoad> const &loads);

} // namespace almondwing
