// Implements the group member side of records.

#include <LibRequests/ReplicaRecords.h>

#include <algorithm>

namespace almondwing {

namespace {

bool isExpired(ReplicaRecord const &record, Timestamp now)
{
    return record.keepUntil <= now;
}

RecordVerdict judgeRecord(std::optional<ReplicaRecord> const &current, RecordRequest const &request,
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

ReplicaRecords::ReplicaRecords(Blackboard &board, RequestSettings const &times, ExpirySchedule &expiry)
    : blackboard(board), settings(times), schedule(expiry)
{
}

RecordVerdict ReplicaRecords::record(RecordRequest const &request, Timestamp now)
{
    if (!this->hasRoom() && !this->blackboard.replicaRecords.contains(request.key))
        return RecordVerdict::Refused;
    // The record carries the time left with the caller's deadline and the time to keep it after that.
    Timestamp const keepUntil = now + request.keepFor;
    RecordVerdict verdict = RecordVerdict::Refused;
    this->blackboard.replicaRecords.update(
        request.key, [&](std::optional<ReplicaRecord> const &current) -> std::optional<ReplicaRecord> {
            verdict = judgeRecord(current, request, now);
            if (verdict != RecordVerdict::Stored)
                return std::nullopt;
            return ReplicaRecord{.kind = ReplicaRecordKind::Recorded,
                                 .target = request.target,
                                 .holder = request.dispatcher,
                                 .recordId = request.tryId,
                                 .deadline = keepUntil - this->settings.keepAfterDeadline,
                                 .keepUntil = keepUntil};
        });
    if (verdict == RecordVerdict::Stored)
        this->schedule.fileReplicaRecord(request.key, keepUntil);
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

PromiseOutcome ReplicaRecords::promise(RequestKey key, InstanceId asker, Timestamp now)
{
    bool const canPromise = this->vouches(now) && this->hasRoom();
    Timestamp const keepUntil = now + this->settings.keepPromiseFor;
    PromiseOutcome outcome = PromiseOutcome::Unable;
    this->blackboard.replicaRecords.update(
        key, [&](std::optional<ReplicaRecord> const &current) -> std::optional<ReplicaRecord> {
            bool const isHeld = current && !isExpired(*current, now);
            if (isHeld && (current->holder != asker || current->kind != ReplicaRecordKind::Promised)) {
                outcome = PromiseOutcome::Known;
                return std::nullopt;
            }
            outcome = canPromise ? PromiseOutcome::Given : PromiseOutcome::Unable;
            if (!canPromise)
                return std::nullopt;
            return ReplicaRecord{.kind = ReplicaRecordKind::Promised,
                                 .target = {},
                                 .holder = asker,
                                 .recordId = 0,
                                 .deadline = now,
                                 .keepUntil = keepUntil};
        });
    if (outcome == PromiseOutcome::Given)
        this->schedule.fileReplicaRecord(key, keepUntil);
    return outcome;
}

std::optional<ReplicaRecord> ReplicaRecords::find(RequestKey key, Timestamp now) const
{
    auto const found = this->blackboard.replicaRecords.read(key);
    if (!found || isExpired(found->value, now))
        return std::nullopt;
    return found->value;
}

std::optional<Timestamp> ReplicaRecords::longestDeadline(TargetId target, Timestamp now) const
{
    std::optional<Timestamp> longest;
    for (auto const &[key, record] : this->blackboard.replicaRecords.entries()) {
        if (record.target != target || record.kind != ReplicaRecordKind::Recorded || record.deadline <= now)
            continue;
        longest = std::max(longest.value_or(record.deadline), record.deadline);
    }
    return longest;
}

void ReplicaRecords::expire(std::vector<RequestKey> const &keys, Timestamp now)
{
    for (RequestKey const key : keys) {
        auto const found = this->blackboard.replicaRecords.read(key);
        if (!found)
            continue;
        if (!isExpired(found->value, now))
            this->schedule.fileReplicaRecord(key, found->value.keepUntil);
        else
            this->blackboard.replicaRecords.erase(key, found->version);
    }
}

bool ReplicaRecords::vouches(Timestamp now) const
{
    return now - this->settings.startedAt >= this->settings.authoritativeAfter;
}

bool ReplicaRecords::hasRoom() const
{
    return this->blackboard.replicaRecords.size() < this->settings.replicaRecordBound;
}

} // namespace almondwing
