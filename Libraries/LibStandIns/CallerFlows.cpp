// Implements the flows of a caller stand-in.

#include <LibStandIns/CallerFlows.h>

#include <LibStandIns/TargetFlows.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace almondwing {

namespace {

constexpr Duration replacementDelay = 100ms;

std::optional<std::uint64_t> parseSequence(FlowKey const &key, std::string_view payload)
{
    std::string const prefix = fmt::format("flow {} ", key.flow);
    if (!payload.starts_with(prefix))
        return std::nullopt;
    std::uint64_t sequence = 0;
    char const *const begin = payload.data() + prefix.size();
    if (std::from_chars(begin, payload.data() + payload.size(), sequence).ec != std::errc{})
        return std::nullopt;
    return sequence;
}

bool isEcho(FlowKey const &key, CallerFlow const &flow, std::string_view payload, std::size_t size)
{
    auto const sequence = parseSequence(key, payload);
    return sequence && *sequence <= flow.sent && payload == flowPayload(key, *sequence, size);
}

} // namespace

std::string flowPayload(FlowKey const &key, std::uint64_t sequence, std::size_t size)
{
    std::string payload = fmt::format("flow {} {} ", key.flow, sequence);
    payload.resize(std::max(size, payload.size()), '.');
    return payload;
}

void CallerFlows::start()
{
    this->openDueFlows(this->hooks.now(), 0);
}

void CallerFlows::openDueFlows(Timestamp begin, std::uint64_t opened)
{
    // The number of due flows is computed from the start time, so that late timers don't lower the rate.
    auto const rate = static_cast<Duration::rep>(std::max<std::uint64_t>(1, this->plan.flowRate));
    auto const due = static_cast<std::uint64_t>((this->hooks.now() - begin) * rate / Duration(1s)) + 1;
    for (; opened < std::min(due, this->plan.flows); ++opened)
        this->open(opened % this->plan.socketCount);
    if (opened == this->plan.flows)
        return;
    Timestamp const next = begin + Duration(1s) * static_cast<Duration::rep>(opened) / rate;
    this->hooks.schedule(std::max(next - this->hooks.now(), Duration{}),
                         [this, begin, opened] { this->openDueFlows(begin, opened); });
}

void CallerFlows::open(std::size_t socketIndex)
{
    FlowKey const key{.service = this->plan.service, .flow = this->hooks.random()};
    CallerFlow flow;
    flow.socketIndex = socketIndex;
    flow.lastReceived = this->hooks.now();
    this->blackboard.flows.write(key, flow, 0);
    this->sendOpen(key);
}

void CallerFlows::sendOpen(FlowKey const &key)
{
    auto const known = this->blackboard.flows.read(key);
    if (!known || known->value.state != CallerFlowState::Opening)
        return;
    if (known->value.opensSent == this->plan.openAttempts) {
        if (this->transition(key, {CallerFlowState::Opening}, CallerFlowState::NoAnswer)) {
            updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.flowsWithoutAnswer; });
            this->openReplacement(known->value.socketIndex, replacementDelay);
        }
        return;
    }
    this->blackboard.flows.update(key, [](std::optional<CallerFlow> flow) {
        if (flow)
            ++flow->opensSent;
        return flow;
    });
    this->hooks.send(known->value.socketIndex, OpenFlow{.key = key, .payload = {}});
    this->hooks.schedule(this->plan.openTimeout, [this, key] { this->sendOpen(key); });
}

void CallerFlows::sendData(FlowKey const &key)
{
    auto const flow = this->blackboard.flows.update(key, [](std::optional<CallerFlow> known) {
        if (known && known->state == CallerFlowState::Established)
            ++known->sent;
        return known;
    });
    if (!flow || flow->state != CallerFlowState::Established)
        return;
    if (this->hooks.now() - flow->lastReceived > this->plan.silenceTimeout) {
        if (this->transition(key, {CallerFlowState::Established}, CallerFlowState::Silent)) {
            updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.flowsSilent; });
            this->openReplacement(flow->socketIndex, replacementDelay);
        }
        return;
    }
    this->hooks.send(flow->socketIndex,
                     FlowData{.key = key, .payload = flowPayload(key, flow->sent, this->plan.flowBytes)});
    this->hooks.schedule(this->plan.flowInterval, [this, key] { this->sendData(key); });
}

