// Implements the leader: proposals, replication in bounded batches, commit and confirmed reads.

#include <LibReplication/ReplicationCore.h>

#include <LibCore/Hash.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace almondwing {

namespace {

constexpr std::size_t maxPendingReads = 256;

// The highest value that at least a majority has reached.
template<typename Value>
Value reachedByMajority(std::vector<Value> values)
{
    std::ranges::sort(values, std::ranges::greater{});
    return values[values.size() / 2];
}

} // namespace

absl::StatusOr<ProposedEntry> ReplicationCore::propose(std::string payload, Timestamp now)
{
    if (absl::Status status = this->checkLeader(); !status.ok())
        return status;
    if (payload.size() > this->settings.maxPayloadBytes)
        return absl::InvalidArgumentError(fmt::format("the change has {} bytes; at most {} are accepted",
                                                      payload.size(), this->settings.maxPayloadBytes));
    if (this->log.lastIndex() - this->commitIndex >= this->settings.maxUncommittedEntries)
        return absl::ResourceExhaustedError("too many changes wait for a majority");
    LogIndex const index = this->log.lastIndex() + 1;
    this->pendingProposals.insert(index);
    if (!this->appendAsLeader(LogEntry{.kind = EntryKind::Command, .payload = std::move(payload)}, now))
        return absl::UnknownError(fmt::format("the change may or may not have reached the disk: {}",
                                              std::string(this->failure.message())));
    return ProposedEntry{.index = index, .term = this->hardState.term};
}

absl::StatusOr<ReadToken> ReplicationCore::startRead(Timestamp now)
{
    if (absl::Status status = this->checkLeader(); !status.ok())
        return status;
    if (this->pendingReads.size() >= maxPendingReads)
        return absl::ResourceExhaustedError("too many reads wait for a majority");
    ReadToken const token = ++this->lastReadToken;
    // Until an entry of this term is committed, the commit index may be lower than that of an earlier leader.
    this->pendingReads.push_back(PendingRead{
        .token = token, .index = std::max(this->commitIndex, this->termStart), .round = ++this->round});
    this->sendHeartbeats(now);
    this->resolveReads();
    return token;
}

bool ReplicationCore::appendAsLeader(LogEntry entry, Timestamp now)
{
    entry.index = this->log.lastIndex() + 1;
    entry.term = this->hardState.term;
    std::span<LogEntry const> const entries(&entry, 1);
    if (!this->failUnlessOk(this->storage.replaceFrom(entries)))
        return false;
    this->log.replaceFrom(entries);
    this->commitByMajority();
    if (this->role != ReplicaRole::Leader)
        return false;
    for (auto &[id, progress] : this->followers)
        this->replicateTo(progress, now);
    return true;
}

void ReplicationCore::tickLeader(Timestamp now)
{
    if (!this->hasQuorum(now)) {
        this->becomeFollower("no majority responds");
        this->resetElectionDeadline(now);
        return;
    }
    if (now >= this->nextHeartbeat) {
        for (auto &[id, progress] : this->followers) {
            bool const isSilent = now - progress.lastReplyAt > this->settings.heartbeatInterval;
            if (progress.mode == ProgressMode::Stream && progress.inFlightBatches > 0 && isSilent)
                progress.probeFrom(progress.matchIndex + 1);
        }
        this->sendHeartbeats(now);
    }
    for (auto &[id, progress] : this->followers)
        this->replicateTo(progress, now);
    this->changeMembership(now);
}

void ReplicationCore::sendHeartbeats(Timestamp now)
{
    this->nextHeartbeat = now + this->settings.heartbeatInterval;
    for (auto &[id, progress] : this->followers)
        this->sendHeartbeat(progress);
}

void ReplicationCore::sendHeartbeat(FollowerProgress &progress)
{
    // A follower that is receiving a snapshot refuses the heartbeat, but its reply shows that it is alive.
    LogIndex const previous = std::max(progress.nextIndex - 1, this->log.snapshot().index);
    this->send(progress.replica,
               AppendRequest{.term = this->hardState.term,
                             .previousIndex = previous,
                             .previousTerm = this->log.termAt(previous).value_or(0),
                             .entries = {},
                             .commitIndex = this->commitIndex,
                             .round = this->round});
}

