// Implements the callers and targets of the fake cluster.

#include "FakeCluster.h"

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration callerResendInterval = 400ms;
constexpr Endpoint callerEndpoint{.address = 0x7f000001, .port = 9};

std::uint32_t partCount(RequestKey key)
{
    return 1 + static_cast<std::uint32_t>(key.number % 4);
}

} // namespace

RequestKey FakeCluster::send(RequestClass requestClass, Idempotency idempotency, Duration timeLeft)
{
    RequestKey const key{.service = this->service, .caller = this->engine(), .number = ++this->lastNumber};
    this->callers[key] = {.request = {.key = key,
                                      .attempt = 1,
                                      .requestClass = requestClass,
                                      .idempotency = idempotency,
                                      .timeLeft = timeLeft,
                                      .payload = fmt::format("{}", key.number)},
                          .deadline = this->now + timeLeft};
    this->resendUntilOutcome(key, 1);
    return key;
}

void FakeCluster::resendUntilOutcome(RequestKey key, std::uint32_t attempt)
{
    FakeCaller const &caller = this->callers[key];
    if (caller.outcome != RequestOutcome::None || this->now > caller.deadline + 2s)
        return;
    this->sendOnce(key, attempt);
    this->schedule(callerResendInterval,
                   [this, key, attempt] { this->resendUntilOutcome(key, attempt + 1); });
}

void FakeCluster::sendOnce(RequestKey key, std::uint32_t attempt)
{
    FakeCaller &caller = this->callers[key];
    Request request = caller.request;
    request.attempt = attempt;
    request.timeLeft = caller.deadline - this->now;
    std::size_t entry = this->randomBelow(this->instances.size());
    // The fabric sends only to instances that are up, which includes frozen ones.
    while (std::ranges::any_of(this->instances, &FakeInstance::isAlive) && !this->instances[entry].isAlive)
        entry = this->randomBelow(this->instances.size());
    this->transmit([=, this] {
        this->deliver(entry, [=, this] {
            FakeInstance &at = this->instances[entry];
            auto const view = at.board->routingView.read();
            ServiceRoutes const &routes = *view->findService(this->service);
            std::uint16_t const bucket = bucketOf(std::hash<RequestKey>{}(key));
            TargetId const target = routes.targets[routes.buckets[bucket]].record.id;
            this->route(
                at, {.caller = callerEndpoint, .origin = at.id, .candidates = {target}, .message = request});
        });
    });
}

void FakeCluster::handleCallerReply(FakeInstance const &from, unsigned incarnation, CallerReply const &reply)
{
    auto const setOutcome = [&](FakeCaller &caller, RequestOutcome outcome, Reason reason) {
        if (caller.outcome != RequestOutcome::None)
            return;
        caller.outcome = outcome;
        caller.reason = reason;
    };
    if (auto const *const refusal = std::get_if<NotRun>(&reply)) {
        FakeCaller &caller = this->callers[refusal->key];
        caller.refusedBy.insert({from.id, incarnation});
        setOutcome(caller, RequestOutcome::NotRun, refusal->reason);
    } else if (auto const *const unknown = std::get_if<OutcomeUnknown>(&reply)) {
        setOutcome(this->callers[unknown->key], RequestOutcome::Unknown, unknown->reason);
    } else if (auto const *const part = std::get_if<AnswerPart>(&reply)) {
        FakeCaller &caller = this->callers[part->key];
        if (caller.refusedBy.contains({from.id, incarnation}))
            this->violations.emplace_back("an instance answered a request that it had refused");
        if (part->payload != answerText(part->key, part->tryId, part->part))
            this->violations.emplace_back("a caller received a part of another answer");
        auto &parts = caller.parts[part->tryId];
        parts[part->part] = *part;
        auto const &last = parts.rbegin()->second;
        if (last.position != PartPosition::Last || parts.size() != last.part + std::size_t{1})
            return;
        if (parts.size() != partCount(part->key))
            this->violations.emplace_back("an incomplete answer appeared complete");
        setOutcome(caller, RequestOutcome::Answered, Reason::None);
    }
}

std::string FakeCluster::answerText(RequestKey key, std::uint64_t tryId, std::uint32_t part)
{
    return fmt::format("{:x}/{}/{:x}/{}", key.caller, key.number, tryId, part);
}

