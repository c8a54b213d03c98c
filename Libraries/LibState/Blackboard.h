// The blackboard of an instance: all state that controllers share. Each table is sharded, each shard has its
// own lock. No controller calls another; they meet only here.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>
#include <LibCore/Identifier.h>
#include <LibManifest/Manifest.h>
#include <LibMessages/PeerMessages.h>
#include <LibState/FlowRecord.h>
#include <LibState/OwnStatus.h>
#include <LibState/RequestRecord.h>
#include <LibState/RoutingView.h>
#include <LibState/TargetUsage.h>
#include <LibState/UnsettledMessage.h>

#include <atomic>
#include <cstdint>

namespace almondwing {

// An update that still has to be spread with membership messages.
struct PendingUpdate
{
    std::uint32_t transmissionsLeft = 0;

    friend bool operator==(PendingUpdate const &, PendingUpdate const &) = default;
};

struct Blackboard
{
    ShardedTable<InstanceId, MemberRecord, 8> members; // Writer: membership.
    ShardedTable<TargetId, TargetRecord, 16> targets; // Writers: targets (own ones), membership (others').
    // Start marks of targets that were first announced here and have had no other dispatcher since.
    // Writers: targets (adds), flow knowledge (removes).
    ShardedTable<TargetId, std::uint64_t, 16> createdTargets;
    ShardedTable<InstanceId, PendingUpdate, 8> memberUpdates; // Writer: membership.
    ShardedTable<TargetId, PendingUpdate, 16> targetUpdates; // Writers: targets (adds), membership (spreads).
    ShardedTable<TargetId, ClaimUpdate, 16> claims; // Writer: claims.
    ShardedTable<TargetId, TargetUsage, 16> usage; // Writers: flows, requests; reader: targets.
    ShardedTable<FlowKey, FlowRecord> flows; // Writer: flows.
    // Counts flows opened at a target that the table does not name, so that their buckets are claimed soon.
    std::atomic<std::uint64_t> openedExceptions = 0; // Writer: flows.
    ShardedTable<FlowKey, FlowRedirect, 16> redirects; // Writer: flows.
    ShardedTable<FlowKey, FlowMisses, 16> flowMisses; // Writer: flows.
    ShardedTable<FlowKey, FlowCopy, 16> flowCopies; // Writer: handover.
    ShardedTable<FlowKey, FlowCopy, 16>
        replicatedFlows; // Copied to the replica group already. Writer: handover.
    ShardedTable<TargetId, FlowTableStatus, 16>
        flowTableStatus; // Of targets dispatched here. Writer: flow knowledge.
    ShardedTable<RequestKey, RequestRecord> requests; // Writer: requests, as all tables down to pacing.
    ShardedTable<TargetId, RequestQueue, 16> queues;
    ShardedTable<TargetId, BucketUse, 16> requestBuckets; // Readers: claims, through the request controller.
    ShardedTable<RequestKey, ReplicaRecord> replicaRecords;
    ShardedTable<std::uint64_t, ExpiringRequests> expiringRequests; // Key: see ExpirySchedule.
    ShardedTable<ServiceId, RetryBudget, 16> retryBudgets;
    ShardedTable<std::uint64_t, PacedPart> pacedParts; // Key: position in the ring of PacingState.
    ShardedTable<std::uint64_t, UnsettledMessage, 8> unsettledMessages; // By arrival. Writer: caller router.
    Cell<PacingState> pacing;
    Cell<StoredAnswerTotal> storedAnswers;
    Cell<RoutingView> routingView; // Writer: table.
    Cell<Configuration> configuration; // Writer: configuration.
    Cell<OwnStatus> ownStatus; // Writer: membership.
};

} // namespace almondwing
