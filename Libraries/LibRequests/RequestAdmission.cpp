// Implements the arrival of requests: known, refused, located or queued.

#include <LibRequests/RequestAdmission.h>

#include <LibRequests/RetryPolicy.h>

#include <algorithm>

namespace almondwing {

namespace {

// Running an idempotent request a second time does no harm, so it is not located.
bool mustLocate(RequestRecord const &record)
{
    return record.idempotency == Idempotency::NonIdempotent && record.history == RunHistory::Uncertain;
}

} // namespace

RequestAdmission::RequestAdmission(RequestStore &requestStore, RequestOutcomes &finalOutcomes,
                                   TryRunner &tryRunner, ReplicaRecords &groupRecords,
                                   RandomSource const &randomSource)
    : store(requestStore), outcomes(finalOutcomes), runner(tryRunner), replicas(groupRecords),
      random(randomSource)
{
}

RequestRecord RequestAdmission::firstRecord(ArrivedRequest const &arrived, Timestamp now) const
{
    RequestRecord record;
    record.target = arrived.target;
    record.caller = arrived.caller;
    record.attempt = arrived.request.attempt;
    record.requestClass = arrived.request.requestClass;
    record.idempotency = arrived.request.idempotency;
    record.hops = arrived.hops;
    if (arrived.purpose == ForwardPurpose::Spill)
        record.spilledBy = arrived.origin;
    record.receivedAt = now;
    record.deadline = now + std::min(arrived.request.timeLeft, this->store.times().longestDeadline);
    record.payload = std::make_shared<std::string const>(arrived.request.payload);
    record.phaseSince = now;
    // Without a lease another instance may dispatch for the target and have run a resend.
    bool const mayBeReplaced = this->store.board().ownStatus.read()->lease != LeaseState::Held;
    bool const isUncertain =
        mayBeReplaced || this->mayHaveRun(record, arrived.request.key, arrived.purpose, now);
    record.history = isUncertain ? RunHistory::Uncertain : RunHistory::NeverRun;
    return record;
}

bool RequestAdmission::mayHaveRun(RequestRecord const &record, RequestKey key, ForwardPurpose purpose,
                                  Timestamp now) const
{
    // The dispatcher that spilled a first send knows that it has not run, and never runs it itself.
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
                               this->store.usage(record.target).inheritedUntil, this->store.times(), now);
}

void RequestAdmission::handle(ArrivedRequest const &arrived, Timestamp now)
{
    RequestKey const key = arrived.request.key;
    RequestRecord const record = this->firstRecord(arrived, now);
    if (this->store.create(key, record) != WriteOutcome::Written) {
        if (auto const known = this->store.find(key))
            this->handleKnown(*known, arrived, now);
        return;
    }
    this->store.board().retryBudgets.update(key.service, [](std::optional<RetryBudget> const &budget) {
        return std::optional(earnRetry(budget.value_or(RetryBudget{})));
    });
    if (this->yieldToHolder(arrived, record, now) || this->passOnWhileStopping(key, record, now)
        || this->refuseAtOnce(key, record, now))
        return;
    if (mustLocate(record))
        this->startLocating(key, record, now);
    else
        this->admit(key, RequestPhase::Admitting, now);
}

void RequestAdmission::handleKnown(RequestRecord const &known, ArrivedRequest const &arrived, Timestamp now)
{
    RequestKey const key = arrived.request.key;
    bool const isForwarded = known.phase == RequestPhase::Forwarded;
    // A search visits the instances that may hold the request by their claims. The one that it was spilled to
    // need not be among them.
    bool const wasSearched = arrived.purpose == ForwardPurpose::SearchEnded;
    bool const isHolderLost = known.forwardPurpose == ForwardPurpose::Search
        && (wasSearched || !this->isReachable(known.forwardedTo));
    bool const wentAround = !wasSearched && arrived.hops >= this->store.times().maxPassOnHops;
    if (isForwarded && (isHolderLost || wentAround)) {
        FinalOutcome const unknown{.outcome = RequestOutcome::Unknown, .reason = Reason::DispatcherLost};
        this->outcomes.finish(key, RequestPhase::Forwarded, unknown, now);
        return;
    }
    auto const record = this->store.change(key, [&](RequestRecord const &current) {
        RequestRecord next = current;
        next.caller = arrived.caller;
        next.attempt = std::max(current.attempt, arrived.request.attempt);
        return std::optional(next);
    });
    if (!record)
        return;
    if (record->phase == RequestPhase::Finished)
        this->outcomes.repeatOutcome(key, *record, now);
    if (record->phase == RequestPhase::Forwarded) {
        Request resend = arrived.request;
        resend.attempt = std::max(resend.attempt, 2U); // See case 10 in the header.
        // The hops of the search are over, and no instance spills what has made so many.
        std::uint8_t const hops = wasSearched ? this->store.times().maxSpillHops : arrived.hops;
        this->passOn(*record, arrived.caller, hops, resend);
    }
}

