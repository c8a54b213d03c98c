// Implements the publication and storage of claims.

#include <LibRouting/ClaimController.h>

#include <LibRouting/ClaimTiming.h>
#include <LibRouting/RouteChoice.h>

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace almondwing {

namespace {

// Without a change of the routing view, claims are recomputed less often: a claim that is withdrawn a few
// seconds late costs nothing but a search.
constexpr Duration regularRecomputeInterval = 5s;

// Datagrams may be lost, so a claim is sent again after each of these delays and then at the refresh
// interval.
constexpr std::array<Duration, 2> resendDelays{200ms, 1s};
constexpr Duration refreshInterval = 60s;

// How often the claim of a target is sent to its new dispatcher.
constexpr std::uint32_t transferCount = 3;

using BucketsByTarget = std::unordered_map<TargetId, std::set<std::uint16_t>>;

bool isAssignedElsewhere(ServiceRoutes const &routes, std::uint16_t bucket, TargetId target)
{
    RoutedTarget const *const assigned = routes.targetOfBucket(bucket);
    return assigned == nullptr || assigned->record.id != target;
}

// Returns for each target the buckets in which this instance has flows of the target although the bucket
// table assigns them to another target.
BucketsByTarget exceptionBuckets(Blackboard const &blackboard, RoutingView const &view)
{
    BucketsByTarget result;
    blackboard.flows.forEach([&](FlowKey const &key, FlowRecord const &record) {
        ServiceRoutes const *const routes = view.findService(key.service);
        std::uint16_t const bucket = bucketOfFlow(key);
        if (routes != nullptr && isAssignedElsewhere(*routes, bucket, record.target))
            result[record.target].insert(bucket);
    });
    return result;
}

// Adds buckets and keeps the result sorted and without duplicates.
void addBuckets(std::vector<std::uint16_t> &buckets, std::vector<std::uint16_t> const &added)
{
    buckets.insert(buckets.end(), added.begin(), added.end());
    std::ranges::sort(buckets);
    buckets.erase(std::unique(buckets.begin(), buckets.end()), buckets.end());
}

// Returns the instances that may receive packets for buckets of the service, now or after the loss of a
// dispatcher. The incarnation shows that an instance was restarted and has lost the claims that it had
// received.
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
    std::vector<TargetId> candidates;
    auto const add = [&](TargetId target) {
        bool const isNew = target != except && std::ranges::find(candidates, target) == candidates.end();
        if (isNew && candidates.size() < maxSearchCandidates)
            candidates.push_back(target);
    };
    auto const view = blackboard.routingView.read();
    ServiceRoutes const *const routes = view->findService(service);
    if (routes == nullptr)
        return candidates;
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
    return candidates;
}

ClaimController::ClaimController(Blackboard &sharedBlackboard, Outbox messageOutbox, RequestBuckets requests)
    : blackboard(sharedBlackboard), outbox(std::move(messageOutbox)), requestBuckets(std::move(requests))
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

// Records which targets this instance dispatches for, and sends the claims of targets that have another
// dispatcher now to that dispatcher. A dispatcher that was restarted has not received earlier claims.
void ClaimController::transferClaims(RoutingView const &view, InstanceId self)
{
    std::vector<std::pair<InstanceId, TargetId>> receivers;
    {
        std::scoped_lock const lock(this->mutex);
        for (auto const &[target, service] : view.serviceOfTarget) {
            RoutedTarget const *const routed = view.findTarget(target);
            if (routed->dispatcher == self)
                this->transfersLeft.insert_or_assign(target, transferCount);
        }
        for (auto entry = this->transfersLeft.begin(); entry != this->transfersLeft.end();) {
            RoutedTarget const *const routed = view.findTarget(entry->first);
            bool const hasSuccessor =
                routed != nullptr && routed->dispatcher != self && !routed->dispatcher.isNone();
            if (hasSuccessor) {
                this->published.erase(entry->first);
                receivers.emplace_back(routed->dispatcher, entry->first);
                --entry->second;
            }
            bool const isDone = routed == nullptr || entry->second == 0;
            entry = isDone ? this->transfersLeft.erase(entry) : std::next(entry);
        }
    }
    for (auto const &[receiver, target] : receivers) {
        if (auto const claim = this->blackboard.claims.read(target))
            this->outbox.sendToInstance(receiver, claim->value);
    }
}

// Whether the claims of the previous dispatcher may not have arrived yet. A claim published before that would
// replace a more complete one at its receivers.
bool ClaimController::isAwaitingTransfer(TargetId target, Timestamp now) const
{
    auto const status = this->blackboard.flowTableStatus.read(target);
    if (!status)
        return true;
    return status->value.state == FlowTableState::Partial && now - status->value.since < transferPeriod;
}

bool ClaimController::hasPendingSends() const
{
    bool const hasResends = std::ranges::any_of(
        this->published, [](auto const &entry) { return entry.second.sendCount <= resendDelays.size(); });
    bool const hasTransfers = std::ranges::any_of(
        this->transfersLeft, [](auto const &entry) { return entry.second < transferCount; });
    return hasResends || hasTransfers || this->hasAwaitedTransfers;
}

void ClaimController::tick(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    std::uint64_t const exceptions = this->blackboard.openedExceptions.load(std::memory_order_relaxed);
    {
        std::scoped_lock const lock(this->mutex);
        bool const isUnchanged =
            view == this->lastView && exceptions == this->lastExceptions && !this->hasPendingSends();
        Duration const interval = isUnchanged ? regularRecomputeInterval : changeRecomputeInterval;
        if (this->lastView != nullptr && now - this->lastComputed < interval)
            return;
        this->lastView = view;
        this->lastExceptions = exceptions;
        this->lastComputed = now;
    }
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    this->transferClaims(*view, self);
    bool hasAwaitedTransfer = false;
    BucketsByTarget const flowBuckets = exceptionBuckets(this->blackboard, *view);
    for (auto const &[id, routes] : view->services) {
        for (RoutedTarget const &target : routes->targets) {
            // A claim carries the epoch of the target record. A dispatcher that has not written its own
            // record yet, or that has a successor, would publish under the epoch of another dispatcher and
            // hide the claims of that one.
            if (target.dispatcher != self || target.record.sequence.owner != self)
                continue;
            if (this->isAwaitingTransfer(target.record.id, now)) {
                hasAwaitedTransfer = true;
                continue;
            }
            std::set<std::uint16_t> buckets;
            if (auto const found = flowBuckets.find(target.record.id); found != flowBuckets.end())
                buckets = found->second;
            for (std::uint16_t const bucket : this->requestBuckets(target.record.id)) {
                if (isAssignedElsewhere(*routes, bucket, target.record.id))
                    buckets.insert(bucket);
            }
            this->publishIfNeeded(target, *routes, {buckets.begin(), buckets.end()}, now);
        }
    }
    std::scoped_lock const lock(this->mutex);
    this->hasAwaitedTransfers = hasAwaitedTransfer;
}

// A dispatcher that took over from another does not have records of all flows of the target. It continues to
// claim the buckets that were claimed before, and also claims buckets that move away from the target, because
// they may contain flows that have sent nothing since the takeover.
void ClaimController::addPossibleBuckets(RoutedTarget const &target, ServiceRoutes const &routes,
                                         std::vector<std::uint16_t> &buckets) const
{
    TargetId const id = target.record.id;
    auto const status = this->blackboard.flowTableStatus.read(id);
    if (status && status->value.state == FlowTableState::Complete)
        return;
    std::vector<std::uint16_t> possible;
    if (auto const earlier = this->blackboard.claims.read(id))
        possible = earlier->value.buckets;
    for (BucketMove const &move : routes.recentMoves) {
        if (move.previous == id && isAssignedElsewhere(routes, move.bucket, id))
            possible.push_back(move.bucket);
    }
    addBuckets(buckets, possible);
}

// A bucket that is assigned to its claimant again stays claimed for a while, because instances that still
// have the earlier bucket table look for its flows at another target and find them only by the claim.
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
                                 return !isAssignedElsewhere(routes, bucket, target)
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
        PublishedClaim next = isFirst ? PublishedClaim{} : earlier->second;
        // Buckets whose last flow has ended are withdrawn with the next refresh, or immediately if no bucket
        // is left.
        bool const hasNewBuckets = !std::ranges::includes(next.buckets, buckets);
        bool const isNowEmpty = buckets.empty() && !next.buckets.empty();
        bool const hasChanged = isFirst || hasNewBuckets || isNowEmpty || next.receivers != receivers
            || next.epoch != target.record.sequence.epoch;
        Duration const delay = next.sendCount <= resendDelays.size() && next.sendCount > 0
            ? resendDelays[next.sendCount - 1]
            : refreshInterval;
        bool const isWithdrawn = buckets.empty() && next.sendCount > resendDelays.size();
        if (!hasChanged && (isWithdrawn || now - next.lastSent < delay))
            return;
        next.sendCount = hasChanged ? 1 : next.sendCount + 1;
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
