// Implements the records that a member of a replica group stores.

#include <LibRequests/ReplicaRecords.h>

#include <algorithm>

namespace almondwing {

namespace {

bool isExpired(ReplicaRecord const &record, Timestamp now)
{
    return record.keepUntil <= now;
}

RecordVerdict recordVerdict(std::optional<ReplicaRecord> const &current, RecordRequest const &request,
                            Timestamp now)
{
    if (!current || isExpired(*current, now))
        return RecordVerdict::Stored;
    if (current->holder != request.dispatcher)
        return RecordVerdict::AlreadyRecorded;
    if (current->kind == ReplicaRecordKind::Promised)
        return RecordVerdict::Stored;
    bool const isRepeat = current->kind == ReplicaRecordKind::Recorded && current->recordId == request.tryId;
    return isRepeat ? RecordVerdict::Stored : RecordVerdict::AlreadyRecorded;
}

} // namespace

ReplicaRecords::ReplicaRecords(Blackboard &board, RequestSettings const &requestSettings,
                               ExpirySchedule &expiry)
    : blackboard(board), settings(requestSettings), schedule(expiry)
{
}

RecordVerdict ReplicaRecords::record(RecordRequest const &request, Timestamp now)
{
    if (!this->hasRoom() && !this->blackboard.replicaRecords.contains(request.key))
        return RecordVerdict::Refused;
    // `keepFor` is the time left until the caller's deadline plus `keepAfterDeadline`.
    Timestamp const keepUntil = now + request.keepFor;
    RecordVerdict verdict = RecordVerdict::Refused;
    this->blackboard.replicaRecords.update(
        request.key, [&](std::optional<ReplicaRecord> const &current) -> std::optional<ReplicaRecord> {
            verdict = recordVerdict(current, request, now);
            if (verdict != RecordVerdict::Stored)
                return std::nullopt;
            return ReplicaRecord{.kind = ReplicaRecordKind::Recorded,
                                 .target = request.target,
                                 .holder = request.dispatcher,
                                 .recordId = request.tryId, // Record messages carry the record id in tryId.
                                 .deadline = keepUntil - this->settings.keepAfterDeadline,
                                 .keepUntil = keepUntil};
        });
    if (verdict == RecordVerdict::Stored)
        this->schedule.addReplicaRecord(request.key, keepUntil);
    return verdict;
}

void ReplicaRecords::release(InstanceId holder, RecordRelease const &release)
{
    this->blackboard.replicaRecords.update(
        release.key, [&](std::optional<ReplicaRecord> const &current) -> std::optional<ReplicaRecord> {
            if (!current || current->holder != holder || current->recordId != release.tryId
                || current->kind != ReplicaRecordKind::Recorded)
                return std::nullopt;
            ReplicaRecord next = *current;
            next.kind = ReplicaRecordKind::Released;
            return next;
        });
}

PromiseOutcome ReplicaRecords::promise(RequestKey key, InstanceId requester, Timestamp now)
{
    bool const canPromise = this->isAuthoritative(now) && this->hasRoom();
    Timestamp const keepUntil = now + this->settings.promiseLifetime;
    PromiseOutcome outcome = PromiseOutcome::Inconclusive;
    this->blackboard.replicaRecords.update(
        key, [&](std::optional<ReplicaRecord> const &current) -> std::optional<ReplicaRecord> {
            bool const isHeld = current && !isExpired(*current, now);
            if (isHeld && (current->holder != requester || current->kind != ReplicaRecordKind::Promised)) {
                outcome = PromiseOutcome::AlreadyHeld;
                return std::nullopt;
            }
            outcome = canPromise ? PromiseOutcome::Given : PromiseOutcome::Inconclusive;
            if (!canPromise)
                return std::nullopt;
            return ReplicaRecord{.kind = ReplicaRecordKind::Promised,
                                 .target = {},
                                 .holder = requester,
                                 .recordId = 0,
                                 .deadline = now,
                                 .keepUntil = keepUntil};
        });
    if (outcome == PromiseOutcome::Given)
        this->schedule.addReplicaRecord(key, keepUntil);
    return outcome;
}

std::optional<ReplicaRecord> ReplicaRecords::find(RequestKey key, Timestamp now) const
{
    auto const found = this->blackboard.replicaRecords.read(key);
    if (!found || isExpired(found->value, now))
        return std::nullopt;
    return found->value;
}

std::optional<Timestamp> ReplicaRecords::latestDeadline(TargetId target, Timestamp now) const
{
    std::optional<Timestamp> latest;
    for (auto const &[key, record] : this->blackboard.replicaRecords.entries()) {
        if (record.target != target || record.kind != ReplicaRecordKind::Recorded || record.deadline <= now)
            continue;
        latest = std::max(latest.value_or(record.deadline), record.deadline);
    }
    return latest;
}

void ReplicaRecords::expire(std::vector<RequestKey> const &keys, Timestamp now)
{
    for (RequestKey const key : keys) {
        auto const found = this->blackboard.replicaRecords.read(key);
        if (!found)
            continue;
        if (!isExpired(found->value, now))
            this->schedule.addReplicaRecord(key, found->value.keepUntil);
        else
            this->blackboard.replicaRecords.erase(key, found->version);
    }
}

bool ReplicaRecords::isAuthoritative(Timestamp now) const
{
    return now - this->settings.startedAt >= this->settings.authoritativeAfter;
}

bool ReplicaRecords::hasRoom() const
{
    return this->blackboard.replicaRecords.size() < this->settings.maxReplicaRecords;
}

} // namespace almondwing
