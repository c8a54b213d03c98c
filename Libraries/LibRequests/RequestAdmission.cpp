// Implements the arrival of requests: resends, refusals and locating.

#include <LibRequests/RequestAdmission.h>

#include <LibRequests/RetryPolicy.h>

#include <algorithm>

namespace almondwing {

namespace {

// An idempotent request is not located, because a second run does no harm.
bool mustLocate(RequestRecord const &record)
{
    return record.idempotency == Idempotency::NonIdempotent && record.earlierRun == EarlierRun::Possible;
}

} // namespace

RequestAdmission::RequestAdmission(RequestStore &requestStore, OutcomeSender &sender, TryRunner &tryRunner,
                                   ReplicaRecords &groupRecords, RandomSource const &randomSource)
    : store(requestStore), outcomeSender(sender), runner(tryRunner), replicas(groupRecords),
      random(randomSource)
{
}

RequestRecord RequestAdmission::initialRecord(IncomingRequest const &incoming, Timestamp now) const
{
    RequestRecord record;
    record.target = incoming.target;
    record.caller = incoming.caller;
    record.attempt = incoming.request.attempt;
    record.requestClass = incoming.request.requestClass;
    record.idempotency = incoming.request.idempotency;
    record.hops = incoming.hops;
    if (incoming.purpose == ForwardPurpose::Spill)
        record.spilledBy = incoming.origin;
    record.receivedAt = now;
    record.deadline = now + std::min(incoming.request.timeLeft, this->store.requestSettings().maxTimeLeft);
    record.payload = std::make_shared<std::string const>(incoming.request.payload);
    record.phaseSince = now;
    // Without a lease, another instance may have become the dispatcher and may have run a resend.
    bool const mayBeReplaced = this->store.board().ownStatus.read()->lease != LeaseState::Held;
    bool const isUncertain =
        mayBeReplaced || this->mayHaveRun(record, incoming.request.key, incoming.purpose, now);
    record.earlierRun = isUncertain ? EarlierRun::Possible : EarlierRun::Excluded;
    return record;
}

bool RequestAdmission::mayHaveRun(RequestRecord const &record, RequestKey key, ForwardPurpose purpose,
                                  Timestamp now) const
{
    // The dispatcher that spilled a first send knows that it has not run and will not run it itself.
    bool const isFreshSpill = purpose == ForwardPurpose::Spill && record.attempt == 1;
    auto const view = this->store.view();
    ServiceRoutes const *const routes = view->findService(key.service);
    if (routes == nullptr || isFreshSpill)
        return record.attempt > 1;
    std::vector<ClaimUpdate> claims;
    for (RoutedTarget const &target : routes->targets) {
        if (auto const claim = this->store.board().claims.read(target.record.id))
            claims.push_back(claim->value);
    }
    return mayHaveRunElsewhere(record, record.target, bucketOf(std::hash<RequestKey>{}(key)), *routes, claims,
                               this->store.usage(record.target).inheritedUntil, this->store.requestSettings(),
                               now);
}

void RequestAdmission::handle(IncomingRequest const &incoming, Timestamp now)
{
    RequestKey const key = incoming.request.key;
    RequestRecord const record = this->initialRecord(incoming, now);
    if (this->store.create(key, record) != WriteOutcome::Written) {
        if (auto const known = this->store.find(key))
            this->handleResend(*known, incoming, now);
        return;
    }
    this->store.board().retryBudgets.update(key.service, [](std::optional<RetryBudget> const &budget) {
        return std::optional(refillRetryBudget(budget.value_or(RetryBudget{})));
    });
    if (this->yieldToHolder(incoming, record, now) || this->forwardWhileStopping(key, record, now)
        || this->refuseOnArrival(key, record, now))
        return;
    if (mustLocate(record))
        this->startLocating(key, record, now);
    else
        this->admit(key, RequestPhase::Admitting, now);
}

void RequestAdmission::handleResend(RequestRecord const &known, IncomingRequest const &incoming,
                                    Timestamp now)
{
    RequestKey const key = incoming.request.key;
    bool const isForwarded = known.phase == RequestPhase::Forwarded;
    // A search visits only the dispatchers of targets that claim the bucket or had it recently. The instance
    // that the request was spilled to need not be among them, so the end of a search does not mean that a
    // spilled request is lost.
    bool const hasSearchEnded = incoming.purpose == ForwardPurpose::SearchEnded;
    bool const isHolderLost = known.forwardPurpose == ForwardPurpose::Search
        && (hasSearchEnded || !this->isReachable(known.forwardedTo));
    bool const isHopLimitReached =
        !hasSearchEnded && incoming.hops >= this->store.requestSettings().maxForwardHops;
    if (isForwarded && (isHolderLost || isHopLimitReached)) {
        FinalOutcome const unknown{.outcome = RequestOutcome::Unknown, .reason = Reason::DispatcherLost};
        this->outcomeSender.finish(key, RequestPhase::Forwarded, unknown, now);
        return;
    }
    auto const record = this->store.change(key, [&](RequestRecord const &current) {
        RequestRecord next = current;
        next.caller = incoming.caller;
        next.attempt = std::max(current.attempt, incoming.request.attempt);
        return std::optional(next);
    });
    if (!record)
        return;
    if (record->phase == RequestPhase::Finished)
        this->outcomeSender.resendOutcome(key, *record, now);
    if (record->phase == RequestPhase::Forwarded) {
        Request resend = incoming.request;
        resend.attempt = std::max(resend.attempt, 2U); // See case 10 in the header.
        // The hops of the search no longer count. With `maxSpillHops` the receiver does not spill the
        // request.
        std::uint8_t const hops = hasSearchEnded ? this->store.requestSettings().maxSpillHops : incoming.hops;
        this->forward(*record, incoming.caller, hops, resend);
    }
}

void RequestAdmission::forward(RequestRecord const &record, Endpoint caller, std::uint8_t hops,
                               CallerMessage const &message)
{
    // A spilled request stays with its target and follows a change of the dispatcher. A located one stays
    // with the instance that has it.
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.forwardTargets.front());
    bool const hasSuccessor =
        record.forwardPurpose == ForwardPurpose::Spill && routed != nullptr && !routed->dispatcher.isNone();
    this->outcomeSender.messageOutbox().sendToInstance(hasSuccessor ? routed->dispatcher : record.forwardedTo,
                                                       Forwarded{.caller = caller,
                                                                 .purpose = record.forwardPurpose,
                                                                 .hops = static_cast<std::uint8_t>(hops + 1),
                                                                 .origin = this->store.self(),
                                                                 .candidates = record.forwardTargets,
                                                                 .message = message});
}

