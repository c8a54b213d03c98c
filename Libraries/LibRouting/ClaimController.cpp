// Implements the publishing and keeping of claims.

#include <LibRouting/ClaimController.h>

#include <LibRouting/RouteChoice.h>

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

// Claims of a target that this instance has given up are sent to the next dispatcher this often.
constexpr std::uint32_t passOnCount = 3;

// The former dispatcher learns of the new one within a second, and then passes on its claims.
constexpr Duration inheritancePeriod = 2s;

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
        std::uint16_t const bucket = bucketOfFlow(key);
        if (routes != nullptr && isForeignBucket(*routes, bucket, record.target))
            result[record.target].insert(bucket);
    });
    return result;
}

// Keeps the buckets sorted and without repeats.
void addBuckets(std::vector<std::uint16_t> &buckets, std::vector<std::uint16_t> const &added)
{
    buckets.insert(buckets.end(), added.begin(), added.end());
    std::ranges::sort(buckets);
    buckets.erase(std::unique(buckets.begin(), buckets.end()), buckets.end());
}

// Everyone who may get a packet for the service's buckets now, or after the loss of a dispatcher. The
// incarnation tells a process that was restarted, and has lost the claims of others, from its predecessor.
std::vector<ClaimReceiver> receiversOf(Blackboard const &blackboard, ServiceRoutes const &routes,
                                       InstanceId self)
{
    std::set<InstanceId> ids;
    for (RoutedTarget const &target : routes.targets) {
        ids.insert(target.dispatcher);
        ids.insert(target.replicaGroup.begin(), target.replicaGroup.end());
    }
    ids.erase(self);
    ids.erase(InstanceId{});
    std::vector<ClaimReceiver> receivers;
    receivers.reserve(ids.size());
    for (InstanceId const id : ids) {
        auto const member = blackboard.members.read(id);
        receivers.push_back(
            ClaimReceiver{.instance = id, .incarnation = member ? member->value.incarnation : 0});
    }
    return receivers;
}

} // namespace

std::vector<TargetId> candidateTargets(Blackboard const &blackboard, ServiceId service, std::uint16_t bucket,
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
        bool const hasClaim =
            blackboard.claims.containsWhere(target.record.id, [bucket](ClaimUpdate const &claim) {
                return std::ranges::binary_search(claim.buckets, bucket);
            });
        if (hasClaim)
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
    auto const view = this->blackboard.routingView.read();
    RoutedTarget const *const target = view->findTarget(update.target);
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    bool const isFromPredecessor =
        target != nullptr && target->dispatcher == self && update.sequence.owner != self;
    this->blackboard.claims.update(
        update.target, [&](std::optional<ClaimUpdate> const &current) -> std::optional<ClaimUpdate> {
            bool const isOlder = current && current->sequence >= update.sequence;
            if (isOlder && !isFromPredecessor)
                return std::nullopt;
            ClaimUpdate next = isOlder ? *current : update;
            addBuckets(next.buckets, update.buckets);
            return next;
        });
}

// Notes which targets this instance dispatches for now, and sends the claims of those that it has given up to
// their next dispatchers. One that was restarted has not heard what was claimed before.
void ClaimController::passOnClaims(RoutingView const &view, InstanceId self)
{
    std::vector<std::pair<InstanceId, TargetId>> receivers;
    {
        std::scoped_lock const lock(this->mutex);
        for (auto const &[target, service] : view.serviceOfTarget) {
            RoutedTarget const *const routed = view.findTarget(target);
            if (routed->dispatcher == self)
                this->passOnsLeft.insert_or_assign(target, passOnCount);
        }
        for (auto entry = this->passOnsLeft.begin(); entry != this->passOnsLeft.end();) {
            RoutedTarget const *const routed = view.findTarget(entry->first);
            bool const isGivenUp =
                routed != nullptr && routed->dispatcher != self && !routed->dispatcher.isNone();
            if (isGivenUp) {
                this->published.erase(entry->first);
                receivers.emplace_back(routed->dispatcher, entry->first);
                --entry->second;
            }
            bool const isDone = routed == nullptr || entry->second == 0;
            entry = isDone ? this->passOnsLeft.erase(entry) : std::next(entry);
        }
    }
    for (auto const &[receiver, target] : receivers) {
        if (auto const claim = this->blackboard.claims.read(target))
            this->outbox.sendToInstance(receiver, claim->value);
    }
}

