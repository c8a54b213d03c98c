// Implements the handover of flows and the copying of exceptions.

#include <LibRouting/HandoverController.h>

#include <LibRouting/ConnectionCount.h>
#include <LibRouting/RouteChoice.h>
#include <LibState/Rendezvous.h>

#include <map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

bool isException(RoutingView const &view, FlowKey const &key, TargetId target)
{
    ServiceRoutes const *const routes = view.findService(key.service);
    if (routes == nullptr)
        return false;
    RoutedTarget const *const assigned = routes->targetOfBucket(bucketOfFlow(key));
    return assigned == nullptr || assigned->record.id != target;
}

// The flows of one ExceptionUpdate, all of the same target. At a handover these are any flows of the target,
// not only exceptions.
struct Batch
{
    TargetId target;
    std::vector<FlowException> flows;
};

// Selects up to `limit` flows that `select` accepts, all of the same target as the first of them.
template<typename Select>
Batch selectBatch(Blackboard const &blackboard, std::size_t limit, Select const &select)
{
    Batch batch;
    blackboard.flows.forEach([&](FlowKey const &key, FlowRecord const &record) {
        if (batch.flows.size() >= limit || (!batch.flows.empty() && record.target != batch.target))
            return;
        if (!select(key, record))
            return;
        batch.target = record.target;
        batch.flows.push_back(FlowException{.key = key, .caller = record.caller});
    });
    return batch;
}

bool isDispatchedElsewhere(RoutingView const &view, FlowRecord const &record, InstanceId self)
{
    RoutedTarget const *const target = view.findTarget(record.target);
    return target != nullptr && !target->dispatcher.isNone() && target->dispatcher != self;
}

} // namespace

HandoverController::HandoverController(Blackboard &sharedBlackboard, Outbox messageOutbox)
    : blackboard(sharedBlackboard), outbox(std::move(messageOutbox))
{
}

void HandoverController::handleUpdate(ExceptionUpdate const &update, Timestamp now)
{
    for (FlowException const &flow : update.added)
        this->blackboard.receivedFlowCopies.update(flow.key, [&](auto const &) {
            return FlowCopy{.target = update.target, .caller = flow.caller, .receivedAt = now};
        });
    for (FlowKey const &key : update.removed)
        this->blackboard.receivedFlowCopies.remove(key);
    auto const view = this->blackboard.routingView.read();
    this->promoteCopies(*view, this->blackboard.ownStatus.read()->self.id, now);
}

void HandoverController::tick(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    bool isHandoverDue = false;
    bool isCopyDue = false;
    {
        std::scoped_lock const lock(this->mutex);
        bool const isUrgent = view != this->lastView || this->hasMoreToHandOver;
        isHandoverDue = now - this->lastHandover >= (isUrgent ? handoverInterval : regularHandoverInterval);
        isCopyDue = now - this->lastCopies >= copyInterval;
        if (isHandoverDue) {
            this->lastHandover = now;
            this->lastView = view;
        }
        if (isCopyDue)
            this->lastCopies = now;
    }
    if (isHandoverDue) {
        this->promoteCopies(*view, self, now);
        bool const hasMore = this->handOver(*view, self);
        std::scoped_lock const lock(this->mutex);
        this->hasMoreToHandOver = hasMore;
    }
    if (isCopyDue && this->mayHaveCopiesToSend(*view, self)) {
        this->sendCopies(*view, self);
        this->sendRemovals(*view, self);
    }
}

// Whether there may be exceptions to copy or copies to remove. Only targets with a claim have exceptions.
bool HandoverController::mayHaveCopiesToSend(RoutingView const &view, InstanceId self) const
{
    bool mayHaveCopies = this->blackboard.sentFlowCopies.size() > 0;
    this->blackboard.claims.forEach([&](TargetId id, ClaimUpdate const &claim) {
        RoutedTarget const *const target = view.findTarget(id);
        bool const isOwn = target != nullptr && target->dispatcher == self;
        mayHaveCopies = mayHaveCopies || (isOwn && !claim.buckets.empty());
    });
    return mayHaveCopies;
}

bool HandoverController::hasFlowsToHandOver() const
{
    auto const view = this->blackboard.routingView.read();
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    bool hasFlows = false;
    this->blackboard.flows.forEach([&](FlowKey const &, FlowRecord const &record) {
        hasFlows = hasFlows || isDispatchedElsewhere(*view, record, self);
    });
    return hasFlows;
}

