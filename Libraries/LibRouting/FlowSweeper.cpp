// Implements the periodic sweep of all flows.

#include <LibRouting/FlowSweeper.h>

#include <LibRouting/ConnectionCount.h>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

// Redirects that were last written this long ago are dropped; a search finds the flow again.
constexpr Duration redirectLifetime = 10min;

// Entries are dropped this long after their last change. A flow whose caller has sent nothing since then has
// ended; for any other flow, a search may visit the target again.
constexpr Duration targetsWithoutFlowLifetime = flowIdleTimeout;

template<typename Table, typename Predicate>
void removeWhere(Table &table, Predicate const &isOld)
{
    std::vector<FlowKey> old;
    table.forEach([&](FlowKey const &key, auto const &value) {
        if (isOld(value))
            old.push_back(key);
    });
    for (FlowKey const &key : old)
        table.remove(key);
}

struct EndingFlow
{
    FlowKey key;
    FlowRecord record;
    Reason reason = Reason::None;
};

using LastPacketTimes = std::unordered_map<TargetId, Timestamp>;

// Returns when each target last sent a packet of any flow.
LastPacketTimes lastPacketTimesByTarget(Blackboard const &blackboard)
{
    LastPacketTimes lastPacketTimes;
    blackboard.flows.forEach([&](FlowKey const &, FlowRecord const &record) {
        Timestamp &latest = lastPacketTimes[record.target];
        latest = std::max(latest, record.lastFromTarget);
    });
    return lastPacketTimes;
}

std::unordered_set<std::string> domainsTakenOut(Manifest const &manifest)
{
    std::unordered_set<std::string> names;
    for (FailureDomain const &domain : manifest.failureDomains) {
        if (domain.state == FailureDomainState::TakenOut)
            names.insert(domain.name);
    }
    return names;
}

bool isSilent(FlowRecord const &record, LastPacketTimes const &lastPacketTimes, Timestamp now)
{
    if (record.unansweredSince == Timestamp{} || now - record.unansweredSince < answerTimeout)
        return false;
    auto const lastPacketTime = lastPacketTimes.find(record.target);
    return lastPacketTime != lastPacketTimes.end() && lastPacketTime->second > record.unansweredSince;
}

// Returns nullopt for a flow that continues, and Reason::None for a flow whose record is dropped without
// notice to the caller.
std::optional<Reason> reasonToEnd(FlowRecord const &record, RoutingView const &view,
                                  std::unordered_set<std::string> const &takenOut,
                                  LastPacketTimes const &lastPacketTimes, Timestamp now)
{
    RoutedTarget const *const target = view.findTarget(record.target);
    if (target == nullptr || target->record.startMark != record.targetStart)
        return Reason::TargetLost;
    if (takenOut.contains(target->record.failureDomain))
        return Reason::FailureDomainTakenOut;
    Timestamp const lastPacketAt = std::max(record.lastFromCaller, record.lastFromTarget);
    if (record.state == FlowState::Adopted && now - lastPacketAt > adoptionConfirmTimeout)
        return Reason::None;
    if (isSilent(record, lastPacketTimes, now))
        return Reason::TargetSilent;
    if (now - lastPacketAt > flowIdleTimeout)
        return Reason::Cancelled; // Reason has no value for idle flows.
    return std::nullopt;
}

// Only the process that received the first announcement of a target process has seen all its flows. Ownership
// of the target record does not show this, because this instance may have been restarted since.
FlowTableStatus initialFlowTableStatus(Blackboard const &blackboard, TargetRecord const &record,
                                       Timestamp now)
{
    auto const created = blackboard.targetsSeenFromStart.read(record.id);
    bool const isComplete = created && created->value == record.startMark;
    return FlowTableStatus{.state = isComplete ? FlowTableState::Complete : FlowTableState::Partial,
                           .targetStart = record.startMark,
                           .since = now};
}

} // namespace

FlowSweeper::FlowSweeper(Blackboard &sharedBlackboard, Outbox messageOutbox)
    : blackboard(sharedBlackboard), outbox(std::move(messageOutbox))
{
}

void FlowSweeper::refreshFlowTableStatus(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    {
        std::scoped_lock const lock(this->mutex);
        if (view == this->flowTableView)
            return;
        this->flowTableView = view;
    }
    InstanceId const self = this->blackboard.ownStatus.read()->self.id;
    for (auto const &[id, routes] : view->services) {
        for (RoutedTarget const &target : routes->targets) {
            if (target.dispatcher != self) {
                // The new dispatcher may open flows, so the flow table is partial if the target returns here.
                this->blackboard.flowTableStatus.remove(target.record.id);
                this->blackboard.targetsSeenFromStart.remove(target.record.id);
                continue;
            }
            this->blackboard.flowTableStatus.update(
                target.record.id,
                [&](std::optional<FlowTableStatus> const &current) -> std::optional<FlowTableStatus> {
                    if (!current)
                        return initialFlowTableStatus(this->blackboard, target.record, now);
                    if (current->targetStart == target.record.startMark)
                        return std::nullopt;
                    // A new process of the target has no flows of earlier processes.
                    return FlowTableStatus{.state = FlowTableState::Complete,
                                           .targetStart = target.record.startMark,
                                           .since = now};
                });
        }
    }
}