bool RequestAdmission::yieldToHolder(IncomingRequest const &incoming, RequestRecord const &record,
                                     Timestamp now)
{
    if (record.idempotency == Idempotency::Idempotent)
        return false;
    RequestKey const key = incoming.request.key;
    auto const held = this->replicas.find(key, now);
    if (!held)
        return false;
    bool const isOwn = held->holder == this->store.self();
    if (held->kind == ReplicaRecordKind::Promised && isOwn)
        return false;
    // The holder may still be serving its requests, for example before a planned stop.
    if (!isOwn && this->isReachable(held->holder)) {
        this->forwardToHolder(key, record, held->holder, now);
        return true;
    }
    FinalOutcome const unknown{.outcome = RequestOutcome::Unknown, .reason = Reason::DispatcherLost};
    this->outcomeSender.finish(key, RequestPhase::Admitting, unknown, now);
    return true;
}

// Other instances learn of a stop within a second and send new requests until then. Another target can take
// them.
bool RequestAdmission::forwardWhileStopping(RequestKey key, RequestRecord const &record, Timestamp now)
{
    bool const mayForward = this->state == AdmissionState::Stopping && record.deadline > now
        && !mustLocate(record) && !this->mustStayAtThisInstance(key, record, now)
        && record.hops < this->store.requestSettings().maxForwardHops;
    return mayForward && this->forwardToOtherDispatcher(key, record, now);
}

bool RequestAdmission::refuseOnArrival(RequestKey key, RequestRecord const &record, Timestamp now)
{
    Reason reason = Reason::None;
    if (record.deadline <= now)
        reason = Reason::DeadlinePassed;
    else if (this->state == AdmissionState::Stopping)
        reason = Reason::InstanceStopping;
    else if (this->store.board().ownStatus.read()->lease != LeaseState::Held)
        reason = Reason::LeaseExpired;
    else if (this->store.queue(record.target).active.size()
             >= this->store.requestSettings().maxActiveRequests)
        reason = Reason::QueueFull;
    else if (record.idempotency == Idempotency::NonIdempotent
             && record.deadline - now > this->store.requestSettings().maxNonIdempotentTimeLeft)
        reason = Reason::NoSecondCopy; // No record is kept for that long.
    return reason != Reason::None
        && this->outcomeSender.endUnstarted(key, RequestPhase::Admitting, reason, Duration::zero(), now);
}

