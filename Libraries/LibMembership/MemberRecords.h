// Pure functions: the merge rules for member and target records, and the digest of a record.

#pragma once

#include <LibMessages/PeerMessages.h>

#include <optional>
#include <span>

namespace almondwing {

// Returns whether `received` is a later version of the same member than `known`.
bool isNewer(MemberRecord const &received, MemberRecord const &known);

// Returns the record to keep after a record of another member was received, or nullopt if nothing changes. A
// received Dead record makes a member that is alive here only Suspect, and the local suspicion timeout
// decides; a leaving member becomes Dead, and an unknown one is not added. An instance that was isolated
// considers all others dead; when it returns, they must have time to refute its records. For a member that
// really is dead the delay is short, because its suspicion was gossiped before.
std::optional<MemberRecord> mergeMember(std::optional<MemberRecord> const &known,
                                        MemberRecord const &received);

// Returns the new record of this instance after another instance sent `received` about it, or nullopt if
// there is nothing to refute.
std::optional<MemberRecord> refute(MemberRecord const &own, MemberRecord const &received);

// Returns the record to keep after a target record was received, or nullopt if nothing changes.
//
// A record that `self` owns is replaced only by one with a higher epoch. If another owner has used the same
// epoch, the record of `self` is written again with a higher epoch, because the other record would otherwise
// win on other instances.
std::optional<TargetRecord> mergeTarget(std::optional<TargetRecord> const &known,
                                        TargetRecord const &received, InstanceId self);

// The digest of all records is the sum of these, so it does not depend on their order. Dead members and gone
// targets contribute 0, because instances remove them at different times. A suspected member counts as alive,
// because a suspicion ends soon.
std::uint64_t digestOf(MemberRecord const &member);
std::uint64_t digestOf(TargetRecord const &target);

} // namespace almondwing
