// The blackboard of an instance: all state that its controllers share. Each table is divided into shards, and
// each shard has its own lock. Controllers never call each other; they communicate only through this state.

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

// An update that is still to be sent with membership messages.
struct PendingUpdate
{
    std::uint32_t transmissionsLeft = 0;

    friend bool operator==(PendingUpdate const &, PendingUpdate const &) = default;
};

struct Blackboard
{
    ShardedTable<InstanceId, MemberRecord, 8> members; // Written by the membership controller.
    // The target controller writes targets dispatched here, the membership controller the others.
    ShardedTable<TargetId, TargetRecord, 16> targets;
    // The start marks of targets that were first announced to this instance and have had no other dispatcher
    // since. The target controller adds them, the flow sweeper removes them.
    ShardedTable<TargetId, std::uint64_t, 16> targetsSeenFromStart;
    ShardedTable<InstanceId, PendingUpdate, 8> memberUpdates; // Written by the membership controller.
    // The target controller adds updates, the membership controller counts their transmissions.
    ShardedTable<TargetId, PendingUpdate, 16> targetUpdates;
    ShardedTable<TargetId, ClaimUpdate, 16> claims; // Written by the claim controller.
    // Written by the flow and request controllers, read and reset by the target controller.
    ShardedTable<TargetId, TargetUsage, 16> usage;
    ShardedTable<FlowKey, FlowRecord> flows; // Written by the flow controller.
    // The number of flows opened at another target than that of their bucket. The flow controller counts
    // them, so that the claim controller claims their buckets soon.
    std::atomic<std::uint64_t> openedExceptions = 0;
    ShardedTable<FlowKey, FlowRedirect, 16> redirects; // Written by the flow controller.
    ShardedTable<FlowKey, FlowMisses, 16> flowMisses; // Written by the flow controller.
    ShardedTable<FlowKey, FlowCopy, 16> flowCopies; // Written by the handover controller.
    // Flows that were already copied to the replica group. Written by the handover controller.
    ShardedTable<FlowKey, FlowCopy, 16> replicatedFlows;
    // For the targets dispatched here. Written by the flow sweeper.
    ShardedTable<TargetId, FlowTableStatus, 16> flowTableStatus;
    // The request controller writes this table and all members down to storedAnswers, except
    // unsettledMessages.
    ShardedTable<RequestKey, RequestRecord> requests;
    ShardedTable<TargetId, RequestQueue, 16> queues;
    // The claim controller reads this table through the request controller.
    ShardedTable<TargetId, BucketUse, 16> requestBuckets;
    ShardedTable<RequestKey, ReplicaRecord> replicaRecords;
    ShardedTable<std::uint64_t, ExpiringRequests> expiringRequests; // The key is defined in ExpirySchedule.
    ShardedTable<ServiceId, RetryBudget, 16> retryBudgets;
    ShardedTable<std::uint64_t, PacedPart> pacedParts; // The key is the position in the ring of PacingState.
    // The key is the order of arrival. Written by the caller router.
    ShardedTable<std::uint64_t, UnsettledMessage, 8> unsettledMessages;
    Cell<PacingState> pacing;
    Cell<StoredAnswerTotal> storedAnswers;
    Cell<RoutingView> routingView; // Written by the routing controller.
    Cell<Configuration> configuration; // Written by the configuration installer.
    Cell<OwnStatus> ownStatus; // Written by the membership controller.
};

} // namespace almondwing
