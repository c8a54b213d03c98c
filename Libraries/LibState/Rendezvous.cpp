// Implements rendezvous hashing of targets over instances.

#include <LibState/Rendezvous.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace almondwing {

namespace {

std::uint64_t scoreOf(TargetId target, InstanceId instance)
{
    return combineHashes(target.value, instance.value);
}

bool canDispatch(MemberRecord const &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

std::vector<InstanceId> rankInstances(TargetId target, std::vector<InstanceId> instances)
{
    std::ranges::sort(instances, [target](InstanceId first, InstanceId second) {
        return std::pair(scoreOf(target, first), first) > std::pair(scoreOf(target, second), second);
    });
    return instances;
}

InstanceId chooseDispatcher(TargetId target, std::string_view failureDomain,
                            std::span<MemberRecord const> members)
{
    InstanceId best;
    for (MemberRecord const &member : members) {
        if (member.failureDomain != failureDomain || !canDispatch(member))
            continue;
        if (best.isNone()
            || std::pair(scoreOf(target, member.id), member.id) > std::pair(scoreOf(target, best), best))
            best = member.id;
    }
    return best;
}

std::vector<InstanceId> chooseReplicaGroup(TargetId target, std::string_view failureDomain,
                                           std::span<MemberRecord const> members)
{
    std::vector<InstanceId> candidates;
    for (MemberRecord const &member : members) {
        if (member.failureDomain == failureDomain)
            candidates.push_back(member.id);
    }
    auto group = rankInstances(target, std::move(candidates));
    group.resize(std::min(group.size(), replicaGroupSize));
    return group;
}

} // namespace almondwing