void ReplicationCore::replicateTo(FollowerProgress &progress, Timestamp now)
{
    progress.refillCredit(now, this->settings.catchUpBytesPerSecond, this->settings.maxBatchBytes);
    if (progress.mode == ProgressMode::Snapshot) {
        if (now - progress.lastPartSentAt >= this->settings.heartbeatInterval
            && now - progress.lastReplyAt < this->settings.heartbeatInterval)
            this->sendSnapshotPart(progress, now);
        return;
    }
    if (progress.mode == ProgressMode::Probe)
        return;
    BatchLimit const limit{.entries = this->settings.maxBatchEntries, .bytes = this->settings.maxBatchBytes};
    while (progress.nextIndex <= this->log.lastIndex()
           && progress.inFlightBatches < this->settings.maxInFlightBatches && progress.sendCreditBytes > 0) {
        if (progress.nextIndex <= this->log.snapshot().index) {
            progress.mode = ProgressMode::Snapshot;
            progress.snapshotIndex = 0;
            this->sendSnapshotPart(progress, now);
            return;
        }
        AppendRequest request{.term = this->hardState.term,
                              .previousIndex = progress.nextIndex - 1,
                              .previousTerm = this->log.termAt(progress.nextIndex - 1).value_or(0),
                              .entries = this->log.batchFrom(progress.nextIndex, limit),
                              .commitIndex = this->commitIndex,
                              .round = this->round};
        for (LogEntry const &entry : request.entries)
            progress.spendCredit(sizeOfEntry(entry));
        progress.nextIndex += request.entries.size();
        ++progress.inFlightBatches;
        this->send(progress.replica, std::move(request));
    }
}

void ReplicationCore::sendSnapshotPart(FollowerProgress &progress, Timestamp now)
{
    Snapshot const &snapshot = this->log.snapshot();
    if (progress.snapshotIndex != snapshot.index) {
        progress.snapshotIndex = snapshot.index;
        progress.snapshotOffset = 0;
    }
    if (progress.sendCreditBytes <= 0)
        return;
    std::uint64_t const offset = std::min<std::uint64_t>(progress.snapshotOffset, snapshot.state.size());
    SnapshotPart part{.term = this->hardState.term,
                      .snapshotIndex = snapshot.index,
                      .snapshotTerm = snapshot.term,
                      .voters = snapshot.voters,
                      .totalSize = snapshot.state.size(),
                      .stateHash = hashText(snapshot.state),
                      .offset = offset,
                      .data = snapshot.state.substr(offset, this->settings.maxSnapshotPartBytes),
                      .round = this->round};
    progress.spendCredit(part.data.size());
    progress.lastPartSentAt = now;
    this->send(progress.replica, std::move(part));
}

FollowerProgress *ReplicationCore::progressOf(ReplicaId id)
{
    auto const entry = this->followers.find(id);
    return entry == this->followers.end() ? nullptr : &entry->second;
}

void ReplicationCore::addProgress(Replica const &replica, Timestamp now)
{
    this->followers.emplace(
        replica.id,
        FollowerProgress{.replica = replica,
                         .nextIndex = this->log.lastIndex() + 1,
                         .lastReplyAt = now,
                         .sendCreditBytes = static_cast<double>(this->settings.maxBatchBytes),
                         .creditRefilledAt = now});
}

void ReplicationCore::recordReply(FollowerProgress &progress, std::uint64_t echoedRound, Timestamp now)
{
    progress.lastReplyAt = now;
    progress.echoedRound = std::max(progress.echoedRound, std::min(echoedRound, this->round));
    if (progress.inFlightBatches > 0)
        --progress.inFlightBatches;
}

void ReplicationCore::recordMatch(FollowerProgress &progress, LogIndex matchIndex)
{
    progress.matchIndex = std::max(progress.matchIndex, std::min(matchIndex, this->log.lastIndex()));
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
}

void ReplicationCore::probeAfterConflict(FollowerProgress &progress, LogConflict conflict)
{
    LogIndex const refused = progress.nextIndex;
    progress.probeFrom(std::min(this->log.resumeAfter(conflict), refused - 1));
    if (progress.nextIndex <= this->log.snapshot().index) {
        progress.mode = ProgressMode::Snapshot;
        return;
    }
    // A delayed refusal does not trigger another probe.
    if (progress.nextIndex != refused)
        this->sendHeartbeat(progress);
}

