// Rendezvous hashing of targets over instances, which chooses the dispatcher of a target and the instances
// that keep its replica records and flow copies. Also called highest random weight hashing (Thaler and
// Ravishankar 1998).

#pragma once

#include <LibCore/Identifier.h>
#include <LibMessages/PeerMessages.h>

#include <span>
#include <string_view>
#include <vector>

namespace almondwing {

// The number of instances that keep the replica records of requests and the flow copies of one target. Two of
// them are a quorum, so any two quorums intersect.
constexpr std::size_t replicaGroupSize = 3;

// Returns the given instances in descending order of their rank for the target.
std::vector<InstanceId> rankInstances(TargetId target, std::vector<InstanceId> instances);

// Returns the dispatcher of a target: the highest ranked instance of its failure domain that is alive or
// suspected, or none if there is no such instance. Leaving instances are skipped.
InstanceId chooseDispatcher(TargetId target, std::string_view failureDomain,
                            std::span<MemberRecord const> members);

// Returns the highest ranked of all known instances of the failure domain. Dead instances are included, so
// that a change of liveness does not change the group.
std::vector<InstanceId> chooseReplicaGroup(TargetId target, std::string_view failureDomain,
                                           std::span<MemberRecord const> members);

} // namespace almondwing
