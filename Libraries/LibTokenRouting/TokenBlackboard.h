// The blackboard of token routing: the serving view, the recent flows of this instance, and the health and
// load of each target as observed by this instance.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>
#include <LibEvidence/DomainSilence.h>
#include <LibTokenRouting/LateOpenings.h>
#include <LibTokenRouting/ServingView.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

// A flow of which this instance has recently seen packets. This is soft state: later packets are routed by
// their token alone, and flows that use other instances have no entry here.
struct RecentFlow
{
    TargetToken target;
    Timestamp openedAt; // When its first packet was seen here.
    std::optional<std::uint32_t> openingSequence; // nullopt if its opening packet was not seen here.
    Timestamp lastSeen;
    std::uint32_t sequence = 0; // Sequence number of the latest packet with data.
    Timestamp sequenceFirstSeen; // When that sequence number was first seen.
    std::uint32_t acknowledgement = 0; // The highest acknowledgement seen.
    Timestamp lastAnsweredAt; // When the acknowledgement last advanced or was first seen.
    bool isEstablished = false; // Whether a packet after the opening packet was seen.

    friend bool operator==(RecentFlow const &, RecentFlow const &) = default;
};

// The hash of a flow is not 0 in practice, so 0 stands for none. More silent flows are no further evidence.
using SilentFlows = std::array<std::uint64_t, 4>;

// The health and load of a target, derived from the packets through this instance, direct checks, and reports
// of other instances.
struct TargetHealth
{
    Timestamp lastAliveAt; // When a new answer to a caller was last observed.
    Timestamp suspectUntil; // The target gets no new flows before this time.
    std::uint32_t activeFlows = 0; // Flows with recent packets at the last sweep, and flows opened since.
    std::uint32_t remoteFlows = 0; // Active flows at the other instances, from their latest reports.
    Timestamp lastColdFlowAt; // When the target last got a flow while it was cold.
    Timestamp lastCheckedAt; // When the last direct check was started.
    Timestamp unreachableUntil; // Set by a failed direct check, which is disregarded from this time on.
    bool isOneSilentFlowEnough = false; // See PassiveHealthSettings::quickEvidenceObjective.
    SilentFlows silentFlows{}; // Hashes of different flows without an answer since lastAliveAt.

    bool isUnreachableAt(Timestamp now) const { return now < this->unreachableUntil; }
    bool isSuspectAt(Timestamp now) const { return now < this->suspectUntil || this->isUnreachableAt(now); }

    friend bool operator==(TargetHealth const &, TargetHealth const &) = default;
};

// The maximum number of recent flows that an instance keeps; each takes 72 bytes besides its key.
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
    std::uint32_t flows = 0; // The active flows of all instances.
    std::uint32_t slots = 1; // The slots of all targets of the group; at least 1.

    friend bool operator==(GroupLoad const &, GroupLoad const &) = default;
};

using LoadPerSlot = std::map<TargetGroup, double>; // The active flows per slot of each group.

struct TokenBlackboard
{
    Cell<ServingView> view;
    ShardedTable<ConnectionKey, RecentFlow, 16> flows;
    ShardedTable<TargetToken, TargetHealth, 16> targetHealth;
    DomainSilenceTable domainSilence;
    ShardedTable<std::string, OpeningTimes, 16> openingTimes; // By service, as is the next one.
    ShardedTable<std::string, RepeatBudget, 16> repeatBudgets;
    Cell<LoadPerSlot> loadPerSlot; // From the latest report of a control instance.

    TargetHealth healthOf(TargetToken token) const;
};

// Returns the flows of the target whose latest data has not been answered yet.
std::vector<FlowPacket> unansweredFlows(TokenBlackboard const &board, TargetToken token);

// Returns the targets with such flows.
std::set<TargetToken> targetsWithUnansweredFlows(TokenBlackboard const &board);

struct TargetActivity
{
    TargetToken token;
    std::uint32_t flows = 0;

    friend bool operator==(TargetActivity const &, TargetActivity const &) = default;
};

// Counts the active flows of each target and removes idle flows. Returns the counts that are not zero.
std::vector<TargetActivity> sweepFlows(TokenBlackboard &board, Timestamp now);

// Sets the number of flows that other instances have at each of the given targets.
void setRemoteActivity(TokenBlackboard &board, std::vector<TargetActivity> const &activity);

// Resets the flow counts of other instances, because their earlier reports are no longer valid.
void clearRemoteActivity(TokenBlackboard &board);

void setGroupLoads(TokenBlackboard &board, std::vector<GroupLoad> const &loads);

} // namespace almondwing
