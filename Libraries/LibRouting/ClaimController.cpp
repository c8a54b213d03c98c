// Implements the publishing and keeping of claims.

#include <LibRouting/ClaimController.h>

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace almondwing {

namespace {

// The claims are computed soon after a change of the view, and seldom otherwise: a claim that stays a few
// seconds too long only costs a search.
constexpr Duration changeRecomputeInterval = 500ms;
constexpr Duration idleRecomputeInterval = 5s;

// A claim is sent again after each of these times, because datagrams get lost, and then at the refresh
// interval.
constexpr std::array<Duration, 2> repeatDelays{200ms, 1s};
constexpr Duration refreshInterval = 60s;

using BucketsByTarget = std::unordered_map<TargetId, std::set<std::uint16_t>>;

bool isForeignBucket(ServiceRoutes const &routes, std::uint16_t bucket, TargetId target)
{
    RoutedTarget const *const owner = routes.targetOfBucket(bucket);
    return owner == nullptr || owner->record.id != target;
}

// Buckets in which targets have flows here although the table names another target.
BucketsByTarget foreignFlowBuckets(Blackboard const &blackboard, RoutingView const &view)
{
    BucketsByTarget result;
    blackboard.flows.forEach([&](FlowKey const &key, FlowRecord const &record) {
        ServiceRoutes const *const routes = view.findService(key.service);
        std::uint16_t const bucket = bucketOf(std::hash<FlowKey>{}(key));
        if (routes != nullptr && isForeignBucket(*routes, bucket, record.target))
            result[record.target].insert(bucket);
    });
    return result;
}

// Everyone who may get a packet for the service's buckets now, or after the loss of a dispatcher.
std::vector<InstanceId> receiversOf(ServiceRoutes const &routes, InstanceId self)
{
    std::set<InstanceId> receivers;
    for (RoutedTarget const &target : routes.targets) {
        receivers.insert(target.dispatcher);
        receivers.insert(target.replicaGroup.begin(), target.replicaGroup.end());
    }
    receivers.erase(self);
    receivers.erase(InstanceId{});
    return {receivers.begin(), receivers.end()};
}

} // namespace

std::vector<TargetId> possibleHolders(Blackboard const &blackboard, ServiceId service, std::uint16_t bucket,
                                      TargetId except)
{
    std::vector<TargetId> holders;
    auto const add = [&](TargetId target) {
        bool const isNew = target != except && std::ranges::find(holders, target) == holders.end();
        if (isNew && holders.size() < maximumCandidates)
            holders.push_back(target);
    };
    auto const view = blackboard.routingView.read();
    ServiceRoutes const *const routes = view->findService(service);
    if (routes == nullptr)
        return holders;
    for (BucketMove const &move : routes->recentMoves) {
        if (move.bucket == bucket)
            add(move.previous);
    }
    for (RoutedTarget const &target : routes->targets) {
        auto const claim = blackboard.claims.read(target.record.id);
        if (claim && std::ranges::binary_search(claim->value.buckets, bucket))
            add(target.record.id);
    }
    return holders;
}

ClaimController::ClaimController(Blackboard &sharedBlackboard, Outbox sendingHooks, RequestBuckets requests)
    : blackboard(sharedBlackboard), outbox(std::move(sendingHooks)), requestBuckets(std::move(requests))
{
}

void ClaimController::handleClaim(ClaimUpdate const &update)
{
    this->blackboard.claims.update(
        update.target, [&](std::optional<ClaimUpdate> const &current) -> std::optional<ClaimUpdate> {
            if (current && current->sequence >= update.sequence)
                return std::nullopt;
            ClaimUpdate next = update;
            std::ranges::sort(next.buckets);
            return next;
        });
}

bool ClaimController::hasRepeatsToSend() const
{
    return std::ranges::any_of(this->published,
                               [](auto const &entry) { return entry.second.repeats <= repeatDelays.size(); });
}

void ClaimController::tick(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    std::uint64_t const exceptions = this->blackboard.openedExceptions.load(std::memory_order_relaxed);
    {
        std::scoped_lock const lock(this->mutex);
        bool const isUnchanged =
            view == this->lastView && exceptions == this->lastExceptions && !this->hasRepeatsToSend();
        Duration const interval = isUnchanged ? idleRecomputeInterval : changeRecomputeInterval;
        if (this->lastView != nullptr && now - this->lastComputed < interval)
            return;
        this->lastView = view;
        this->lastExceptions = exceptions;
        this->lastComputed = now;
    }
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    BucketsByTarget const flowBuckets = foreignFlowBuckets(this->blackboard, *view);
    for (auto const &[id, routes] : view->services) {
        for (RoutedTarget const &target : routes->targets) {
            // The epoch of a claim is that of the record. A dispatcher whose record is not written yet, or
            // that has been succeeded, would publish under the epoch of another and hide the claims of that
            // one.
            if (target.dispatcher != self || target.record.sequence.owner != self)
                continue;
            std::set<std::uint16_t> buckets;
            if (auto const found = flowBuckets.find(target.record.id); found != flowBuckets.end())
                buckets = found->second;
            for (std::uint16_t const bucket : this->requestBuckets(target.record.id)) {
                if (isForeignBucket(*routes, bucket, target.record.id))
                    buckets.insert(bucket);
            }
            this->publishIfNeeded(target, *routes, {buckets.begin(), buckets.end()}, now);
        }
    }
}

// A dispatcher that took over from a dead one does not know all its flows, so it keeps claiming what was
// claimed.
void ClaimController::adoptPredecessorBuckets(RoutedTarget const &target,
                                              std::vector<std::uint16_t> &buckets) const
{
    auto const knowledge = this->blackboard.knowledge.read(target.record.id);
    auto const earlier = this->blackboard.claims.read(target.record.id);
    bool const isComplete = knowledge && knowledge->value.state == KnowledgeState::Complete;
    if (isComplete || !earlier)
        return;
    std::vector<std::uint16_t> merged;
    std::ranges::set_union(buckets, earlier->value.buckets, std::back_inserter(merged));
    buckets = std::move(merged);
}

void ClaimController::publishIfNeeded(RoutedTarget const &target, ServiceRoutes const &routes,
                                      std::vector<std::uint16_t> buckets, Timestamp now)
{
    this->adoptPredecessorBuckets(target, buckets);
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    std::vector<InstanceId> const receivers = receiversOf(routes, self);
    ClaimUpdate update{.target = target.record.id, .service = routes.id, .sequence = {}, .buckets = buckets};
    {
        std::scoped_lock const lock(this->mutex);
        auto const earlier = this->published.find(target.record.id);
        bool const isFirst = earlier == this->published.end();
        if (isFirst && buckets.empty())
            return;
        Published next = isFirst ? Published{} : earlier->second;
        // Buckets whose last flow has ended are withdrawn with the next refresh, or at once if none is left.
        bool const hasNewBuckets = !std::ranges::includes(next.buckets, buckets);
        bool const isNowEmpty = buckets.empty() && !next.buckets.empty();
        bool const hasChanged = isFirst || hasNewBuckets || isNowEmpty || next.receivers != receivers
            || next.epoch != target.record.sequence.epoch;
        Duration const delay = next.repeats <= repeatDelays.size() && next.repeats > 0
            ? repeatDelays[next.repeats - 1]
            : refreshInterval;
        bool const isWithdrawn = buckets.empty() && next.repeats > repeatDelays.size();
        if (!hasChanged && (isWithdrawn || now - next.lastSent < delay))
            return;
        next.repeats = hasChanged ? 1 : next.repeats + 1;
        next.buckets = std::move(buckets);
        next.receivers = receivers;
        next.epoch = target.record.sequence.epoch;
        next.lastSent = now;
        this->published.insert_or_assign(target.record.id, std::move(next));
        update.sequence =
            TargetSequence{.epoch = target.record.sequence.epoch, .counter = ++this->counter, .owner = self};
    }
    this->handleClaim(update);
    for (InstanceId const receiver : receivers)
        this->outbox.sendToInstance(receiver, update);
}

} // namespace almondwing