// Returns the progress of the follower that sent a reply of this term, or null if the reply is to be ignored.
// A higher term makes this replica step down.
FollowerProgress *ReplicationCore::followerForReply(ReplicaEnvelope const &envelope, Term term)
{
    if (envelope.history.isNone() || this->isEmpty())
        return nullptr;
    if (term > this->hardState.term) {
        this->followTerm(term);
        return nullptr;
    }
    bool const isCurrent = this->role == ReplicaRole::Leader && term == this->hardState.term;
    return isCurrent ? this->progressOf(envelope.from.id) : nullptr;
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, AppendReply const &reply, Timestamp now)
{
    FollowerProgress *const progress = this->followerForReply(envelope, reply.term);
    if (progress == nullptr)
        return;
    this->recordReply(*progress, reply.round, now);
    if (reply.verdict == AppendVerdict::Accepted) {
        this->recordMatch(*progress, reply.matchIndex);
        if (progress->mode != ProgressMode::Stream)
            progress->nextIndex = progress->matchIndex + 1;
        progress->mode = ProgressMode::Stream;
        this->commitByMajority();
    } else if (progress->mode != ProgressMode::Snapshot) {
        this->probeAfterConflict(*progress,
                                 LogConflict{.index = reply.conflictIndex, .term = reply.conflictTerm});
    }
    if (this->role != ReplicaRole::Leader)
        return;
    this->resolveReads();
    this->replicateTo(*progress, now);
    this->changeMembership(now);
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, SnapshotReply const &reply, Timestamp now)
{
    FollowerProgress *const progress = this->followerForReply(envelope, reply.term);
    if (progress == nullptr)
        return;
    this->recordReply(*progress, reply.round, now);
    this->resolveReads();
    if (progress->mode != ProgressMode::Snapshot || reply.snapshotIndex != progress->snapshotIndex)
        return;
    if (reply.matchIndex > 0) {
        this->recordMatch(*progress, reply.matchIndex);
        progress->probeFrom(progress->matchIndex + 1);
        this->sendHeartbeat(*progress);
        return;
    }
    bool const isProgress = reply.nextOffset != progress->snapshotOffset;
    progress->snapshotOffset = reply.nextOffset;
    progress->refillCredit(now, this->settings.catchUpBytesPerSecond, this->settings.maxBatchBytes);
    if (isProgress)
        this->sendSnapshotPart(*progress, now);
}

bool ReplicationCore::hasQuorum(Timestamp now) const
{
    std::size_t responding = 0;
    for (Replica const &voter : this->log.voters()) {
        auto const entry = this->followers.find(voter.id);
        if (voter.id == this->self.id
            || (entry != this->followers.end()
                && now - entry->second.lastReplyAt < this->settings.minElectionTimeout))
            ++responding;
    }
    return responding >= this->majority();
}

// Entries of earlier terms are committed only together with an entry of the current term (Ongaro 2014,
// section 3.6.2).
void ReplicationCore::commitByMajority()
{
    std::vector<LogIndex> matches;
    for (Replica const &voter : this->log.voters()) {
        auto const entry = this->followers.find(voter.id);
        if (voter.id == this->self.id)
            matches.push_back(this->log.lastIndex());
        else
            matches.push_back(entry == this->followers.end() ? 0 : entry->second.matchIndex);
    }
    LogIndex const majorityMatch = reachedByMajority(std::move(matches));
    if (majorityMatch <= this->commitIndex || this->log.termAt(majorityMatch) != this->hardState.term)
        return;
    this->advanceCommit(majorityMatch);
    // Followers apply an entry only once they receive the new commit index, so it is sent with the next tick.
    this->nextHeartbeat = Timestamp::min();
}

void ReplicationCore::resolveReads()
{
    if (this->role != ReplicaRole::Leader || this->pendingReads.empty())
        return;
    std::vector<std::uint64_t> rounds;
    for (Replica const &voter : this->log.voters()) {
        auto const entry = this->followers.find(voter.id);
        if (voter.id == this->self.id)
            rounds.push_back(this->round);
        else
            rounds.push_back(entry == this->followers.end() ? 0 : entry->second.echoedRound);
    }
    std::uint64_t const confirmed = reachedByMajority(std::move(rounds));
    std::erase_if(this->pendingReads, [&](PendingRead const &read) {
        if (read.round > confirmed || read.index > this->appliedIndex)
            return false;
        this->hooks.resolveRead(read.token, absl::OkStatus());
        return true;
    });
}

} // namespace almondwing
