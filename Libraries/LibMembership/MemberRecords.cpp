// Implements the merge rules and the digest.

#include <LibMembership/MemberRecords.h>

#include <LibCore/Hash.h>

#include <utility>

namespace almondwing {

bool isNewer(MemberRecord const &received, MemberRecord const &known)
{
    return std::pair(received.incarnation, received.state) > std::pair(known.incarnation, known.state);
}

std::optional<MemberRecord> mergeMember(std::optional<MemberRecord> const &known,
                                        MemberRecord const &received)
{
    // Incarnation 0 marks a placeholder for a member whose own record has not been received yet.
    if (received.incarnation == 0)
        return std::nullopt;
    bool const isDead = received.state == MemberState::Dead;
    if (!known)
        return isDead ? std::nullopt : std::optional(received);
    if (!isNewer(received, *known))
        return std::nullopt;
    bool const isAliveOrSuspect = known->state == MemberState::Alive || known->state == MemberState::Suspect;
    if (!isDead || !isAliveOrSuspect)
        return received;
    auto suspected = received;
    suspected.state = MemberState::Suspect;
    return isNewer(suspected, *known) ? std::optional(suspected) : std::nullopt;
}

std::optional<MemberRecord> refute(MemberRecord const &own, MemberRecord const &received)
{
    if (!isNewer(received, own))
        return std::nullopt;
    auto next = own;
    next.incarnation = received.incarnation + 1;
    return next;
}

std::optional<TargetRecord> mergeTarget(std::optional<TargetRecord> const &known,
                                        TargetRecord const &received, InstanceId self)
{
    if (!known)
        return received;
    if (received.sequence <= known->sequence)
        return std::nullopt;
    bool const isOwn = known->sequence.owner == self;
    if (!isOwn || received.sequence.epoch > known->sequence.epoch)
        return received;
    if (received.sequence.owner == self)
        return std::nullopt;
    auto next = *known;
    next.sequence.epoch = received.sequence.epoch + 1;
    return next;
}

std::uint64_t digestOf(MemberRecord const &member)
{
    if (member.state == MemberState::Dead)
        return 0;
    auto const state = member.state == MemberState::Suspect ? MemberState::Alive : member.state;
    return combineHashes(combineHashes(member.id.value, member.incarnation),
                         static_cast<std::uint64_t>(state));
}

std::uint64_t digestOf(TargetRecord const &target)
{
    if (target.state == TargetState::Gone)
        return 0;
    auto const version = combineHashes(target.sequence.epoch, target.sequence.counter);
    return combineHashes(target.id.value, combineHashes(version, target.sequence.owner.value));
}

} // namespace almondwing
