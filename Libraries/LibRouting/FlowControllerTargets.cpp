// Implements the part of FlowController that handles messages of targets and flow locations from other
// instances.

#include <LibRouting/FlowController.h>

#include <LibRouting/ConnectionCount.h>

namespace almondwing {

void FlowController::handleFlowFound(FlowFound const &found, Timestamp now)
{
    this->blackboard.redirects.update(found.key, [&](auto const &) {
        return FlowRedirect{.target = found.target, .dispatcher = {}, .lastUsed = now};
    });
}

void FlowController::handleTargetMessage(Endpoint from, TargetMessage const &message, Timestamp now)
{
    FlowKey key;
    if (auto const *const accepted = std::get_if<FlowAccepted>(&message))
        key = accepted->key;
    else if (auto const *const refused = std::get_if<FlowRefused>(&message))
        key = refused->key;
    else if (auto const *const data = std::get_if<FlowData>(&message))
        key = data->key;
    else if (auto const *const broken = std::get_if<FlowBroken>(&message))
        key = broken->key;
    else
        return;
    auto const known = this->blackboard.flows.read(key);
    if (!known || !this->isEndpointOf(known->value.target, from)) {
        this->atomicCounters.unmatched.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    FlowRecord const &record = known->value;
    if (auto const *const broken = std::get_if<FlowBroken>(&message)) {
        this->handleTargetBroken(key, record, broken->reason, now);
        return;
    }
    if (auto const *const refused = std::get_if<FlowRefused>(&message)) {
        this->blackboard.flows.remove(key);
        releaseConnection(this->blackboard, record.target);
        this->atomicCounters.refused.fetch_add(1, std::memory_order_relaxed);
        this->outbox.sendToCaller(record.caller, *refused);
        return;
    }
    this->recordAnswer(key, record, now);
    if (auto const *const data = std::get_if<FlowData>(&message))
        this->outbox.sendToCaller(record.caller, *data);
    else
        this->outbox.sendToCaller(record.caller, std::get<FlowAccepted>(message));
}

// A message about a flow is accepted only from the endpoint of the target that has the flow.
bool FlowController::isEndpointOf(TargetId id, Endpoint endpoint) const
{
    return this->blackboard.routingView.select([&](RoutingView const &view) {
        RoutedTarget const *const target = view.findTarget(id);
        return target != nullptr && target->record.packetEndpoint == endpoint;
    });
}

void FlowController::recordAnswer(FlowKey const &key, FlowRecord const &record, Timestamp now)
{
    if (record.state == FlowState::Open && record.unansweredSince == Timestamp{}
        && now - record.lastFromTarget < timeResolution)
        return;
    this->blackboard.flows.update(key,
                                  [&](std::optional<FlowRecord> const &current) -> std::optional<FlowRecord> {
                                      if (!current)
                                          return std::nullopt;
                                      FlowRecord next = *current;
                                      next.state = FlowState::Open;
                                      next.lastFromTarget = now;
                                      next.unansweredSince = Timestamp{};
                                      return next;
                                  });
    if (record.state != FlowState::Opening)
        return;
    this->blackboard.usage.update(
        record.target, [&](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
            TargetUsage next = current.value_or(TargetUsage{});
            ++next.accepted;
            next.lastReceived = now;
            return next;
        });
}

// If a target does not know an adopted flow, the flow was adopted for the wrong target. If another target may
// have the flow, the next packet of the caller starts a search that passes over this target.
void FlowController::handleTargetBroken(FlowKey const &key, FlowRecord const &record, Reason reason,
                                        Timestamp now)
{
    if (record.state != FlowState::Adopted) {
        this->breakFlow(key, record, reason);
        return;
    }
    this->recordTargetWithoutFlow(key, record.target, now);
    bool const hasOtherCandidates =
        !this->searchCandidates(key, record.target).empty() || this->isInGracePeriod(key, record.target, now);
    if (!hasOtherCandidates) {
        this->breakFlow(key, record, reason);
        return;
    }
    this->blackboard.flows.remove(key);
    releaseConnection(this->blackboard, record.target);
    this->atomicCounters.droppedWithoutReply.fetch_add(1, std::memory_order_relaxed);
}

} // namespace almondwing
