// Implements the runs of tries at a target stand-in.

#include <LibStandIns/TargetRuns.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration tryRetention = 120s;
constexpr Duration retryAfterShed = 100ms;

bool holdsSlot(TryState state)
{
    return state == TryState::Running || state == TryState::Answering;
}

} // namespace

void TargetRuns::handleRun(Timestamp now, Endpoint from, RunRequest const &message)
{
    if (auto const known = this->blackboard.tries.read(message.tryId)) {
        this->handleRepeat(from, message, known->value);
        return;
    }
    auto const behaviour = this->blackboard.behaviour.read();
    if (behaviour->admission == Admission::ShedAll || message.timeLeft <= Duration{}) {
        this->shed(now, from, message);
        return;
    }
    this->start(now, from, message);
}

void TargetRuns::handleRepeat(Endpoint from, RunRequest const &message, TargetTry const &known)
{
    switch (known.state) {
    case TryState::Running:
    case TryState::Answering:
        this->hooks.send(from, RequestStarted{.key = message.key, .tryId = message.tryId});
        return;
    case TryState::Answered:
        this->blackboard.tries.update(message.tryId, [from](std::optional<TargetTry> entry) {
            if (entry)
                entry->from = from;
            return entry;
        });
        this->sendBurst(message.tryId, 0);
        return;
    case TryState::Shed:
        this->hooks.send(from,
                         Shed{.key = message.key, .tryId = message.tryId, .retryAfter = retryAfterShed});
        return;
    case TryState::Cancelled:
    case TryState::Expired:
        this->hooks.send(from, RunEnded{.key = message.key, .tryId = message.tryId});
        return;
    }
}

void TargetRuns::shed(Timestamp now, Endpoint from, RunRequest const &message)
{
    updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.runsShed; });
    TargetTry const entry{
        .key = message.key, .state = TryState::Shed, .from = from, .answerSize = 0, .changedAt = now};
    this->blackboard.tries.write(message.tryId, entry, 0);
    this->hooks.send(from, Shed{.key = message.key, .tryId = message.tryId, .retryAfter = retryAfterShed});
}

void TargetRuns::start(Timestamp now, Endpoint from, RunRequest const &message)
{
    SlotGrant const grant = this->takeSlot(now);
    if (grant == SlotGrant::None) {
        this->shed(now, from, message);
        return;
    }
    RunParameters const parameters =
        RunParameters::parse(message.payload, this->settings.defaultRunParameters);
    TargetTry const entry{.key = message.key,
                          .state = TryState::Running,
                          .from = from,
                          .answerSize = parameters.answerSize,
                          .changedAt = now};
    if (this->blackboard.tries.write(message.tryId, entry, 0) == WriteOutcome::Conflict) {
        this->releaseSlot();
        return;
    }
    this->hooks.recordStart(message);
    countWorkWhileLeaving(this->blackboard, now);
    updateCounts(this->blackboard, [grant](TargetCounts &counts) {
        ++counts.runsStarted;
        counts.overfilledWhileCold += grant == SlotGrant::Overfilled ? 1 : 0;
    });
    this->hooks.send(from, RequestStarted{.key = message.key, .tryId = message.tryId});
    Duration const serviceTime =
        parameters.serviceTime * (grant == SlotGrant::Overfilled ? this->settings.coldSlowdown : 1U);
    if (serviceTime > message.timeLeft)
        this->hooks.schedule(message.timeLeft, [this, tryId = message.tryId] { this->expireRun(tryId); });
    else
        this->hooks.schedule(serviceTime, [this, tryId = message.tryId] { this->finishRun(tryId); });
}

TargetRuns::SlotGrant TargetRuns::takeSlot(Timestamp now)
{
    bool const isCold = this->blackboard.behaviour.read()->isCold(now);
    SlotGrant grant = SlotGrant::None;
    updateLoad(this->blackboard, now, [&](TargetLoad load) {
        grant = SlotGrant::None;
        if (load.running >= this->settings.slots)
            return load;
        bool const isOverfilled = isCold && load.running >= this->settings.coldSlots;
        grant = isOverfilled ? SlotGrant::Overfilled : SlotGrant::Normal;
        ++load.running;
        return load;
    });
    return grant;
}

void TargetRuns::releaseSlot()
{
    updateLoad(this->blackboard, this->hooks.now(), [](TargetLoad load) {
        --load.running;
        return load;
    });
}

