// The second half of RequestAdmission: from an admitted request to its place in the queue, its records, or
// the dispatcher of another target.

#include <LibRequests/RequestAdmission.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr std::size_t recordQuorum = 2;

} // namespace

void RequestAdmission::admit(RequestKey key, RequestPhase phase, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != phase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Admitting;
            if (current.idempotency == Idempotency::NonIdempotent)
                next.history = RunHistory::NeverRun; // It has been located, where that was needed.
            return next;
        });
    if (!record)
        return;
    phase = RequestPhase::Admitting;
    this->store.changeQueue(record->target,
                            [&](RequestQueue queue) { return withoutActive(std::move(queue), key); });
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record->target);
    Reason const obstacle = this->runner.obstacle(record->target);
    if (obstacle != Reason::None || routed == nullptr) {
        if (!this->spill(key, *record, now))
            this->outcomes.refuse(key, phase, obstacle, Duration::zero(), now);
        return;
    }
    bool const needsRecord = record->idempotency == Idempotency::NonIdempotent;
    if (needsRecord && routed->replicaGroup.size() < recordQuorum) {
        this->outcomes.refuse(key, phase, Reason::NoSecondCopy, Duration::zero(), now);
        return;
    }
    auto const place = [&](RequestQueue const &queue) {
        return decidePlace(record->requestClass, record->deadline - now, queue,
                           this->store.usage(record->target), routed->limits, this->store.times(), now);
    };
    PlaceDecision const outlook = place(this->store.queue(record->target));
    bool const isLong = outlook.place != QueuePlace::Reserved || outlook.wait > this->store.times().spillWait;
    if (isLong && this->spill(key, *record, now))
        return;
    PlaceDecision decision;
    this->store.changeQueue(record->target, [&](RequestQueue queue) {
        decision = place(queue);
        return decision.place == QueuePlace::Reserved
            ? withWaiting(std::move(queue), key, record->requestClass, now)
            : queue;
    });
    if (decision.place != QueuePlace::Reserved)
        this->refuseFull(key, phase, decision, now);
    else if (needsRecord)
        this->startRecording(key, phase, *routed, now);
    else
        this->enqueue(key, phase, record->target, now);
}

void RequestAdmission::refuseFull(RequestKey key, RequestPhase phase, PlaceDecision decision, Timestamp now)
{
    Reason const reason =
        decision.place == QueuePlace::QueueFull ? Reason::QueueFull : Reason::DeadlineTooShort;
    this->outcomes.refuse(key, phase, reason, decision.wait, now);
}

void RequestAdmission::enqueue(RequestKey key, RequestPhase phase, TargetId target, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != phase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Queued;
            next.phaseSince = now;
            return next;
        });
    if (record)
        this->runner.dispatch(target, now);
}

bool RequestAdmission::isInService(RoutedTarget const &target) const
{
    bool const isUsable = !target.dispatcher.isNone() && target.limits.slots > 0
        && (target.record.state == TargetState::Starting || target.record.state == TargetState::Warm);
    return isUsable && !this->store.isTakenOut(target);
}

void RequestAdmission::leaveToSuccessor(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    if (routed == nullptr)
        return;
    if (record.idempotency == Idempotency::NonIdempotent) {
        this->outcomes.refuse(key, RequestPhase::Queued, Reason::LeaseExpired, Duration::zero(), now);
        return;
    }
    auto const moved = this->markForwarded(key, RequestPhase::Queued, routed->dispatcher,
                                           ForwardPurpose::Spill, {record.target}, now);
    if (moved)
        this->passOn(*moved, moved->caller, moved->hops, this->forwardable(key, record, now));
}

Request RequestAdmission::forwardable(RequestKey key, RequestRecord const &record, Timestamp now) const
{
    // An uncertain idempotent request was not located, and must be uncertain at its next dispatcher, too.
    bool const isUncertain =
        record.idempotency == Idempotency::Idempotent && record.history == RunHistory::Uncertain;
    return {.key = key,
            .attempt = isUncertain ? std::max(record.attempt, 2U) : record.attempt,
            .requestClass = record.requestClass,
            .idempotency = record.idempotency,
            .timeLeft = record.deadline - now,
            .payload = record.payload ? *record.payload : ""};
}

