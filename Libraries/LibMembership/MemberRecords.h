// The merge rules for member and target records, and the digest over them. Pure functions.

#pragma once

#include <LibMessages/PeerMessages.h>

#include <optional>
#include <span>

namespace almondwing {

// Whether `received` is a later version than `known` of the same member.
bool isNewer(MemberRecord const &received, MemberRecord const &known);

// The record to keep after `received` was heard of another member, or nullopt if nothing changes.
//
// A report that a member is dead makes it only suspected here; the own suspicion period decides. An instance
// that was cut off considers everybody dead, and its reports after its return must leave them time to refute.
// For a member that is really dead this costs little, because its suspicion was spread before.
std::optional<MemberRecord> mergeMember(std::optional<MemberRecord> const &known,
                                        MemberRecord const &received);

// The own record after `received` was heard of this instance itself, or nullopt if it does not have to be
// refuted.
std::optional<MemberRecord> refute(MemberRecord const &own, MemberRecord const &received);

// The record to keep after `received` was heard of a target, or nullopt if nothing changes.
//
// A record that `self` owns gives way only to a higher epoch. When another owner has used the same epoch, the
// own record is written again with a higher one, because the other record would win elsewhere.
std::optional<TargetRecord> mergeTarget(std::optional<TargetRecord> const &known,
                                        TargetRecord const &received, InstanceId self);

// Independent of the order of the records. Dead members and gone targets do not count, because instances
// forget them at different times, and a suspected member counts as alive, because suspicion ends soon.
std::uint64_t digestOf(MemberRecord const &member);
std::uint64_t digestOf(TargetRecord const &target);

} // namespace almondwing
