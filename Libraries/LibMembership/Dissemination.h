// Chooses the pending updates that ride on a membership message and counts their transmissions.

#pragma once

#include <LibState/Blackboard.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// Bytes for the records of one message. With at most 150 bytes for envelope, message and gossip header a
// message stays below 1200 bytes.
constexpr std::size_t recordBytesPerMessage = 1000;

// Each update is sent about 3 * log2(n + 1) times by each instance, after which nearly all instances have it;
// digests find the rest.
std::uint32_t transmissionCount(std::size_t memberCount);

// An upper bound of the encoded size, checked by the tests of the codec.
std::size_t encodedBytesBound(MemberRecord const &member);
std::size_t encodedBytesBound(TargetRecord const &target);

// Fills the records of the message up to the byte limit and lowers the counts of what it takes. Records that
// the message already holds are kept and counted against the limit. Members go first, then what was sent
// least.
void attachUpdates(Blackboard &blackboard, Gossip &gossip, std::uint32_t maximumTransmissions);

// Queues a member record for spreading, or starts its transmissions again.
void queueMember(Blackboard &blackboard, InstanceId member, std::uint32_t transmissions);
void queueTarget(Blackboard &blackboard, TargetId target, std::uint32_t transmissions);

} // namespace almondwing