void FakeCluster::handleTargetCommand(FakeTarget &target, InstanceId from, TargetCommand const &command)
{
    if (!target.isUp)
        return;
    if (auto const *const run = std::get_if<RunRequest>(&command)) {
        this->runTry(target, from, *run);
    } else if (auto const *const cancel = std::get_if<CancelRequest>(&command)) {
        auto &state =
            target.tries.try_emplace({cancel->key, cancel->tryId}, FakeTarget::TryState::Shed).first->second;
        if (state == FakeTarget::TryState::Running) {
            state = FakeTarget::TryState::Ended;
            --target.running;
        }
        if (state == FakeTarget::TryState::Shed)
            this->sendToDispatcher(target, from, Shed{.key = cancel->key, .tryId = cancel->tryId});
        if (state == FakeTarget::TryState::Ended)
            this->sendToDispatcher(target, from, RunEnded{.key = cancel->key, .tryId = cancel->tryId});
    } else if (auto const *const resend = std::get_if<ResendParts>(&command)) {
        auto const known = target.tries.find({resend->key, resend->tryId});
        if (known != target.tries.end() && known->second == FakeTarget::TryState::Answered)
            this->sendAnswer(target, from, resend->key, resend->tryId, resend->parts);
    }
}

void FakeCluster::runTry(FakeTarget &target, InstanceId from, RunRequest const &run)
{
    auto const id = std::pair(run.key, run.tryId);
    if (auto const known = target.tries.find(id); known != target.tries.end()) {
        if (known->second == FakeTarget::TryState::Shed)
            this->sendToDispatcher(target, from, Shed{.key = run.key, .tryId = run.tryId});
        else if (known->second == FakeTarget::TryState::Running)
            this->sendToDispatcher(target, from, RequestStarted{.key = run.key, .tryId = run.tryId});
        else if (known->second == FakeTarget::TryState::Ended)
            this->sendToDispatcher(target, from, RunEnded{.key = run.key, .tryId = run.tryId});
        else
            this->sendAnswer(target, from, run.key, run.tryId, {0, 1, 2, 3});
        return;
    }
    if (this->randomBelow(100) < this->faults.shedPercent) {
        target.tries[id] = FakeTarget::TryState::Shed;
        this->sendToDispatcher(target, from, Shed{.key = run.key, .tryId = run.tryId, .retryAfter = 60ms});
        return;
    }
    target.tries[id] = FakeTarget::TryState::Running;
    ++this->runCounts[run.key];
    target.maxRunning = std::max(target.maxRunning, ++target.running);
    this->sendToDispatcher(target, from, RequestStarted{.key = run.key, .tryId = run.tryId});
    Duration const serviceTime{1
                               + this->randomBelow(static_cast<std::uint64_t>(this->maxServiceTime.count()))};
    auto const startMark = target.startMark;
    this->schedule(serviceTime, [this, &target, id, from, startMark] {
        if (target.startMark != startMark || !target.isUp
            || target.tries[id] != FakeTarget::TryState::Running)
            return;
        --target.running;
        target.tries[id] = FakeTarget::TryState::Answered;
        this->sendAnswer(target, from, id.first, id.second, {0, 1, 2, 3});
    });
}

void FakeCluster::sendAnswer(FakeTarget const &target, InstanceId to, RequestKey key, std::uint64_t tryId,
                             std::vector<std::uint32_t> const &parts)
{
    for (std::uint32_t const part : parts) {
        if (part >= partCount(key))
            continue;
        bool const isLast = part + 1 == partCount(key);
        this->sendToDispatcher(target, to,
                               AnswerPart{.key = key,
                                          .tryId = tryId,
                                          .part = part,
                                          .position = isLast ? PartPosition::Last : PartPosition::NotLast,
                                          .payload = answerText(key, tryId, part)});
    }
}

void FakeCluster::sendToDispatcher(FakeTarget const &target, InstanceId to,
                                   RequestTargetMessage const &message)
{
    auto const index = static_cast<std::size_t>(&this->find(to) - this->instances.data());
    Endpoint const endpoint = target.endpoint;
    this->transmit([=, this] {
        this->deliver(index, [=, this] {
            this->instances[index].controller->handleTargetMessage(endpoint, message, this->now);
        });
    });
}

} // namespace almondwing
