// Implements the leader: proposals, replication with bounded batches, commit, reads.

#include <LibReplication/ReplicationCore.h>

#include <LibCore/Hash.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace almondwing {

namespace {

constexpr std::size_t largestPendingReads = 256;

// The value that a majority has reached: half of the values, rounded down, may be lower.
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
    this->proposals.insert(index);
    if (!this->appendAsLeader(LogEntry{.kind = EntryKind::Command, .payload = std::move(payload)}, now))
        return absl::UnknownError(fmt::format("the change may have reached the disk, but not surely: {}",
                                              std::string(this->failure.message())));
    return ProposedEntry{.index = index, .term = this->hardState.term};
}

absl::StatusOr<ReadToken> ReplicationCore::confirmLeadership(Timestamp now)
{
    if (absl::Status status = this->checkLeader(); !status.ok())
        return status;
    if (this->reads.size() >= largestPendingReads)
        return absl::ResourceExhaustedError("too many reads wait for a majority");
    ReadToken const token = ++this->lastReadToken;
    // Before an entry of the own term is committed, the commit index may lag behind an earlier leader's.
    this->reads.push_back(PendingRead{
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
    if (!this->store(this->storage.appendEntries(entries)))
        return false;
    this->log.replaceFrom(entries);
    this->commitByMajority();
    if (this->role != ReplicaRole::Leader)
        return false;
    for (auto &[id, progress] : this->followers)
        this->sendWhatFits(progress, now);
    return true;
}

void ReplicationCore::tickLeader(Timestamp now)
{
    if (!this->hasQuorum(now)) {
        this->becomeFollower("no majority answers");
        this->resetElectionDeadline(now);
        return;
    }
    if (now >= this->nextHeartbeat) {
        for (auto &[id, progress] : this->followers) {
            bool const isSilent = now - progress.lastReply > this->settings.heartbeatInterval;
            if (progress.mode == ProgressMode::Stream && progress.inFlight > 0 && isSilent)
                progress.probeFrom(progress.matchIndex + 1);
        }
        this->sendHeartbeats(now);
    }
    for (auto &[id, progress] : this->followers)
        this->sendWhatFits(progress, now);
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
    // A follower that gets a snapshot refuses this, but its reply shows that it is alive.
    LogIndex const previous = std::max(progress.nextIndex - 1, this->log.snapshot().index);
    this->send(progress.replica,
               AppendRequest{.term = this->hardState.term,
                             .previousIndex = previous,
                             .previousTerm = this->log.termAt(previous).value_or(0),
                             .entries = {},
                             .commitIndex = this->commitIndex,
                             .round = this->round});
}

void ReplicationCore::sendWhatFits(FollowerProgress &progress, Timestamp now)
{
    progress.refillCredit(now, this->settings.catchUpBytesPerSecond, this->settings.maxBatchBytes);
    if (progress.mode == ProgressMode::Snapshot) {
        if (now - progress.lastPart >= this->settings.heartbeatInterval
            && now - progress.lastReply < this->settings.heartbeatInterval)
            this->sendSnapshotPart(progress, now);
        return;
    }
    if (progress.mode == ProgressMode::Probe)
        return;
    BatchLimit const limit{.entries = this->settings.maxBatchEntries, .bytes = this->settings.maxBatchBytes};
    while (progress.nextIndex <= this->log.lastIndex()
           && progress.inFlight < this->settings.maxInFlightBatches && progress.credit > 0) {
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
        ++progress.inFlight;
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
    if (progress.credit <= 0)
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
    progress.lastPart = now;
    this->send(progress.replica, std::move(part));
}

FollowerProgress *ReplicationCore::progressOf(ReplicaId id)
{
    auto const entry = this->followers.find(id);
    return entry == this->followers.end() ? nullptr : &entry->second;
}

void ReplicationCore::addProgress(Replica const &replica, Timestamp now)
{
    this->followers.emplace(replica.id,
                            FollowerProgress{.replica = replica,
                                             .nextIndex = this->log.lastIndex() + 1,
                                             .lastReply = now,
                                             .credit = static_cast<double>(this->settings.maxBatchBytes),
                                             .creditTime = now});
}

void ReplicationCore::recordReply(FollowerProgress &progress, std::uint64_t echoedRound, Timestamp now)
{
    progress.lastReply = now;
    progress.echoedRound = std::max(progress.echoedRound, std::min(echoedRound, this->round));
    if (progress.inFlight > 0)
        --progress.inFlight;
}

void ReplicationCore::recordMatch(FollowerProgress &progress, LogIndex matchIndex)
{
    progress.matchIndex = std::max(progress.matchIndex, std::min(matchIndex, this->log.lastIndex()));
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
}

void ReplicationCore::backOff(FollowerProgress &progress, LogConflict conflict)
{
    LogIndex const refused = progress.nextIndex;
    progress.probeFrom(std::min(this->log.resumeAfter(conflict), refused - 1));
    if (progress.nextIndex <= this->log.snapshot().index) {
        progress.mode = ProgressMode::Snapshot;
        return;
    }
    // Refusals that were late lead to no further probes.
    if (progress.nextIndex != refused)
        this->sendHeartbeat(progress);
}

// The follower that a reply of this term comes from; null if the reply does not count. A higher term ends the
// leadership.
FollowerProgress *ReplicationCore::followerOfReply(ReplicaEnvelope const &envelope, Term term)
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
    FollowerProgress *const progress = this->followerOfReply(envelope, reply.term);
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
        this->backOff(*progress, LogConflict{.index = reply.conflictIndex, .term = reply.conflictTerm});
    }
    if (this->role != ReplicaRole::Leader)
        return;
    this->resolveReads();
    this->sendWhatFits(*progress, now);
    this->changeMembership(now);
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, SnapshotReply const &reply, Timestamp now)
{
    FollowerProgress *const progress = this->followerOfReply(envelope, reply.term);
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
    std::size_t answering = 0;
    for (Replica const &voter : this->log.voters()) {
        auto const entry = this->followers.find(voter.id);
        if (voter.id == this->self.id
            || (entry != this->followers.end()
                && now - entry->second.lastReply < this->settings.minElectionTimeout))
            ++answering;
    }
    return answering >= this->majority();
}

// Entries of earlier terms are committed only together with one of the own term (Ongaro 2014, 3.6.2).
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
    LogIndex const reached = reachedByMajority(std::move(matches));
    if (reached <= this->commitIndex || this->log.termAt(reached) != this->hardState.term)
        return;
    this->advanceCommit(reached);
    // Followers apply a change only when they hear that it is committed, so they hear it at the next tick.
    this->nextHeartbeat = Timestamp::min();
}

void ReplicationCore::resolveReads()
{
    if (this->role != ReplicaRole::Leader || this->reads.empty())
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
    std::erase_if(this->reads, [&](PendingRead const &read) {
        if (read.round > confirmed || read.index > this->appliedIndex)
            return false;
        this->hooks.resolveRead(read.token, absl::OkStatus());
        return true;
    });
}

} // namespace almondwing
