// Rendezvous hashing of targets over instances: which instance dispatches for a target, and which keep its
// records. Highest random weight hashing after Thaler and Ravishankar (1998).

#pragma once

#include <LibCore/Identifier.h>
#include <LibMessages/PeerMessages.h>

#include <span>
#include <string_view>
#include <vector>

namespace almondwing {

// Instances that keep the records of one target; two of them are a quorum, so any two quorums intersect.
constexpr std::size_t replicaGroupSize = 3;

// The given instances, the best one for the target first.
std::vector<InstanceId> rankInstances(TargetId target, std::vector<InstanceId> instances);

// The dispatcher of a target: the first of the rendezvous order over the instances of its failure domain that
// are alive or suspected. None if there is no such instance. Instances that are leaving are passed over.
InstanceId chooseDispatcher(TargetId target, std::string_view failureDomain,
                            std::span<MemberRecord const> members);

// The first instances of the rendezvous order over all known instances of the failure domain, dead ones
// included, so that a change of liveness does not change the group.
std::vector<InstanceId> chooseReplicaGroup(TargetId target, std::string_view failureDomain,
                                           std::span<MemberRecord const> members);

} // namespace almondwing
