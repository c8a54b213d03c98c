// Implements the access to the blackboard tables of requests.

#include <LibRequests/RequestStore.h>

#include <LibManifest/ManifestOperations.h>
#include <LibRequests/QueuePolicy.h>

#include <algorithm>

namespace almondwing {

namespace {

bool belongsToWaiting(std::optional<RequestRecord> const &record)
{
    return record
        && (record->phase == RequestPhase::Admitting || record->phase == RequestPhase::Recording
            || record->phase == RequestPhase::Queued);
}

bool belongsToActive(std::optional<RequestRecord> const &record)
{
    return record
        && (record->phase == RequestPhase::Locating || record->phase == RequestPhase::Running
            || record->slot == SlotUse::Held);
}

BucketUse withBucket(BucketUse use, std::uint16_t bucket, int change)
{
    auto const position =
        std::ranges::lower_bound(use.counts, bucket, {}, &std::pair<std::uint16_t, std::uint32_t>::first);
    if (position == use.counts.end() || position->first != bucket) {
        if (change > 0)
            use.counts.insert(position, {bucket, 1});
        return use;
    }
    position->second = change > 0 ? position->second + 1 : position->second - 1;
    if (position->second == 0)
        use.counts.erase(position);
    return use;
}

} // namespace

RequestStore::RequestStore(Blackboard &sharedState, RequestSettings const &settingsInUse,
                           ExpirySchedule &expiry)
    : blackboard(sharedState), settings(settingsInUse), schedule(expiry)
{
}

std::optional<RequestRecord> RequestStore::find(RequestKey key) const
{
    auto found = this->blackboard.requests.read(key);
    if (!found)
        return std::nullopt;
    return std::move(found->value);
}

WriteOutcome RequestStore::create(RequestKey key, RequestRecord const &record)
{
    auto const outcome = this->blackboard.requests.write(key, record, 0);
    if (outcome == WriteOutcome::Written)
        this->countBucket(key, record.target, +1);
    return outcome;
}

std::optional<RequestRecord> RequestStore::change(RequestKey key, RecordChange const &decide)
{
    for (;;) {
        auto const current = this->blackboard.requests.read(key);
        if (!current)
            return std::nullopt;
        auto next = decide(current->value);
        if (!next)
            return std::nullopt;
        if (this->blackboard.requests.write(key, *next, current->version) == WriteOutcome::Written)
            return next;
    }
}

std::optional<RequestRecord> RequestStore::markSent(RequestKey key, RequestStep step, Timestamp now)
{
    return this->change(key, [&](RequestRecord const &current) -> std::optional<RequestRecord> {
        if (nextStep(current, this->settings, now) != step)
            return std::nullopt;
        RequestRecord next = current;
        next.lastSent = now;
        return next;
    });
}

std::optional<RequestRecord> RequestStore::moveToTarget(RequestKey key, TargetId target)
{
    TargetId previousTarget;
    auto moved = this->change(key, [&](RequestRecord const &current) {
        previousTarget = current.target;
        RequestRecord next = current;
        next.target = target;
        return std::optional(next);
    });
    if (moved) {
        this->countBucket(key, target, +1);
        this->countBucket(key, previousTarget, -1);
    }
    return moved;
}

Timestamp RequestStore::keepUntil(RequestRecord const &record, Timestamp now) const
{
    return std::max(now + this->settings.keepAfterFinish, record.deadline + this->settings.keepAfterDeadline);
}

void RequestStore::scheduleExpiry(RequestKey key, RequestRecord const &record)
{
    this->schedule.addRequest(key, record.keepUntil);
}

void RequestStore::expire(std::vector<RequestKey> const &keys, Timestamp now)
{
    for (RequestKey const key : keys) {
        auto const found = this->blackboard.requests.read(key);
        if (!found)
            continue;
        RequestRecord const &record = found->value;
        // The record was erased and the request has arrived again. Its expiry is scheduled when it ends.
        if (record.phase != RequestPhase::Finished && record.phase != RequestPhase::Forwarded)
            continue;
        if (now < record.keepUntil || record.slot == SlotUse::Held) {
            this->schedule.addRequest(key, std::max(record.keepUntil, now + 1s));
            continue;
        }
        if (this->blackboard.requests.erase(key, found->version) != WriteOutcome::Written)
            continue;
        this->countBucket(key, record.target, -1);
        if (record.answer)
            this->releaseAnswerBytes(record.answer->bytes);
    }
}

RequestQueue RequestStore::queue(TargetId target) const
{
    auto found = this->blackboard.queues.read(target);
    return found ? std::move(found->value) : RequestQueue{};
}

void RequestStore::changeQueue(TargetId target, QueueChange const &decide)
{
    this->blackboard.queues.update(target, [&](std::optional<RequestQueue> const &current) {
        return std::optional(decide(current.value_or(RequestQueue{})));
    });
}

void RequestStore::pruneQueue(TargetId target)
{
    // The queue is read before the records. If another thread adds a key in the meantime, the version of the
    // queue changes and the decision is made again.
    this->blackboard.queues.update(
        target, [&](std::optional<RequestQueue> const &current) -> std::optional<RequestQueue> {
            if (!current)
                return std::nullopt;
            RequestQueue next = *current;
            for (auto &waiting : next.waiting)
                std::erase_if(waiting, [&](RequestKey key) { return !belongsToWaiting(this->find(key)); });
            std::erase_if(next.active, [&](RequestKey key) { return !belongsToActive(this->find(key)); });
            return next == *current ? std::nullopt : std::optional(next);
        });
}

void RequestStore::removeEmptyQueue(TargetId target)
{
    auto const queue = this->blackboard.queues.read(target);
    bool const isEmpty = queue && queue->value.active.empty()
        && std::ranges::all_of(queue->value.waiting, [](auto const &waiting) { return waiting.empty(); });
    if (isEmpty)
        this->blackboard.queues.erase(target, queue->version);
}

TargetUsage RequestStore::usage(TargetId target) const
{
    auto const found = this->blackboard.usage.read(target);
    return found ? found->value : TargetUsage{};
}

bool RequestStore::takeSlot(TargetId target, RequestClass requestClass, TargetLimits limits,
                            RequestQueue const &queue, Timestamp now)
{
    bool isTaken = false;
    this->blackboard.usage.update(target, [&](std::optional<TargetUsage> const &current) {
        auto next = almondwing::takeSlot(requestClass, current.value_or(TargetUsage{}), limits, queue,
                                         this->settings, now);
        isTaken = next.has_value();
        return next;
    });
    return isTaken;
}

void RequestStore::releaseSlot(TargetId target)
{
    this->blackboard.usage.update(
        target, [](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
            // Keeps the count from wrapping around below zero.
            if (!current || current->busySlots == 0)
                return std::nullopt;
            TargetUsage next = *current;
            --next.busySlots;
            return next;
        });
}

void RequestStore::countEvent(TargetId target, TryEvent event, Timestamp now)
{
    this->blackboard.usage.update(target, [&](std::optional<TargetUsage> const &current) {
        TargetUsage next = current.value_or(TargetUsage{});
        next.answered += event == TryEvent::Answered || event == TryEvent::AnsweredSlowly ? 1U : 0U;
        next.slow += event == TryEvent::AnsweredSlowly ? 1U : 0U;
        next.shed += event == TryEvent::Shed ? 1U : 0U;
        next.timedOut += event == TryEvent::TimedOut ? 1U : 0U;
        if (event != TryEvent::TimedOut)
            next.lastReceived = std::max(next.lastReceived, now);
        return std::optional(next);
    });
}

bool RequestStore::reserveAnswerBytes(std::size_t bytes, Timestamp now)
{
    auto const tryReserve = [&] {
        bool isReserved = false;
        this->blackboard.storedAnswers.update([&](StoredAnswerTotal total) {
            isReserved = total.bytes + bytes <= this->settings.maxStoredAnswerBytes;
            return StoredAnswerTotal{.bytes = total.bytes + (isReserved ? bytes : 0)};
        });
        return isReserved;
    };
    if (tryReserve())
        return true;
    this->evictAnswers(bytes, now);
    return tryReserve();
}

void RequestStore::releaseAnswerBytes(std::size_t bytes)
{
    this->blackboard.storedAnswers.update([&](StoredAnswerTotal total) {
        return StoredAnswerTotal{.bytes = total.bytes - std::min(bytes, total.bytes)};
    });
}

void RequestStore::evictAnswers(std::size_t bytes, Timestamp now)
{
    // Frees a sixteenth of the memory beyond what is needed, so that a long answer does not cause an eviction
    // with each of its parts.
    std::size_t const byteLimit =
        this->settings.maxStoredAnswerBytes - this->settings.maxStoredAnswerBytes / 16;
    auto const last = secondOf(now + this->settings.keepAfterFinish) + 1;
    for (auto second = secondOf(now); second <= last; ++second) {
        for (RequestKey const key : this->schedule.requestsExpiringIn(second)) {
            if (this->blackboard.storedAnswers.read()->bytes + bytes <= byteLimit)
                return;
            this->dropAnswer(key);
        }
    }
}

void RequestStore::dropAnswer(RequestKey key)
{
    auto const found = this->blackboard.requests.read(key);
    if (!found || found->value.phase != RequestPhase::Finished || !found->value.answer)
        return;
    RequestRecord const &record = found->value;
    // The record of an idempotent request is erased, so that a resend runs the request again. That of a
    // non-idempotent one is kept without the answer, and a resend is answered with OutcomeUnknown.
    bool const isErased = record.idempotency == Idempotency::Idempotent && record.slot == SlotUse::None;
    RequestRecord next = record;
    next.answer = nullptr;
    auto const outcome = isErased ? this->blackboard.requests.erase(key, found->version)
                                  : this->blackboard.requests.write(key, next, found->version);
    if (outcome != WriteOutcome::Written)
        return;
    if (isErased)
        this->countBucket(key, record.target, -1);
    this->releaseAnswerBytes(record.answer->bytes);
}

bool RequestStore::isTakenOut(RoutedTarget const &target) const
{
    auto const configuration = this->blackboard.configuration.read();
    return almondwing::isTakenOut(configuration->manifest, target.record.failureDomain);
}

InstanceId RequestStore::self() const
{
    return this->blackboard.ownStatus.read()->self.id;
}

void RequestStore::countBucket(RequestKey key, TargetId target, int change)
{
    std::uint16_t const bucket = bucketOf(std::hash<RequestKey>{}(key));
    this->blackboard.requestBuckets.update(target, [&](std::optional<BucketUse> const &current) {
        return std::optional(withBucket(current.value_or(BucketUse{}), bucket, change));
    });
}

} // namespace almondwing
