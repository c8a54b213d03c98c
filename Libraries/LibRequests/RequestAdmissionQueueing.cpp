// Implements the rest of RequestAdmission: queueing and recording of an admitted request, and its move to
// another target or dispatcher.

#include <LibRequests/RequestAdmission.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr std::size_t recordQuorum = 2;

} // namespace

void RequestAdmission::admit(RequestKey key, RequestPhase expectedPhase, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != expectedPhase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Admitting;
            if (current.idempotency == Idempotency::NonIdempotent)
                next.earlierRun = EarlierRun::Excluded; // It was located if that was needed.
            return next;
        });
    if (!record)
        return;
    expectedPhase = RequestPhase::Admitting;
    this->store.changeQueue(record->target,
                            [&](RequestQueue queue) { return withoutActive(std::move(queue), key); });
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record->target);
    Reason const blockingReason = this->runner.blockingReason(record->target);
    if (blockingReason != Reason::None || routed == nullptr) {
        if (!this->spill(key, *record, now))
            this->outcomeSender.endUnstarted(key, expectedPhase, blockingReason, Duration::zero(), now);
        return;
    }
    bool const needsRecord = record->idempotency == Idempotency::NonIdempotent;
    if (needsRecord && routed->replicaGroup.size() < recordQuorum) {
        this->outcomeSender.endUnstarted(key, expectedPhase, Reason::NoSecondCopy, Duration::zero(), now);
        return;
    }
    auto const decide = [&](RequestQueue const &queue) {
        return decideAdmission(record->requestClass, record->deadline - now, queue,
                               this->store.usage(record->target), routed->limits,
                               this->store.requestSettings(), now);
    };
    AdmissionDecision const estimate = decide(this->store.queue(record->target));
    bool const isWaitLong = estimate.admission != QueueAdmission::Accepted
        || estimate.wait > this->store.requestSettings().spillWaitThreshold;
    if (isWaitLong && this->spill(key, *record, now))
        return;
    AdmissionDecision decision;
    this->store.changeQueue(record->target, [&](RequestQueue queue) {
        decision = decide(queue);
        return decision.admission == QueueAdmission::Accepted
            ? withWaiting(std::move(queue), key, record->requestClass, now)
            : queue;
    });
    if (decision.admission != QueueAdmission::Accepted)
        this->refuseNotAdmitted(key, expectedPhase, decision, now);
    else if (needsRecord)
        this->startRecording(key, expectedPhase, *routed, now);
    else
        this->enqueue(key, expectedPhase, record->target, now);
}

void RequestAdmission::refuseNotAdmitted(RequestKey key, RequestPhase expectedPhase,
                                         AdmissionDecision decision, Timestamp now)
{
    Reason const reason =
        decision.admission == QueueAdmission::QueueFull ? Reason::QueueFull : Reason::DeadlineTooShort;
    this->outcomeSender.endUnstarted(key, expectedPhase, reason, decision.wait, now);
}

void RequestAdmission::enqueue(RequestKey key, RequestPhase expectedPhase, TargetId target, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != expectedPhase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Queued;
            next.phaseSince = now;
            return next;
        });
    if (record)
        this->runner.dispatch(target, now);
}

bool RequestAdmission::mayTakeNewRequests(RoutedTarget const &target) const
{
    bool const isUsable = !target.dispatcher.isNone() && target.limits.slots > 0
        && (target.record.state == TargetState::Starting || target.record.state == TargetState::Warm);
    return isUsable && !this->store.isTakenOut(target);
}

void RequestAdmission::handOffToSuccessor(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.target);
    if (routed == nullptr)
        return;
    if (record.idempotency == Idempotency::NonIdempotent) {
        // The reason is the same whether or not this instance still has its lease.
        this->outcomeSender.endUnstarted(key, RequestPhase::Queued, Reason::LeaseExpired, Duration::zero(),
                                         now);
        return;
    }
    auto const moved = this->markForwarded(key, RequestPhase::Queued, routed->dispatcher,
                                           ForwardPurpose::Spill, {record.target}, now);
    if (moved)
        this->forward(*moved, moved->caller, moved->hops, this->requestToForward(key, record, now));
}

Request RequestAdmission::requestToForward(RequestKey key, RequestRecord const &record, Timestamp now) const
{
    // An uncertain idempotent request was not located. An attempt above 1 keeps it uncertain at its next
    // dispatcher.
    bool const isUncertain =
        record.idempotency == Idempotency::Idempotent && record.earlierRun == EarlierRun::Possible;
    return {.key = key,
            .attempt = isUncertain ? std::max(record.attempt, 2U) : record.attempt,
            .requestClass = record.requestClass,
            .idempotency = record.idempotency,
            .timeLeft = record.deadline - now,
            .payload = record.payload ? *record.payload : ""};
}

bool RequestAdmission::mustStayAtThisInstance(RequestKey key, RequestRecord const &record,
                                              Timestamp now) const
{
    return record.idempotency == Idempotency::NonIdempotent
        && (record.attempt > 1 || record.recordId != 0 || this->replicas.find(key, now).has_value());
}

void RequestAdmission::moveOffTarget(RequestKey key, Timestamp now)
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
    bool const isMoved = this->mustStayAtThisInstance(key, *record, now)
        ? this->moveToOwnTarget(key, *record, now)
        : this->spill(key, *record, now);
    if (!isMoved)
        this->outcomeSender.endUnstarted(key, RequestPhase::Admitting, Reason::NoTarget, Duration::zero(),
                                         now);
}