void RequestAdmission::passOn(RequestRecord const &record, Endpoint caller, std::uint8_t hops,
                              CallerMessage const &message)
{
    // A spilled request is at a target, whichever instance dispatches for it; a located one at an instance.
    auto const view = this->store.view();
    RoutedTarget const *const routed = view->findTarget(record.forwardTargets.front());
    bool const hasSuccessor =
        record.forwardPurpose == ForwardPurpose::Spill && routed != nullptr && !routed->dispatcher.isNone();
    this->outcomes.out().sendToInstance(hasSuccessor ? routed->dispatcher : record.forwardedTo,
                                        Forwarded{.caller = caller,
                                                  .purpose = record.forwardPurpose,
                                                  .hops = static_cast<std::uint8_t>(hops + 1),
                                                  .origin = this->store.self(),
                                                  .candidates = record.forwardTargets,
                                                  .message = message});
}

bool RequestAdmission::yieldToHolder(ArrivedRequest const &arrived, RequestRecord const &record,
                                     Timestamp now)
{
    if (record.idempotency == Idempotency::Idempotent)
        return false;
    RequestKey const key = arrived.request.key;
    auto const held = this->replicas.find(key, now);
    if (!held)
        return false;
    bool const isOwn = held->holder == this->store.self();
    if (held->kind == ReplicaRecordKind::Promised && isOwn)
        return false;
    // The holder is finishing what it has, for example before a planned stop.
    if (!isOwn && this->isReachable(held->holder)) {
        this->handOver(key, record, held->holder, now);
        return true;
    }
    FinalOutcome const unknown{.outcome = RequestOutcome::Unknown, .reason = Reason::DispatcherLost};
    this->outcomes.finish(key, RequestPhase::Admitting, unknown, now);
    return true;
}

// Other instances learn of a stop within a second and send new work until then, which another target can
// take.
bool RequestAdmission::passOnWhileStopping(RequestKey key, RequestRecord const &record, Timestamp now)
{
    bool const mayPassOn = this->gate == AdmissionGate::Stopping && record.deadline > now
        && !mustLocate(record) && !this->isPinned(key, record, now)
        && record.hops < this->store.times().maxPassOnHops;
    return mayPassOn && this->passToOtherDispatcher(key, record, now);
}

bool RequestAdmission::refuseAtOnce(RequestKey key, RequestRecord const &record, Timestamp now)
{
    Reason reason = Reason::None;
    if (record.deadline <= now)
        reason = Reason::DeadlinePassed;
    else if (this->gate == AdmissionGate::Stopping)
        reason = Reason::InstanceStopping;
    else if (this->store.board().ownStatus.read()->lease != LeaseState::Held)
        reason = Reason::LeaseExpired;
    else if (this->store.queue(record.target).active.size() >= this->store.times().maxActiveRequests)
        reason = Reason::QueueFull;
    else if (record.idempotency == Idempotency::NonIdempotent
             && record.deadline - now > this->store.times().longestRecorded)
        reason = Reason::NoSecondCopy; // Nobody keeps a record for that long.
    return reason != Reason::None
        && this->outcomes.refuse(key, RequestPhase::Admitting, reason, Duration::zero(), now);
}

bool RequestAdmission::isReachable(InstanceId instance) const
{
    auto const known = this->store.board().members.read(instance);
    return known && known->value.state != MemberState::Dead;
}

bool RequestAdmission::hasLongTenure(TargetId target, Timestamp now) const
{
    auto const tookOverAt = this->store.queue(target).tookOverAt;
    return this->replicas.vouches(now)
        && (!tookOverAt || now - *tookOverAt >= this->store.times().authoritativeAfter);
}

