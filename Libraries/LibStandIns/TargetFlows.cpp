// Implements the flows of a target stand-in.

#include <LibStandIns/TargetFlows.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

constexpr Duration retryAfterFull = 1s;

} // namespace

void countNewWork(TargetBoard &board, Timestamp now)
{
    auto const behaviour = board.behaviour.read();
    if (behaviour->state != AnnouncedState::Leaving)
        return;
    count(board, [&](TargetCounts &counts) {
        ++counts.workWhileLeaving;
        counts.lastWorkAfterLeaving = now - behaviour->leavingSince;
    });
}

std::string noticePayload(FlowKey const &key)
{
    return fmt::format("notice {}", key.flow);
}

void TargetFlows::handleOpen(Timestamp now, Endpoint from, OpenFlow const &message)
{
    auto const known = this->board.flows.read(message.key);
    if (known && known->value.liveness == FlowLiveness::Silent)
        return;
    if (!known && !this->admitFlow()) {
        count(this->board, [](TargetCounts &counts) { ++counts.flowsRefused; });
        this->hooks.send(
            from,
            FlowRefused{.key = message.key, .reason = Reason::TargetFull, .retryAfter = retryAfterFull});
        return;
    }
    this->board.flows.update(message.key, [from](std::optional<TargetFlow> flow) {
        TargetFlow next = flow.value_or(TargetFlow{});
        next.lastFrom = from;
        return std::optional(next);
    });
    if (!known) {
        countNewWork(this->board, now);
        count(this->board, [](TargetCounts &counts) { ++counts.flowsOpened; });
    }
    this->hooks.send(from, FlowAccepted{.key = message.key});
}

void TargetFlows::handleData(Endpoint from, FlowData const &message)
{
    auto const flow = this->board.flows.update(
        message.key, [from](std::optional<TargetFlow> known) -> std::optional<TargetFlow> {
            if (!known)
                return std::nullopt;
            known->lastFrom = from;
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

void TargetFlows::pushNotices()
{
    for (auto const &[key, flow] : this->board.flows.entries()) {
        if (flow.liveness == FlowLiveness::Normal)
            this->hooks.send(flow.lastFrom, FlowData{.key = key, .payload = noticePayload(key)});
    }
}

std::size_t TargetFlows::forget(std::size_t maximum)
{
    std::size_t forgotten = 0;
    for (auto const &[key, flow] : this->board.flows.entries()) {
        if (forgotten == maximum)
            break;
        this->remove(key);
        ++forgotten;
    }
    return forgotten;
}

std::size_t TargetFlows::silence(std::size_t maximum)
{
    std::size_t silenced = 0;
    for (auto const &[key, flow] : this->board.flows.entries()) {
        if (silenced == maximum)
            break;
        if (flow.liveness == FlowLiveness::Silent)
            continue;
        this->board.flows.update(key, [](std::optional<TargetFlow> known) {
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
    changeLoad(this->board, this->hooks.now(), [&](TargetLoad load) {
        isAdmitted = load.openFlows < this->traits.connections;
        if (isAdmitted)
            ++load.openFlows;
        return load;
    });
    return isAdmitted;
}

void TargetFlows::remove(FlowKey const &key)
{
    auto const known = this->board.flows.read(key);
    if (!known || this->board.flows.erase(key, known->version) == WriteOutcome::Conflict)
        return;
    changeLoad(this->board, this->hooks.now(), [](TargetLoad load) {
        --load.openFlows;
        return load;
    });
}

} // namespace almondwing
