// Implements the flows of a target stand-in.

#include <LibStandIns/TargetFlows.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

constexpr Duration retryAfterFull = 1s;

} // namespace

void countWorkWhileLeaving(TargetBlackboard &blackboard, Timestamp now)
{
    auto const behaviour = blackboard.behaviour.read();
    if (behaviour->state != AnnouncedState::Leaving)
        return;
    updateCounts(blackboard, [&](TargetCounts &counts) {
        ++counts.workWhileLeaving;
        counts.lastWorkWhileLeaving = now - behaviour->leavingSince;
    });
}

std::string noticePayload(FlowKey const &key)
{
    return fmt::format("notice {}", key.flow);
}

void TargetFlows::handleOpen(Timestamp now, Endpoint from, OpenFlow const &message)
{
    auto const known = this->blackboard.flows.read(message.key);
    if (known && known->value.liveness == FlowLiveness::Silent)
        return;
    if (!known && !this->admitFlow()) {
        updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.flowsRefused; });
        this->hooks.send(
            from,
            FlowRefused{.key = message.key, .reason = Reason::TargetFull, .retryAfter = retryAfterFull});
        return;
    }
    this->blackboard.flows.update(message.key, [from](std::optional<TargetFlow> flow) {
        TargetFlow next = flow.value_or(TargetFlow{});
        next.lastSender = from;
        return std::optional(next);
    });
    if (!known) {
        countWorkWhileLeaving(this->blackboard, now);
        updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.flowsOpened; });
    }
    this->hooks.send(from, FlowAccepted{.key = message.key});
}

void TargetFlows::handleData(Endpoint from, FlowData const &message)
{
    auto const flow = this->blackboard.flows.update(
        message.key, [from](std::optional<TargetFlow> known) -> std::optional<TargetFlow> {
            if (!known)
                return std::nullopt;
            known->lastSender = from;
            ++known->received;
            return known;
        });
    if (!flow) {
        this->hooks.send(from, FlowBroken{.key = message.key, .reason = Reason::UnknownFlow});
        return;
    }
    if (flow->liveness == FlowLiveness::Normal)
        this->hooks.send(from, message);
}

void TargetFlows::handleClose(CloseFlow const &message)
{
    this->remove(message.key);
}

void TargetFlows::sendNotices()
{
    for (auto const &[key, flow] : this->blackboard.flows.entries()) {
        if (flow.liveness == FlowLiveness::Normal)
            this->hooks.send(flow.lastSender, FlowData{.key = key, .payload = noticePayload(key)});
    }
}

std::size_t TargetFlows::removeFlows(std::size_t limit)
{
    std::size_t removed = 0;
    for (auto const &[key, flow] : this->blackboard.flows.entries()) {
        if (removed == limit)
            break;
        this->remove(key);
        ++removed;
    }
    return removed;
}

std::size_t TargetFlows::silenceFlows(std::size_t limit)
{
    std::size_t silenced = 0;
    for (auto const &[key, flow] : this->blackboard.flows.entries()) {
        if (silenced == limit)
            break;
        if (flow.liveness == FlowLiveness::Silent)
            continue;
        this->blackboard.flows.update(key, [](std::optional<TargetFlow> known) {
            if (known)
                known->liveness = FlowLiveness::Silent;
            return known;
        });
        ++silenced;
    }
    return silenced;
}

bool TargetFlows::admitFlow()
{
    bool isAdmitted = false;
    updateLoad(this->blackboard, this->hooks.now(), [&](TargetLoad load) {
        isAdmitted = load.openFlows < this->settings.connections;
        if (isAdmitted)
            ++load.openFlows;
        return load;
    });
    return isAdmitted;
}

void TargetFlows::remove(FlowKey const &key)
{
    auto const known = this->blackboard.flows.read(key);
    if (!known || this->blackboard.flows.erase(key, known->version) == WriteOutcome::Conflict)
        return;
    updateLoad(this->blackboard, this->hooks.now(), [](TargetLoad load) {
        --load.openFlows;
        return load;
    });
}

} // namespace almondwing