void CallerFlows::openReplacement(std::size_t socketIndex, Duration delay)
{
    if (this->plan.replacePolicy == ReplacePolicy::Never)
        return;
    // The new flow uses the next socket, because a middlebox may have lost the state of the old
    // socket's address.
    std::size_t const nextSocketIndex = (socketIndex + 1) % this->plan.socketCount;
    this->hooks.schedule(std::max(delay, replacementDelay),
                         [this, nextSocketIndex] { this->open(nextSocketIndex); });
}

void CallerFlows::handle(Timestamp now, CallerReply const &reply)
{
    if (auto const *const accepted = std::get_if<FlowAccepted>(&reply))
        this->handleAccepted(now, accepted->key);
    else if (auto const *const refused = std::get_if<FlowRefused>(&reply))
        this->handleRefused(*refused);
    else if (auto const *const broken = std::get_if<FlowBroken>(&reply))
        this->handleBroken(*broken);
    else if (auto const *const data = std::get_if<FlowData>(&reply))
        this->handleData(now, *data);
}

void CallerFlows::handleAccepted(Timestamp now, FlowKey const &key)
{
    if (!this->transition(key, {CallerFlowState::Opening}, CallerFlowState::Established))
        return;
    this->blackboard.flows.update(key, [now](std::optional<CallerFlow> flow) {
        if (flow)
            flow->lastReceived = now;
        return flow;
    });
    updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.flowsOpened; });
    this->sendData(key);
}

void CallerFlows::handleRefused(FlowRefused const &message)
{
    auto const before = this->transition(message.key, {CallerFlowState::Opening}, CallerFlowState::Refused);
    if (!before)
        return;
    updateCounts(this->blackboard, [&](CallerCounts &counts) { ++counts.flowsRefused[message.reason]; });
    this->openReplacement(before->socketIndex, message.retryAfter);
}

void CallerFlows::handleBroken(FlowBroken const &message)
{
    auto const before = this->transition(
        message.key, {CallerFlowState::Opening, CallerFlowState::Established}, CallerFlowState::Broken);
    if (!before)
        return;
    updateCounts(this->blackboard, [&](CallerCounts &counts) { ++counts.flowsBroken[message.reason]; });
    this->openReplacement(before->socketIndex, replacementDelay);
}

void CallerFlows::handleData(Timestamp now, FlowData const &message)
{
    auto const known = this->blackboard.flows.read(message.key);
    bool const isNotice = message.payload == noticePayload(message.key);
    if (!known || (!isNotice && !isEcho(message.key, known->value, message.payload, this->plan.flowBytes))) {
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.wrongPayloads; });
        return;
    }
    this->blackboard.flows.update(message.key, [now, isNotice](std::optional<CallerFlow> flow) {
        if (!flow)
            return flow;
        flow->maxGap = std::max(flow->maxGap, now - flow->lastReceived);
        flow->lastReceived = now;
        ++(isNotice ? flow->notices : flow->echoes);
        return flow;
    });
}

void CallerFlows::closeAll()
{
    for (auto const &[key, flow] : this->blackboard.flows.entries()) {
        if (this->transition(key, {CallerFlowState::Established}, CallerFlowState::Closed))
            this->hooks.send(flow.socketIndex, CloseFlow{.key = key});
    }
}

std::optional<CallerFlow> CallerFlows::transition(FlowKey const &key,
                                                  std::initializer_list<CallerFlowState> expected,
                                                  CallerFlowState next)
{
    auto const known = this->blackboard.flows.read(key);
    if (!known || std::ranges::find(expected, known->value.state) == expected.end())
        return std::nullopt;
    CallerFlow changed = known->value;
    changed.state = next;
    if (this->blackboard.flows.write(key, changed, known->version) == WriteOutcome::Conflict)
        return this->transition(key, expected, next);
    return known->value;
}

} // namespace almondwing
