// The blackboard of an instance: all state that its controllers share. Each table is divided into shards, and
// each shard has its own lock. Controllers call each other only to read requestBuckets; see there.

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
    // since, so that this instance has seen all their flows. The target controller adds them, the flow
    // sweeper removes them.
    ShardedTable<TargetId, std::uint64_t, 16> targetsSeenFromStart;
    ShardedTable<InstanceId, PendingUpdate, 8> memberUpdates; // Written by the membership controller.
    // Added by the target controller for the targets dispatched here and by the membership controller for
    // received records; the membership controller counts the transmissions.
    ShardedTable<TargetId, PendingUpdate, 16> targetUpdates;
    // Written by the claim controller; the flow sweeper removes the claims of targets that are gone.
    ShardedTable<TargetId, ClaimUpdate, 16> claims;
    // Counted by the flow, handover and request controllers and the flow sweeper. The target controller reads
    // it, resets the totals at a takeover and clears the inherited counts after a restart of the target.
    ShardedTable<TargetId, TargetUsage, 16> usage;
    // The flow controller adds and removes flows, the handover controller adds and removes those of a
    // handover, and the flow sweeper ends flows.
    ShardedTable<FlowKey, FlowRecord> flows;
    // The number of exceptions: flows opened at another target than that of their bucket. The flow controller
    // counts them, so that the claim controller claims their buckets soon.
    std::atomic<std::uint64_t> openedExceptions = 0;
    // Written by the flow controller; the flow sweeper removes old entries.
    ShardedTable<FlowKey, FlowRedirect, 16> redirects;
    // Written by the flow controller; the flow sweeper removes old entries.
    ShardedTable<FlowKey, TargetsWithoutFlow, 16> targetsWithoutFlow;
    // Copies of flows that other instances have sent to this one. Written by the handover controller.
    ShardedTable<FlowKey, FlowCopy, 16> receivedFlowCopies;
    // Flows that this instance has already copied to the replica group. Written by the handover controller.
    ShardedTable<FlowKey, FlowCopy, 16> sentFlowCopies;
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
    // The key is the position in the queue of paced parts; see PacingState.
    ShardedTable<std::uint64_t, PacedPart> pacedParts;
    // The key is the order of arrival. Written by the caller router.
    ShardedTable<std::uint64_t, UnsettledMessage, 8> unsettledMessages;
    Cell<PacingState> pacing;
    Cell<StoredAnswerTotal> storedAnswers;
    Cell<RoutingView> routingView; // Written by the routing controller.
    Cell<Configuration> configuration; // Written by the configuration installer.
    Cell<OwnStatus> ownStatus; // Written by the membership controller.
};

} // namespace almondwing