void RequestAdmission::startLocating(RequestKey key, RequestRecord const &record, Timestamp now)
{
    auto const view = this->store.view();
    ServiceRoutes const *const routes = view->findService(key.service);
    if (routes == nullptr) {
        this->outcomes.refuse(key, RequestPhase::Admitting, Reason::NoTarget, Duration::zero(), now);
        return;
    }
    InstanceId const self = this->store.self();
    TargetId const ownTarget = this->hasLongTenure(record.target, now) ? record.target : TargetId{};
    auto plan = planLocate(*routes, self, ownTarget, [this](InstanceId instance) {
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
    // This instance is a member of groups itself and is asked like the others.
    switch (this->replicas.promise(key, self, now)) {
    case PromiseOutcome::Given:
        this->addAnswer(self, key, &LocateProgress::notKnown, now);
        break;
    case PromiseOutcome::Known:
        this->addAnswer(self, key, &LocateProgress::recorded, now);
        break;
    case PromiseOutcome::Unable:
        this->addAnswer(self, key, &LocateProgress::inconclusive, now);
        break;
    }
    this->sendLocates(key, plan.progress, plan.ask);
}

void RequestAdmission::sendLocates(RequestKey key, LocateProgress const &progress,
                                   std::vector<InstanceId> const &ask)
{
    auto const isIn = [](std::vector<InstanceId> const &list, InstanceId instance) {
        return std::ranges::find(list, instance) != list.end();
    };
    for (InstanceId const instance : ask) {
        if (!isIn(progress.notKnown, instance) && !isIn(progress.known, instance)
            && !isIn(progress.recorded, instance) && !isIn(progress.inconclusive, instance))
            this->outcomes.out().sendToInstance(instance, Locate{.key = key});
    }
}

void RequestAdmission::addAnswer(InstanceId from, RequestKey key,
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
    auto const &times = this->store.times();
    bool const isLate = now - record->phaseSince > times.locateWait + times.pauseTolerance;
    auto const result = isLate ? LocateResult::Incomplete : judgeLocate(record->locate);
    if (result != LocateResult::Pending)
        this->concludeLocating(key, result, now);
}

void RequestAdmission::concludeLocating(RequestKey key, LocateResult result, Timestamp now)
{
    auto const record = this->store.find(key);
    if (!record || record->phase != RequestPhase::Locating)
        return;
    if (result == LocateResult::NotKnown) {
        this->admit(key, RequestPhase::Locating, now);
        return;
    }
    if (!record->locate.known.empty()) {
        this->handOver(key, *record, record->locate.known.front(), now);
        return;
    }
    // A first send, too, may have a copy that was run elsewhere, so this is never NotRun.
    FinalOutcome const unknown{.outcome = RequestOutcome::Unknown,
                               .reason = record->locate.recorded.empty() ? Reason::LocateIncomplete
                                                                         : Reason::DispatcherLost};
    this->outcomes.finish(key, RequestPhase::Locating, unknown, now);
}

void RequestAdmission::handOver(RequestKey key, RequestRecord const &record, InstanceId holder, Timestamp now)
{
    auto const moved =
        this->markForwarded(key, record.phase, holder, ForwardPurpose::Search, {record.target}, now);
    if (!moved)
        return;
    this->passOn(*moved, moved->caller, moved->hops, this->forwardable(key, record, now));
}

std::optional<RequestRecord> RequestAdmission::markForwarded(RequestKey key, RequestPhase phase,
                                                             InstanceId instance, ForwardPurpose purpose,
                                                             std::vector<TargetId> const &targets,
                                                             Timestamp now)
{
    auto record = this->store.change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
        if (current.phase != phase)
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
    this->store.fileForExpiry(key, *record);
    return record;
}

void RequestAdmission::handleLocateReply(InstanceId from, LocateReply const &reply, Timestamp now)
{
    auto const list =
        reply.verdict == LocateVerdict::Known ? &LocateProgress::known : &LocateProgress::notKnown;
    this->addAnswer(from, reply.key, list, now);
}

void RequestAdmission::handleLocate(InstanceId from, Locate const &message, Timestamp now)
{
    switch (this->judgeLocateHere(from, message.key, now)) {
    case LocateVerdictHere::Known:
        this->outcomes.out().sendToInstance(from,
                                            LocateReply{.key = message.key, .verdict = LocateVerdict::Known});
        return;
    case LocateVerdictHere::NotKnown:
        this->outcomes.out().sendToInstance(
            from, LocateReply{.key = message.key, .verdict = LocateVerdict::NotKnown});
        return;
    case LocateVerdictHere::Recorded:
        this->outcomes.out().sendToInstance(
            from, RecordReply{.key = message.key, .tryId = 0, .verdict = RecordVerdict::AlreadyRecorded});
        return;
    case LocateVerdictHere::Unable:
        this->outcomes.out().sendToInstance(
            from, RecordReply{.key = message.key, .tryId = 0, .verdict = RecordVerdict::Refused});
        return;
    }
}

LocateVerdictHere RequestAdmission::judgeLocateHere(InstanceId from, RequestKey key, Timestamp now)
{
    auto const isServedHere = [](std::optional<RequestRecord> const &record) {
        return record && record->phase != RequestPhase::Forwarded;
    };
    auto const before = this->store.find(key);
    if (isServedHere(before))
        return LocateVerdictHere::Known;
    // A request that was handed to the asker is the asker's to run.
    if (before && before->forwardedTo != from)
        return LocateVerdictHere::Recorded;
    auto const promise = this->replicas.promise(key, from, now);
    // Looked up again: the request may have arrived while the promise was being written.
    if (isServedHere(this->store.find(key)))
        return LocateVerdictHere::Known;
    switch (promise) {
    case PromiseOutcome::Given:
        return LocateVerdictHere::NotKnown;
    case PromiseOutcome::Known:
        return LocateVerdictHere::Recorded;
    case PromiseOutcome::Unable:
        return LocateVerdictHere::Unable;
    }
    return LocateVerdictHere::Unable;
}

} // namespace almondwing
