// Implements the decisions about locating.

#include <LibRequests/LocatePlan.h>

#include <algorithm>

namespace almondwing {

namespace {

bool contains(std::vector<InstanceId> const &list, InstanceId instance)
{
    return std::ranges::find(list, instance) != list.end();
}

void addUnique(std::vector<InstanceId> &list, InstanceId instance)
{
    if (!instance.isNone() && !contains(list, instance))
        list.push_back(instance);
}

// A group of one instance never stores a record, so it need not be read.
bool hasReadQuorum(std::vector<InstanceId> const &group, std::vector<InstanceId> const &authoritative)
{
    auto const count =
        std::ranges::count_if(group, [&](InstanceId member) { return contains(authoritative, member); });
    return group.size() < 2 || static_cast<std::size_t>(count) + 1 >= group.size();
}

} // namespace

LocatePlan planLocate(ServiceRoutes const &routes, InstanceId self, TargetId exemptTarget,
                      DeadCheck const &isDead)
{
    LocatePlan plan;
    for (RoutedTarget const &target : routes.targets) {
        addUnique(plan.recipients, target.dispatcher);
        for (InstanceId const member : target.replicaGroup)
            addUnique(plan.recipients, member);
        if (target.record.id != exemptTarget)
            plan.progress.groups.push_back(target.replicaGroup);
    }
    std::erase(plan.recipients, self);
    std::ranges::copy_if(plan.recipients, std::back_inserter(plan.progress.mustAnswer),
                         [&](InstanceId instance) { return !isDead(instance); });
    return plan;
}

LocateResult evaluateLocate(LocateProgress const &progress)
{
    bool const allAnswered = std::ranges::all_of(progress.mustAnswer, [&](InstanceId instance) {
        return contains(progress.notKnown, instance) || contains(progress.known, instance)
            || contains(progress.recorded, instance) || contains(progress.inconclusive, instance);
    });
    if (!allAnswered)
        return LocateResult::Pending;
    if (!progress.known.empty())
        return LocateResult::Known;
    if (!progress.recorded.empty())
        return LocateResult::Recorded;
    bool const haveQuorums = std::ranges::all_of(progress.groups, [&](std::vector<InstanceId> const &group) {
        return hasReadQuorum(group, progress.notKnown);
    });
    return haveQuorums ? LocateResult::NotKnown : LocateResult::Incomplete;
}

bool mayHaveRunElsewhere(RequestRecord const &record, TargetId target, std::uint16_t bucket,
                         ServiceRoutes const &routes, std::span<ClaimUpdate const> claims,
                         Timestamp inheritedUntil, RequestSettings const &settings, Timestamp now)
{
    // Shortly after a takeover, a first send may be a copy of one that the predecessor has run.
    if (record.attempt > 1 || now < inheritedUntil)
        return true;
    // The bucket table of the sender differs from the one here. A copy of the request may have been routed by
    // the other table.
    std::uint16_t const index = routes.buckets[bucket];
    if (index >= routes.targets.size() || routes.targets[index].record.id != target)
        return true;
    if (routes.hasMovedWithin(bucket, settings.bucketSettleTime, now))
        return true;
    // A claim can last for hours. Claims don't make idempotent requests uncertain: these are not located, so
    // none of them could be refused as NotRun for all that time.
    if (record.idempotency == Idempotency::Idempotent)
        return false;
    return std::ranges::any_of(claims, [&](ClaimUpdate const &claim) {
        return claim.target != target && std::ranges::find(claim.buckets, bucket) != claim.buckets.end();
    });
}

} // namespace almondwing