// A located request has promises of other instances, and a recorded one has records, for this dispatcher
// only.
bool RequestAdmission::isPinned(RequestKey key, RequestRecord const &record, Timestamp now) const
{
    return record.idempotency == Idempotency::NonIdempotent
        && (record.attempt > 1 || record.recordId != 0 || this->replicas.find(key, now).has_value());
}

void RequestAdmission::leaveTarget(RequestKey key, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Queued)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Admitting;
            next.phaseSince = now;
            next.storedBy = {};
            return next;
        });
    if (!record)
        return;
    this->store.changeQueue(record->target,
                            [&](RequestQueue queue) { return withoutWaiting(std::move(queue), key); });
    bool const hasLeft = this->isPinned(key, *record, now) ? this->moveToOwnTarget(key, *record, now)
                                                           : this->spill(key, *record, now);
    if (!hasLeft)
        this->outcomes.refuse(key, RequestPhase::Admitting, Reason::NoTarget, Duration::zero(), now);
}

bool RequestAdmission::spill(RequestKey key, RequestRecord const &record, Timestamp now)
{
    if (this->isPinned(key, record, now) || record.hops >= this->store.times().maxSpillHops)
        return false;
    return this->moveToOwnTarget(key, record, now) || this->passToOtherDispatcher(key, record, now);
}

bool RequestAdmission::passToOtherDispatcher(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const target = this->chooseSpillTarget(key, record);
    if (!target)
        return false;
    auto const moved = this->markForwarded(key, RequestPhase::Admitting, target->dispatcher,
                                           ForwardPurpose::Spill, {target->record.id}, now);
    if (!moved)
        return true;
    this->passOn(*moved, moved->caller, moved->hops, this->forwardable(key, record, now));
    return true;
}

bool RequestAdmission::moveToOwnTarget(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    ServiceRoutes const *const routes = view->findService(key.service);
    if (routes == nullptr)
        return false;
    InstanceId const self = this->store.self();
    auto const hasRoom = [&](RoutedTarget const &target) {
        return target.record.id != record.target && target.dispatcher == self && this->isInService(target)
            && this->runner.obstacle(target.record.id) == Reason::None
            && expectedWait(record.requestClass, this->store.queue(target.record.id),
                            this->store.usage(target.record.id), target.limits, now)
            == Duration::zero()
            && mayTakeSlot(record.requestClass, this->store.usage(target.record.id), target.limits,
                           this->store.queue(target.record.id), this->store.times(), now);
    };
    auto const found = std::ranges::find_if(routes->targets, hasRoom);
    if (found == routes->targets.end() || !this->store.moveToTarget(key, found->record.id))
        return false;
    this->admit(key, RequestPhase::Admitting, now);
    return true;
}

std::optional<RoutedTarget> RequestAdmission::chooseSpillTarget(RequestKey key,
                                                                RequestRecord const &record) const
{
    auto const view = this->store.view();
    ServiceRoutes const *const routes = view->findService(key.service);
    if (routes == nullptr)
        return std::nullopt;
    InstanceId const self = this->store.self();
    std::vector<RoutedTarget const *> candidates;
    for (RoutedTarget const &target : routes->targets) {
        // The instance that spilled it here holds it as handed elsewhere and would only pass it back.
        if (target.record.id != record.target && target.dispatcher != self
            && target.dispatcher != record.spilledBy && this->isInService(target))
            candidates.push_back(&target);
    }
    if (candidates.empty())
        return std::nullopt;
    return *candidates[this->random() % candidates.size()];
}

void RequestAdmission::startRecording(RequestKey key, RequestPhase phase, RoutedTarget const &target,
                                      Timestamp now)
{
    std::uint64_t const newId = this->random() | 1U; // Never zero, which stands for "not recorded".
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != phase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Recording;
            next.phaseSince = now;
            next.lastSent = now;
            // A request that left its former target is recorded again under the same id.
            next.recordId = current.recordId != 0 ? current.recordId : newId;
            next.group = target.replicaGroup;
            return next;
        });
    if (record)
        this->sendRecords(key, *record, now);
}