bool RequestAdmission::spill(RequestKey key, RequestRecord const &record, Timestamp now)
{
    if (this->mustStayAtThisInstance(key, record, now)
        || record.hops >= this->store.requestSettings().maxSpillHops)
        return false;
    return this->moveToOwnTarget(key, record, now) || this->forwardToOtherDispatcher(key, record, now);
}

bool RequestAdmission::forwardToOtherDispatcher(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const target = this->chooseSpillTarget(key, record);
    if (!target)
        return false;
    auto const moved = this->markForwarded(key, RequestPhase::Admitting, target->dispatcher,
                                           ForwardPurpose::Spill, {target->record.id}, now);
    if (!moved)
        return true;
    this->forward(*moved, moved->caller, moved->hops, this->requestToForward(key, record, now));
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
        return target.record.id != record.target && target.dispatcher == self
            && this->mayTakeNewRequests(target)
            && this->runner.blockingReason(target.record.id) == Reason::None
            && expectedWait(record.requestClass, this->store.queue(target.record.id),
                            this->store.usage(target.record.id), target.limits, now)
            == Duration::zero()
            && mayTakeSlot(record.requestClass, this->store.usage(target.record.id), target.limits,
                           this->store.queue(target.record.id), this->store.requestSettings(), now);
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
        // The instance that spilled the request here has it in phase Forwarded and would only forward it
        // back.
        if (target.record.id != record.target && target.dispatcher != self
            && target.dispatcher != record.spilledBy && this->mayTakeNewRequests(target))
            candidates.push_back(&target);
    }
    if (candidates.empty())
        return std::nullopt;
    return *candidates[this->random() % candidates.size()];
}

void RequestAdmission::startRecording(RequestKey key, RequestPhase expectedPhase, RoutedTarget const &target,
                                      Timestamp now)
{
    std::uint64_t const newId = this->random() | 1U; // Zero means "not recorded".
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != expectedPhase)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Recording;
            next.phaseSince = now;
            next.lastSent = now;
            // A request that was moved from another target is recorded again under the same id.
            next.recordId = current.recordId != 0 ? current.recordId : newId;
            next.group = target.replicaGroup;
            return next;
        });
    if (record)
        this->sendRecords(key, *record, now);
}

// The field `tryId` of record messages carries the record id, which is the same for all tries of the request.
RecordRequest RequestAdmission::recordRequest(RequestKey key, RequestRecord const &record,
                                              Timestamp now) const
{
    return {.key = key,
            .target = record.target,
            .dispatcher = this->store.self(),
            .tryId = record.recordId,
            .keepFor = record.deadline - now + this->store.requestSettings().keepAfterDeadline};
}

void RequestAdmission::sendRecords(RequestKey key, RequestRecord const &record, Timestamp now)
{
    RecordRequest const message = this->recordRequest(key, record, now);
    InstanceId const self = message.dispatcher;
    for (InstanceId const member : record.group) {
        if (member != self && std::ranges::find(record.storedBy, member) == record.storedBy.end())
            this->outcomeSender.messageOutbox().sendToInstance(member, message);
    }
    if (std::ranges::find(record.group, self) == record.group.end())
        return;
    RecordVerdict const verdict = this->replicas.record(message, now);
    this->handleRecordReply(self, {.key = key, .tryId = record.recordId, .verdict = verdict}, now);
}

void RequestAdmission::handleRecordReply(InstanceId from, RecordReply const &reply, Timestamp now)
{
    if (reply.tryId == 0) { // The answer to a Locate; see LocalLocateVerdict.
        bool const isRecorded = reply.verdict == RecordVerdict::AlreadyRecorded;
        auto const list = isRecorded ? &LocateProgress::recorded : &LocateProgress::inconclusive;
        this->addLocateAnswer(from, reply.key, list, now);
        return;
    }
    // Replies that arrive after the quorum still show whether a successor has the record of the request.
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
            // Another dispatcher may have run the request. The records that were stored for this dispatcher
            // stay, because they keep all others from running it.
            if (reply.verdict == RecordVerdict::AlreadyRecorded)
                return this->outcomeSender.finishedRecord(
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
        this->outcomeSender.publishOutcome(reply.key, *record);
    if (record->phase == RequestPhase::Queued)
        this->runner.dispatch(record->target, now);
}

void RequestAdmission::giveUpRecording(RequestKey key, Timestamp now)
{
    if (this->outcomeSender.endUnstarted(key, RequestPhase::Recording, Reason::NoSecondCopy, Duration::zero(),
                                         now))
        this->outcomeSender.messageOutbox().report(
            Event::RecordQuorumMissing,
            fmt::format("caller {:x}, request number {}", key.caller, key.number));
}

void RequestAdmission::executeStep(RequestKey key, RequestStep step, Timestamp now)
{
    auto const record = this->store.find(key);
    if (!record)
        return;
    switch (step) {
    case RequestStep::RetransmitLocate:
        if (auto const current = this->store.markSent(key, step, now))
            this->sendLocates(key, current->locate, current->locate.mustAnswer);
        return;
    case RequestStep::EndLocate:
        this->finishLocating(key, LocateResult::Incomplete, now);
        return;
    case RequestStep::RetransmitRecord:
        if (auto const current = this->store.markSent(key, step, now))
            this->sendRecords(key, *current, now);
        return;
    case RequestStep::GiveUpRecording:
        this->giveUpRecording(key, now);
        return;
    case RequestStep::RefusePastDeadline:
        this->outcomeSender.endUnstarted(key, record->phase, Reason::DeadlinePassed, Duration::zero(), now);
        return;
    default:
        return;
    }
}

} // namespace almondwing
