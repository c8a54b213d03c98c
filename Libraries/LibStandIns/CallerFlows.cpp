// Implements the flows of a caller stand-in.

#include <LibStandIns/CallerFlows.h>

#include <LibStandIns/TargetFlows.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace almondwing {

namespace {

constexpr Duration reopenDelay = 100ms;

std::optional<std::uint64_t> sequenceOf(FlowKey const &key, std::string_view payload)
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
    auto const sequence = sequenceOf(key, payload);
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
    this->openDue(this->hooks.now(), 0);
}

void CallerFlows::openDue(Timestamp begin, std::uint64_t opened)
{
    // Against the begin, so that late timers don't lower the rate.
    auto const rate = static_cast<Duration::rep>(std::max<std::uint64_t>(1, this->plan.flowRate));
    auto const due = static_cast<std::uint64_t>((this->hooks.now() - begin) * rate / Duration(1s)) + 1;
    for (; opened < std::min(due, this->plan.flows); ++opened)
        this->open(opened % this->plan.ports);
    if (opened == this->plan.flows)
        return;
    Timestamp const next = begin + Duration(1s) * static_cast<Duration::rep>(opened) / rate;
    this->hooks.schedule(std::max(next - this->hooks.now(), Duration{}),
                         [this, begin, opened] { this->openDue(begin, opened); });
}

void CallerFlows::open(std::size_t port)
{
    FlowKey const key{.service = this->plan.service, .flow = this->hooks.random()};
    CallerFlow flow;
    flow.port = port;
    flow.lastReceived = this->hooks.now();
    this->board.flows.write(key, flow, 0);
    this->sendOpen(key);
}

void CallerFlows::sendOpen(FlowKey const &key)
{
    auto const known = this->board.flows.read(key);
    if (!known || known->value.state != CallerFlowState::Opening)
        return;
    if (known->value.opens == this->plan.openAttempts) {
        if (this->moveState(key, {CallerFlowState::Opening}, CallerFlowState::NoAnswer)) {
            count(this->board, [](CallerCounts &counts) { ++counts.flowsWithoutAnswer; });
            this->reopen(known->value.port, reopenDelay);
        }
        return;
    }
    this->board.flows.update(key, [](std::optional<CallerFlow> flow) {
        if (flow)
            ++flow->opens;
        return flow;
    });
    this->hooks.send(known->value.port, OpenFlow{.key = key, .payload = {}});
    this->hooks.schedule(this->plan.openTimeout, [this, key] { this->sendOpen(key); });
}

void CallerFlows::sendData(FlowKey const &key)
{
    auto const flow = this->board.flows.update(key, [](std::optional<CallerFlow> known) {
        if (known && known->state == CallerFlowState::Established)
            ++known->sent;
        return known;
    });
    if (!flow || flow->state != CallerFlowState::Established)
        return;
    if (this->hooks.now() - flow->lastReceived > this->plan.silentAfter) {
        if (this->moveState(key, {CallerFlowState::Established}, CallerFlowState::Silent)) {
            count(this->board, [](CallerCounts &counts) { ++counts.flowsSilent; });
            this->reopen(flow->port, reopenDelay);
        }
        return;
    }
    this->hooks.send(flow->port,
                     FlowData{.key = key, .payload = flowPayload(key, flow->sent, this->plan.flowBytes)});
    this->hooks.schedule(this->plan.flowInterval, [this, key] { this->sendData(key); });
}

void CallerFlows::reopen(std::size_t port, Duration delay)
{
    if (this->plan.reopening == Reopening::Never)
        return;
    // From another port, because the network may have lost track of the old one.
    std::size_t const nextPort = (port + 1) % this->plan.ports;
    this->hooks.schedule(std::max(delay, reopenDelay), [this, nextPort] { this->open(nextPort); });
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
    if (!this->moveState(key, {CallerFlowState::Opening}, CallerFlowState::Established))
        return;
    this->board.flows.update(key, [now](std::optional<CallerFlow> flow) {
        if (flow)
            flow->lastReceived = now;
        return flow;
    });
    count(this->board, [](CallerCounts &counts) { ++counts.flowsOpened; });
    this->sendData(key);
}

void CallerFlows::handleRefused(FlowRefused const &message)
{
    auto const before = this->moveState(message.key, {CallerFlowState::Opening}, CallerFlowState::Refused);
    if (!before)
        return;
    count(this->board, [&](CallerCounts &counts) { ++counts.flowsRefused[message.reason]; });
    this->reopen(before->port, message.retryAfter);
}

void CallerFlows::handleBroken(FlowBroken const &message)
{
    auto const before = this->moveState(message.key, {CallerFlowState::Opening, CallerFlowState::Established},
                                        CallerFlowState::Broken);
    if (!before)
        return;
    count(this->board, [&](CallerCounts &counts) { ++counts.flowsBroken[message.reason]; });
    this->reopen(before->port, reopenDelay);
}

void CallerFlows::handleData(Timestamp now, FlowData const &message)
{
    auto const known = this->board.flows.read(message.key);
    bool const isNotice = message.payload == noticePayload(message.key);
    if (!known || (!isNotice && !isEcho(message.key, known->value, message.payload, this->plan.flowBytes))) {
        count(this->board, [](CallerCounts &counts) { ++counts.wrongPayloads; });
        return;
    }
    this->board.flows.update(message.key, [now, isNotice](std::optional<CallerFlow> flow) {
        if (!flow)
            return flow;
        flow->longestGap = std::max(flow->longestGap, now - flow->lastReceived);
        flow->lastReceived = now;
        ++(isNotice ? flow->notices : flow->echoes);
        return flow;
    });
}

void CallerFlows::closeAll()
{
    for (auto const &[key, flow] : this->board.flows.entries()) {
        if (this->moveState(key, {CallerFlowState::Established}, CallerFlowState::Closed))
            this->hooks.send(flow.port, CloseFlow{.key = key});
    }
}

std::optional<CallerFlow> CallerFlows::moveState(FlowKey const &key,
                                                 std::initializer_list<CallerFlowState> expected,
                                                 CallerFlowState next)
{
    auto const known = this->board.flows.read(key);
    if (!known || std::ranges::find(expected, known->value.state) == expected.end())
        return std::nullopt;
    CallerFlow changed = known->value;
    changed.state = next;
    if (this->board.flows.write(key, changed, known->version) == WriteOutcome::Conflict)
        return this->moveState(key, expected, next);
    return known->value;
}

} // namespace almondwing
