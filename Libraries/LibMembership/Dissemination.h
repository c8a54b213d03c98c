// Selects the pending updates that are piggybacked on a membership message and counts their transmissions.

#pragma once

#include <LibState/Blackboard.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// With at most 150 bytes for the envelope, the message and the gossip header, a message stays below 1200
// bytes.
constexpr std::size_t maxRecordBytesPerMessage = 1000;

// Each instance sends an update up to 3 * log2(n + 1) times, rounded up. Nearly all instances have it after
// that; the comparison of digests finds the remaining ones.
std::uint32_t transmissionLimit(std::size_t memberCount);

// An upper bound of the encoded size of a record.
std::size_t maxEncodedBytes(MemberRecord const &member);
std::size_t maxEncodedBytes(TargetRecord const &target);

// Adds pending records to the message up to the byte limit and decrements their remaining transmissions,
// first lowering them to `maxTransmissions`. Records already in the message are kept and count against the
// limit. Members come before targets, and among each those with the most transmissions left first.
void attachUpdates(Blackboard &blackboard, Gossip &gossip, std::uint32_t maxTransmissions);

// Queues a record for dissemination, or resets its remaining transmissions if it is queued already.
void queueMemberUpdate(Blackboard &blackboard, InstanceId member, std::uint32_t transmissions);
void queueTargetUpdate(Blackboard &blackboard, TargetId target, std::uint32_t transmissions);

} // namespace almondwing