bool HandoverController::handOver(RoutingView const &view, InstanceId self)
{
    Batch batch =
        selectBatch(this->blackboard, flowsPerUpdate, [&](FlowKey const &, FlowRecord const &record) {
            return isDispatchedElsewhere(view, record, self);
        });
    if (batch.flows.empty())
        return false;
    InstanceId const successor = view.findTarget(batch.target)->dispatcher;
    for (FlowException const &flow : batch.flows) {
        this->blackboard.flows.remove(flow.key);
        releaseConnection(this->blackboard, batch.target);
    }
    this->outbox.sendToInstance(
        successor, ExceptionUpdate{.target = batch.target, .added = std::move(batch.flows), .removed = {}});
    return true;
}

void HandoverController::promoteCopies(RoutingView const &view, InstanceId self, Timestamp now)
{
    std::vector<std::pair<FlowKey, FlowCopy>> own;
    std::vector<FlowKey> stale;
    this->blackboard.receivedFlowCopies.forEach([&](FlowKey const &key, FlowCopy const &copy) {
        RoutedTarget const *const target = view.findTarget(copy.target);
        if (target == nullptr) {
            if (now - copy.receivedAt > unknownTargetRetention)
                stale.push_back(key);
        } else if (target->dispatcher == self) {
            own.emplace_back(key, copy);
        }
    });
    for (FlowKey const &key : stale)
        this->blackboard.receivedFlowCopies.remove(key);
    for (auto const &[key, copy] : own) {
        FlowRecord const record{.target = copy.target,
                                .caller = copy.caller,
                                .state = FlowState::Adopted,
                                .targetStart = view.findTarget(copy.target)->record.startMark,
                                .lastFromCaller = now,
                                .lastFromTarget = now,
                                .unansweredSince = {}};
        if (this->blackboard.flows.write(key, record, 0) == WriteOutcome::Written)
            adoptConnection(this->blackboard, copy.target);
        this->blackboard.receivedFlowCopies.remove(key);
    }
}

void HandoverController::sendCopies(RoutingView const &view, InstanceId self)
{
    std::unordered_set<FlowKey> copied;
    this->blackboard.sentFlowCopies.forEach(
        [&](FlowKey const &key, FlowCopy const &) { copied.insert(key); });
    constexpr std::size_t copyLimit = copiesPerSecond / (replicaGroupSize - 1);
    auto const isUncopied = [&](FlowKey const &key, FlowRecord const &record) {
        return isException(view, key, record.target) && !copied.contains(key);
    };
    Batch const batch = selectBatch(this->blackboard, copyLimit, isUncopied);
    if (batch.flows.empty())
        return;
    RoutedTarget const *const target = view.findTarget(batch.target);
    if (target == nullptr || target->dispatcher != self)
        return;
    for (InstanceId const member : target->replicaGroup) {
        if (member != self)
            this->outbox.sendToInstance(
                member, ExceptionUpdate{.target = batch.target, .added = batch.flows, .removed = {}});
    }
    for (FlowException const &flow : batch.flows)
        this->blackboard.sentFlowCopies.update(
            flow.key, [&](auto const &) { return FlowCopy{.target = batch.target, .caller = flow.caller}; });
}

void HandoverController::sendRemovals(RoutingView const &view, InstanceId self)
{
    std::map<TargetId, std::vector<FlowKey>> ended;
    std::size_t count = 0;
    std::vector<std::pair<FlowKey, FlowCopy>> const copied = this->blackboard.sentFlowCopies.entries();
    for (auto const &[key, copy] : copied) {
        auto const flow = this->blackboard.flows.read(key);
        if (count < flowsPerUpdate && (!flow || flow->value.target != copy.target)) {
            ended[copy.target].push_back(key);
            ++count;
        }
    }
    for (auto &[targetId, keys] : ended) {
        for (FlowKey const &key : keys)
            this->blackboard.sentFlowCopies.remove(key);
        RoutedTarget const *const target = view.findTarget(targetId);
        // After a handover the successor has the flows and maintains their copies.
        if (target == nullptr || target->dispatcher != self)
            continue;
        for (InstanceId const member : target->replicaGroup)
            this->outbox.sendToInstance(member,
                                        ExceptionUpdate{.target = targetId, .added = {}, .removed = keys});
    }
}

} // namespace almondwing