RecordRequest RequestAdmission::recordMessage(RequestKey key, RequestRecord const &record,
                                              Timestamp now) const
{
    return {.key = key,
            .target = record.target,
            .dispatcher = this->store.self(),
            .tryId = record.recordId,
            .keepFor = record.deadline - now + this->store.times().keepAfterDeadline};
}

void RequestAdmission::sendRecords(RequestKey key, RequestRecord const &record, Timestamp now)
{
    RecordRequest const message = this->recordMessage(key, record, now);
    InstanceId const self = message.dispatcher;
    for (InstanceId const member : record.group) {
        if (member != self && std::ranges::find(record.storedBy, member) == record.storedBy.end())
            this->outcomes.out().sendToInstance(member, message);
    }
    if (std::ranges::find(record.group, self) == record.group.end())
        return;
    RecordVerdict const verdict = this->replicas.record(message, now);
    this->handleRecordReply(self, {.key = key, .tryId = record.recordId, .verdict = verdict}, now);
}

void RequestAdmission::handleRecordReply(InstanceId from, RecordReply const &reply, Timestamp now)
{
    if (reply.tryId == 0) { // The answer to a Locate; see LocateVerdictHere.
        bool const isRecorded = reply.verdict == RecordVerdict::AlreadyRecorded;
        auto const list = isRecorded ? &LocateProgress::recorded : &LocateProgress::inconclusive;
        this->addAnswer(from, reply.key, list, now);
        return;
    }
    // After the quorum is complete, replies still tell whether a successor would know of the request.
    auto const isExpected = [&](RequestRecord const &current) {
        bool const isQueued = current.phase == RequestPhase::Queued && reply.verdict == RecordVerdict::Stored;
        return (current.phase == RequestPhase::Recording || isQueued) && current.recordId == reply.tryId
            && std::ranges::find(current.group, from) != current.group.end();
    };
    auto const record =
        this->store.change(reply.key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (!isExpected(current) || reply.verdict == RecordVerdict::Refused)
                return std::nullopt;
            RequestRecord next = current;
            // Another dispatcher may have run it. The records stored for this one stay: they keep others
            // from running it, too.
            if (reply.verdict == RecordVerdict::AlreadyRecorded)
                return this->outcomes.finished(
                    next, {.outcome = RequestOutcome::Unknown, .reason = Reason::DispatcherLost}, now);
            if (std::ranges::find(next.storedBy, from) == next.storedBy.end())
                next.storedBy.push_back(from);
            if (current.phase == RequestPhase::Recording && next.storedBy.size() >= recordQuorum) {
                next.phase = RequestPhase::Queued;
                next.phaseSince = now;
            }
            return next;
        });
    if (!record)
        return;
    if (record->phase == RequestPhase::Finished)
        this->outcomes.announce(reply.key, *record);
    if (record->phase == RequestPhase::Queued)
        this->runner.dispatch(record->target, now);
}

void RequestAdmission::giveUpRecording(RequestKey key, Timestamp now)
{
    if (this->outcomes.refuse(key, RequestPhase::Recording, Reason::NoSecondCopy, Duration::zero(), now))
        this->outcomes.out().report(Event::RecordQuorumMissing,
                                    fmt::format("caller {:x}, number {}", key.caller, key.number));
}

void RequestAdmission::takeStep(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record = this->store.find(key);
    if (!record)
        return;
    switch (step) {
    case RequestStep::RepeatLocate:
        if (auto const current = this->store.markSent(key, step, now))
            this->sendLocates(key, current->locate, current->locate.mustAnswer);
        return;
    case RequestStep::EndLocate:
        this->concludeLocating(key, LocateResult::Incomplete, now);
        return;
    case RequestStep::RepeatRecord:
        if (auto const current = this->store.markSent(key, step, now))
            this->sendRecords(key, *current, now);
        return;
    case RequestStep::GiveUpRecording:
        this->giveUpRecording(key, now);
        return;
    case RequestStep::RefuseExpired:
        this->outcomes.refuse(key, record->phase, Reason::DeadlinePassed, Duration::zero(), now);
        return;
    default:
        return;
    }
}

} // namespace almondwing
