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
#include <LibState/RoutingView.h>
#include <LibState/TargetUsage.h>

namespace almondwing {

struct Blackboard
{
    ShardedTable<InstanceId, MemberRecord, 8> members; // Writer: membership.
    ShardedTable<TargetId, TargetRecord, 16> targets; // Writers: targets (own ones), membership (others').
    ShardedTable<TargetId, ClaimUpdate, 16> claims; // Writer: claims.
    ShardedTable<TargetId, TargetUsage, 16> usage; // Writers: flows, requests; reader: targets.
    ShardedTable<FlowKey, FlowRecord> flows; // Writer: flows.
    Cell<RoutingView> routingView; // Writer: table.
    Cell<Configuration> configuration; // Writer: configuration.
    Cell<OwnStatus> ownStatus; // Writer: membership.
};

} // namespace almondwing
