// Implements the decisions about locating.

#include <LibRequests/LocatePlan.h>

#include <algorithm>

namespace almondwing {

namespace {

bool contains(std::vector<InstanceId> const &list, InstanceId instance)
{
    return std::ranges::find(list, instance) != list.end();
}

void addOnce(std::vector<InstanceId> &list, InstanceId instance)
{
    if (!instance.isNone() && !contains(list, instance))
        list.push_back(instance);
}

// A group of one instance never stores a record, and needs no reader.
bool hasReadQuorum(std::vector<InstanceId> const &group, std::vector<InstanceId> const &vouched)
{
    auto const count =
        std::ranges::count_if(group, [&](InstanceId member) { return contains(vouched, member); });
    return group.size() < 2 || static_cast<std::size_t>(count) + 1 >= group.size();
}

} // namespace

LocatePlan planLocate(ServiceRoutes const &routes, InstanceId self, TargetId ownTarget,
                      DeadCheck const &isDead)
{
    LocatePlan plan;
    for (RoutedTarget const &target : routes.targets) {
        addOnce(plan.ask, target.dispatcher);
        for (InstanceId const member : target.replicaGroup)
            addOnce(plan.ask, member);
        if (target.record.id != ownTarget)
            plan.progress.groups.push_back(target.replicaGroup);
    }
    std::erase(plan.ask, self);
    std::ranges::copy_if(plan.ask, std::back_inserter(plan.progress.mustAnswer),
                         [&](InstanceId instance) { return !isDead(instance); });
    return plan;
}

LocateResult judgeLocate(LocateProgress const &progress)
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
    bool const isVouched = std::ranges::all_of(progress.groups, [&](std::vector<InstanceId> const &group) {
        return hasReadQuorum(group, progress.notKnown);
    });
    return isVouched ? LocateResult::NotKnown : LocateResult::Incomplete;
}

bool mayHaveRunElsewhere(RequestRecord const &record, TargetId target, std::uint16_t bucket,
                         ServiceRoutes const &routes, std::span<ClaimUpdate const> claims,
                         Timestamp takeoverUntil, RequestSettings const &settings, Timestamp now)
{
    // Shortly after a takeover a first send may be a copy of one that the predecessor has run.
    if (record.attempt > 1 || now < takeoverUntil)
        return true;
    // The sender's table is newer or older than the one here: a copy of the request may have gone by the
    // other.
    std::uint16_t const index = routes.buckets[bucket];
    if (index >= routes.targets.size() || routes.targets[index].record.id != target)
        return true;
    if (routes.hasMovedWithin(bucket, settings.bucketSettleTime, now))
        return true;
    // A claim can last for hours. An idempotent request is not located, and could not be refused as "not run"
    // for all that time.
    if (record.idempotency == Idempotency::Idempotent)
        return false;
    return std::ranges::any_of(claims, [&](ClaimUpdate const &claim) {
        return claim.target != target && std::ranges::find(claim.buckets, bucket) != claim.buckets.end();
    });
}

} // namespace almondwing