void FlowSweeper::markFlowTablesPartial(Timestamp now)
{
    for (auto const &[target, status] : this->blackboard.flowTableStatus.entries()) {
        this->blackboard.flowTableStatus.update(
            target, [now](std::optional<FlowTableStatus> const &current) -> std::optional<FlowTableStatus> {
                if (!current)
                    return std::nullopt;
                FlowTableStatus next = *current;
                next.state = FlowTableState::Partial;
                next.since = now;
                return next;
            });
    }
}

// A partial flow table becomes complete after the idle timeout: by then each flow without a record has either
// sent a packet and been adopted, or ended.
void FlowSweeper::markOldFlowTablesComplete(Timestamp now)
{
    for (auto const &[target, status] : this->blackboard.flowTableStatus.entries()) {
        this->blackboard.flowTableStatus.update(
            target, [now](std::optional<FlowTableStatus> const &current) -> std::optional<FlowTableStatus> {
                bool const isOldPartial = current && current->state == FlowTableState::Partial
                    && now - current->since > flowIdleTimeout;
                if (!isOldPartial)
                    return std::nullopt;
                FlowTableStatus next = *current;
                next.state = FlowTableState::Complete;
                return next;
            });
    }
}

void FlowSweeper::tick(Timestamp now)
{
    auto const view = this->blackboard.routingView.read();
    {
        std::scoped_lock const lock(this->mutex);
        bool const hasNewConfiguration =
            this->sweptView == nullptr || this->sweptView->configurationVersion != view->configurationVersion;
        Duration const interval = view == this->sweptView ? regularSweepInterval : changeSweepInterval;
        if (!hasNewConfiguration && now - this->lastSweep < interval)
            return;
        this->lastSweep = now;
        this->sweptView = view;
    }
    this->markOldFlowTablesComplete(now);
    auto const takenOutDomains = domainsTakenOut(this->blackboard.configuration.read()->manifest);
    LastPacketTimes const lastPacketTimes = lastPacketTimesByTarget(this->blackboard);
    std::vector<EndingFlow> ending;
    this->blackboard.flows.forEach([&](FlowKey const &key, FlowRecord const &record) {
        if (auto const reason = reasonToEnd(record, *view, takenOutDomains, lastPacketTimes, now))
            ending.push_back(EndingFlow{.key = key, .record = record, .reason = *reason});
    });
    for (EndingFlow const &flow : ending)
        this->endFlow(flow.key, flow.record, flow.reason);
    this->dropStaleClaims(*view);
    this->dropOldRedirects(now);
    this->dropOldTargetsWithoutFlow(now);
}

void FlowSweeper::endFlow(FlowKey const &key, FlowRecord const &record, Reason reason)
{
    this->blackboard.flows.remove(key);
    releaseConnection(this->blackboard, record.target);
    switch (reason) {
    case Reason::TargetSilent:
        this->silent.fetch_add(1, std::memory_order_relaxed);
        break;
    case Reason::TargetLost:
        this->targetLost.fetch_add(1, std::memory_order_relaxed);
        break;
    case Reason::FailureDomainTakenOut:
        this->takenOut.fetch_add(1, std::memory_order_relaxed);
        break;
    default:
        this->idle.fetch_add(1, std::memory_order_relaxed);
        break;
    }
    if (reason == Reason::None)
        return;
    this->outbox.sendToCaller(record.caller, FlowBroken{.key = key, .reason = reason});
    // A target that may still have the flow is told to close it.
    bool const mayTargetHaveFlow = reason == Reason::TargetSilent || reason == Reason::Cancelled;
    if (!mayTargetHaveFlow)
        return;
    auto const view = this->blackboard.routingView.read();
    if (RoutedTarget const *const target = view->findTarget(record.target))
        this->outbox.sendToTarget(target->record.packetEndpoint, CloseFlow{.key = key});
}

void FlowSweeper::dropStaleClaims(RoutingView const &view)
{
    std::vector<TargetId> stale;
    this->blackboard.claims.forEach([&](TargetId target, ClaimUpdate const &) {
        if (view.findTarget(target) == nullptr)
            stale.push_back(target);
    });
    for (TargetId const target : stale)
        this->blackboard.claims.remove(target);
}

void FlowSweeper::dropOldRedirects(Timestamp now)
{
    removeWhere(this->blackboard.redirects,
                [now](FlowRedirect const &redirect) { return now - redirect.lastUsed > redirectLifetime; });
}

void FlowSweeper::dropOldTargetsWithoutFlow(Timestamp now)
{
    removeWhere(this->blackboard.targetsWithoutFlow, [now](TargetsWithoutFlow const &entry) {
        return now - entry.lastAdded > targetsWithoutFlowLifetime;
    });
}

SweepCounters FlowSweeper::counters() const
{
    return SweepCounters{.silent = this->silent,
                         .targetLost = this->targetLost,
                         .takenOut = this->takenOut,
                         .idle = this->idle};
}

} // namespace almondwing