bool TargetRuns::transition(std::uint64_t tryId, TryState expected, TryState next)
{
    auto const known = this->blackboard.tries.read(tryId);
    if (!known || known->value.state != expected)
        return false;
    TargetTry changed = known->value;
    changed.state = next;
    changed.changedAt = this->hooks.now();
    if (this->blackboard.tries.write(tryId, changed, known->version) == WriteOutcome::Conflict)
        return this->transition(tryId, expected, next);
    return true;
}

void TargetRuns::finishRun(std::uint64_t tryId)
{
    if (this->transition(tryId, TryState::Running, TryState::Answering))
        this->sendBurst(tryId, 0);
}

void TargetRuns::expireRun(std::uint64_t tryId)
{
    if (!this->transition(tryId, TryState::Running, TryState::Expired))
        return;
    this->releaseSlot();
    updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.runsExpired; });
    if (auto const known = this->blackboard.tries.read(tryId))
        this->hooks.send(known->value.from, RunEnded{.key = known->value.key, .tryId = tryId});
}

void TargetRuns::sendBurst(std::uint64_t tryId, std::uint32_t firstPart)
{
    Duration const frozenFor = this->blackboard.behaviour.read()->frozenUntil - this->hooks.now();
    if (frozenFor > Duration{}) {
        this->hooks.schedule(frozenFor, [this, tryId, firstPart] { this->sendBurst(tryId, firstPart); });
        return;
    }
    auto const known = this->blackboard.tries.read(tryId);
    if (!known || (known->value.state != TryState::Answering && known->value.state != TryState::Answered))
        return;
    TargetTry const &entry = known->value;
    std::uint32_t const partCount = answerPartCount(entry.answerSize);
    std::uint32_t const endPart = std::min(partCount, firstPart + this->settings.burstParts);
    // The slot is released before the last part is sent, because a dispatcher that receives this part may
    // start the next run at once.
    if (endPart == partCount && entry.state == TryState::Answering) {
        if (!this->transition(tryId, TryState::Answering, TryState::Answered))
            return;
        this->releaseSlot();
        updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.runsAnswered; });
    }
    for (std::uint32_t part = firstPart; part < endPart; ++part)
        this->hooks.send(entry.from, makeAnswerPart(entry.key, tryId, entry.answerSize, part));
    if (endPart < partCount)
        this->hooks.schedule(this->settings.burstInterval,
                             [this, tryId, endPart] { this->sendBurst(tryId, endPart); });
}

void TargetRuns::handleCancel(Timestamp now, Endpoint from, CancelRequest const &message)
{
    // A cancellation that arrives before its run request must still prevent the run.
    TargetTry const neverStarted{
        .key = message.key, .state = TryState::Shed, .from = from, .answerSize = 0, .changedAt = now};
    if (this->blackboard.tries.write(message.tryId, neverStarted, 0) == WriteOutcome::Written) {
        this->hooks.send(from, Shed{.key = message.key, .tryId = message.tryId, .retryAfter = Duration{}});
        return;
    }
    bool const isCancelled = this->transition(message.tryId, TryState::Running, TryState::Cancelled)
        || this->transition(message.tryId, TryState::Answering, TryState::Cancelled);
    if (isCancelled) {
        this->releaseSlot();
        updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.runsCancelled; });
    }
    // RunEnded is sent for each repeated cancellation, because the first one may be lost.
    auto const known = this->blackboard.tries.read(message.tryId);
    if (known && (known->value.state == TryState::Cancelled || known->value.state == TryState::Expired))
        this->hooks.send(from, RunEnded{.key = message.key, .tryId = message.tryId});
}

void TargetRuns::handleResend(Endpoint from, ResendParts const &message)
{
    auto const known = this->blackboard.tries.read(message.tryId);
    if (!known || known->value.key != message.key)
        return;
    TargetTry const &entry = known->value;
    if (entry.state != TryState::Answered && entry.state != TryState::Answering)
        return;
    for (std::uint32_t const part : message.parts) {
        if (part < answerPartCount(entry.answerSize))
            this->hooks.send(from, makeAnswerPart(entry.key, message.tryId, entry.answerSize, part));
    }
}

void TargetRuns::removeOldTries(Timestamp now)
{
    for (auto const &[tryId, entry] : this->blackboard.tries.entries()) {
        if (!holdsSlot(entry.state) && now - entry.changedAt > tryRetention)
            this->blackboard.tries.remove(tryId);
    }
}

void TargetRuns::removeAllTries()
{
    for (auto const &[tryId, entry] : this->blackboard.tries.entries()) {
        auto const known = this->blackboard.tries.read(tryId);
        if (known && this->blackboard.tries.erase(tryId, known->version) == WriteOutcome::Written
            && holdsSlot(known->value.state))
            this->releaseSlot();
    }
}

} // namespace almondwing