bool RequestAdmission::isReachable(InstanceId instance) const
{
    auto const known = this->store.board().members.read(instance);
    return known && known->value.state != MemberState::Dead;
}

bool RequestAdmission::hasCompleteRecords(TargetId target, Timestamp now) const
{
    auto const tookOverAt = this->store.queue(target).tookOverAt;
    return this->replicas.isAuthoritative(now)
        && (!tookOverAt || now - *tookOverAt >= this->store.requestSettings().authoritativeAfter);
}

void RequestAdmission::startLocating(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    ServiceRoutes const *const routes = view->findService(key.service);
    if (routes == nullptr) {
        this->outcomeSender.endUnstarted(key, RequestPhase::Admitting, Reason::NoTarget, Duration::zero(),
                                         now);
        return;
    }
    InstanceId const self = this->store.self();
    TargetId const exemptTarget = this->hasCompleteRecords(record.target, now) ? record.target : TargetId{};
    auto plan = planLocate(*routes, self, exemptTarget, [this](InstanceId instance) {
        auto const member = this->store.board().members.read(instance);
        return member && member->value.state == MemberState::Dead;
    });
    auto const located =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Admitting)
                return std::nullopt;
            RequestRecord next = current;
            next.phase = RequestPhase::Locating;
            next.phaseSince = now;
            next.lastSent = now;
            next.locate = plan.progress;
            return next;
        });
    if (!located)
        return;
    this->store.changeQueue(record.target,
                            [&](RequestQueue queue) { return withActive(std::move(queue), key); });
    // This instance is a member of replica groups as well, so it counts as one of the instances asked.
    switch (this->replicas.promise(key, self, now)) {
    case PromiseOutcome::Given:
        this->addLocateAnswer(self, key, &LocateProgress::notKnown, now);
        break;
    case PromiseOutcome::AlreadyHeld:
        this->addLocateAnswer(self, key, &LocateProgress::recorded, now);
        break;
    case PromiseOutcome::Inconclusive:
        this->addLocateAnswer(self, key, &LocateProgress::inconclusive, now);
        break;
    }
    this->sendLocates(key, plan.progress, plan.recipients);
}

void RequestAdmission::sendLocates(RequestKey key, LocateProgress const &progress,
                                   std::vector<InstanceId> const &recipients)
{
    auto const isIn = [](std::vector<InstanceId> const &list, InstanceId instance) {
        return std::ranges::find(list, instance) != list.end();
    };
    for (InstanceId const instance : recipients) {
        if (!isIn(progress.notKnown, instance) && !isIn(progress.known, instance)
            && !isIn(progress.recorded, instance) && !isIn(progress.inconclusive, instance))
            this->outcomeSender.messageOutbox().sendToInstance(instance, Locate{.key = key});
    }
}

void RequestAdmission::addLocateAnswer(InstanceId from, RequestKey key,
                                       std::vector<InstanceId> LocateProgress::*list, Timestamp now)
{
    auto const record =
        this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
            if (current.phase != RequestPhase::Locating
                || std::ranges::find(current.locate.*list, from) != (current.locate.*list).end())
                return std::nullopt;
            RequestRecord next = current;
            (next.locate.*list).push_back(from);
            return next;
        });
    if (!record)
        return;
    auto const &requestSettings = this->store.requestSettings();
    bool const isLate =
        now - record->phaseSince > requestSettings.locateTimeout + requestSettings.pauseTolerance;
    auto const result = isLate ? LocateResult::Incomplete : evaluateLocate(record->locate);
    if (result != LocateResult::Pending)
        this->finishLocating(key, result, now);
}