// Whether this instance may still lack the claims of the dispatcher before it. What it published would take
// the place of the fuller claim that others hold.
bool ClaimController::isInheriting(TargetId target, Timestamp now) const
{
    auto const flowTableStatus = this->blackboard.flowTableStatus.read(target);
    if (!flowTableStatus)
        return true;
    return flowTableStatus->value.state == FlowTableState::Partial
        && now - flowTableStatus->value.since < inheritancePeriod;
}

bool ClaimController::isBusy() const
{
    bool const hasRepeats = std::ranges::any_of(
        this->published, [](auto const &entry) { return entry.second.repeats <= repeatDelays.size(); });
    bool const hasPassOns =
        std::ranges::any_of(this->passOnsLeft, [](auto const &entry) { return entry.second < passOnCount; });
    return hasRepeats || hasPassOns || this->hasInheriting;
}

void ClaimController::tick(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    std::uint64_t const exceptions = this->blackboard.openedExceptions.load(std::memory_order_relaxed);
    {
        std::scoped_lock const lock(this->mutex);
        bool const isUnchanged =
            view == this->lastView && exceptions == this->lastExceptions && !this->isBusy();
        Duration const interval = isUnchanged ? idleRecomputeInterval : changeRecomputeInterval;
        if (this->lastView != nullptr && now - this->lastComputed < interval)
            return;
        this->lastView = view;
        this->lastExceptions = exceptions;
        this->lastComputed = now;
    }
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    this->passOnClaims(*view, self);
    bool hasInheritingTarget = false;
    BucketsByTarget const flowBuckets = foreignFlowBuckets(this->blackboard, *view);
    for (auto const &[id, routes] : view->services) {
        for (RoutedTarget const &target : routes->targets) {
            // The epoch of a claim is that of the record. A dispatcher whose record is not written yet, or
            // that has been succeeded, would publish under the epoch of another and hide the claims of that
            // one.
            if (target.dispatcher != self || target.record.sequence.owner != self)
                continue;
            if (this->isInheriting(target.record.id, now)) {
                hasInheritingTarget = true;
                continue;
            }
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
    std::scoped_lock const lock(this->mutex);
    this->hasInheriting = hasInheritingTarget;
}

// A dispatcher that took over from another does not know all flows of the target. It keeps claiming what was
// claimed, and claims the buckets that leave the target: flows that were silent since may be in them.
void ClaimController::addPossibleBuckets(RoutedTarget const &target, ServiceRoutes const &routes,
                                         std::vector<std::uint16_t> &buckets) const
{
    TargetId const id = target.record.id;
    auto const flowTableStatus = this->blackboard.flowTableStatus.read(id);
    if (flowTableStatus && flowTableStatus->value.state == FlowTableState::Complete)
        return;
    std::vector<std::uint16_t> possible;
    if (auto const earlier = this->blackboard.claims.read(id))
        possible = earlier->value.buckets;
    for (BucketMove const &move : routes.recentMoves) {
        if (move.previous == id && isForeignBucket(routes, move.bucket, id))
            possible.push_back(move.bucket);
    }
    addBuckets(buckets, possible);
}

// A bucket that the table has given back to its claimant stays claimed for a time: instances that still have
// the table before it look for the bucket's flows at another target, and find them by the claim only.
void ClaimController::keepReturnedBuckets(TargetId target, ServiceRoutes const &routes,
                                          std::vector<std::uint16_t> &buckets, Timestamp now) const
{
    std::vector<std::uint16_t> returned;
    {
        std::scoped_lock const lock(this->mutex);
        auto const earlier = this->published.find(target);
        if (earlier == this->published.end())
            return;
        std::ranges::copy_if(earlier->second.buckets, std::back_inserter(returned),
                             [&](std::uint16_t bucket) {
                                 return !isForeignBucket(routes, bucket, target)
                                     && routes.hasMovedWithin(bucket, bucketMoveRetention, now);
                             });
    }
    addBuckets(buckets, returned);
}

void ClaimController::publishIfNeeded(RoutedTarget const &target, ServiceRoutes const &routes,
                                      std::vector<std::uint16_t> buckets, Timestamp now)
{
    this->addPossibleBuckets(target, routes, buckets);
    this->keepReturnedBuckets(target.record.id, routes, buckets, now);
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    std::vector<ClaimReceiver> const receivers = receiversOf(this->blackboard, routes, self);
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
    for (ClaimReceiver const &receiver : receivers)
        this->outbox.sendToInstance(receiver.instance, update);
}

} // namespace almondwing