void RequestAdmission::finishLocating(RequestKey key, LocateResult result, Timestamp now)
{
    auto const record = this->store.find(key);
    if (!record || record->phase != RequestPhase::Locating)
        return;
    if (result == LocateResult::NotKnown) {
        this->admit(key, RequestPhase::Locating, now);
        return;
    }
    if (!record->locate.known.empty()) {
        this->forwardToHolder(key, *record, record->locate.known.front(), now);
        return;
    }
    // Even of a first send, a copy may have run at another instance, so the outcome is never NotRun.
    FinalOutcome const unknown{.outcome = RequestOutcome::Unknown,
                               .reason = record->locate.recorded.empty() ? Reason::LocateIncomplete
                                                                         : Reason::DispatcherLost};
    this->outcomeSender.finish(key, RequestPhase::Locating, unknown, now);
}

void RequestAdmission::forwardToHolder(RequestKey key, RequestRecord const &record, InstanceId holder,
                                       Timestamp now)
{
    auto const moved =
        this->markForwarded(key, record.phase, holder, ForwardPurpose::Search, {record.target}, now);
    if (!moved)
        return;
    this->forward(*moved, moved->caller, moved->hops, this->requestToForward(key, record, now));
}

std::optional<RequestRecord> RequestAdmission::markForwarded(RequestKey key, RequestPhase expectedPhase,
                                                             InstanceId instance, ForwardPurpose purpose,
                                                             std::vector<TargetId> const &targets,
                                                             Timestamp now)
{
    auto record = this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
        if (current.phase != expectedPhase)
            return std::nullopt;
        RequestRecord next = current;
        next.phase = RequestPhase::Forwarded;
        next.phaseSince = now;
        next.payload = nullptr;
        next.locate = {};
        next.forwardedTo = instance;
        next.forwardPurpose = purpose;
        next.forwardTargets = targets;
        next.keepUntil = this->store.keepUntil(current, now);
        return next;
    });
    if (!record)
        return std::nullopt;
    this->store.changeQueue(record->target, [&](RequestQueue queue) {
        return withoutActive(withoutWaiting(std::move(queue), key), key);
    });
    this->store.scheduleExpiry(key, *record);
    return record;
}

void RequestAdmission::handleLocateReply(InstanceId from, LocateReply const &reply, Timestamp now)
{
    auto const list =
        reply.verdict == LocateVerdict::Known ? &LocateProgress::known : &LocateProgress::notKnown;
    this->addLocateAnswer(from, reply.key, list, now);
}

void RequestAdmission::handleLocate(InstanceId from, Locate const &message, Timestamp now)
{
    switch (this->processLocate(from, message.key, now)) {
    case LocalLocateVerdict::Known:
        this->outcomeSender.messageOutbox().sendToInstance(
            from, LocateReply{.key = message.key, .verdict = LocateVerdict::Known});
        return;
    case LocalLocateVerdict::NotKnown:
        this->outcomeSender.messageOutbox().sendToInstance(
            from, LocateReply{.key = message.key, .verdict = LocateVerdict::NotKnown});
        return;
    case LocalLocateVerdict::Recorded:
        this->outcomeSender.messageOutbox().sendToInstance(
            from, RecordReply{.key = message.key, .tryId = 0, .verdict = RecordVerdict::AlreadyRecorded});
        return;
    case LocalLocateVerdict::Inconclusive:
        this->outcomeSender.messageOutbox().sendToInstance(
            from, RecordReply{.key = message.key, .tryId = 0, .verdict = RecordVerdict::Refused});
        return;
    }
}

LocalLocateVerdict RequestAdmission::processLocate(InstanceId from, RequestKey key, Timestamp now)
{
    auto const isServedHere = [](std::optional<RequestRecord> const &record) {
        return record && record->phase != RequestPhase::Forwarded;
    };
    auto const before = this->store.find(key);
    if (isServedHere(before))
        return LocalLocateVerdict::Known;
    // A request that was forwarded to the sender of the Locate may run there.
    if (before && before->forwardedTo != from)
        return LocalLocateVerdict::Recorded;
    auto const promise = this->replicas.promise(key, from, now);
    // A second look-up, because the request may have arrived while the promise was being written; see case 6
    // in the header.
    if (isServedHere(this->store.find(key)))
        return LocalLocateVerdict::Known;
    switch (promise) {
    case PromiseOutcome::Given:
        return LocalLocateVerdict::NotKnown;
    case PromiseOutcome::AlreadyHeld:
        return LocalLocateVerdict::Recorded;
    case PromiseOutcome::Inconclusive:
        return LocalLocateVerdict::Inconclusive;
    }
    return LocalLocateVerdict::Inconclusive;
}

} // namespace almondwing
