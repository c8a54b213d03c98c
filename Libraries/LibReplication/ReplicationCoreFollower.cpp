// Implements followers and learners: entries and snapshots from the leader.

#include <LibReplication/ReplicationCore.h>

#include <LibCore/Hash.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// Input from the network: consecutive entries with terms that never fall and are not above the leader's.
bool isWellFormed(AppendRequest const &request)
{
    LogIndex index = request.previousIndex;
    Term term = request.previousTerm;
    for (LogEntry const &entry : request.entries) {
        if (entry.index != ++index || entry.term < term)
            return false;
        term = entry.term;
    }
    return term <= request.term;
}

} // namespace

// An empty replica takes over the history of a leader: a leader exists only after a bootstrap.
bool ReplicationCore::acceptHistory(ReplicaEnvelope const &envelope)
{
    if (envelope.history.isNone())
        return false;
    if (!this->isEmpty())
        return true;
    HardState next = this->hardState;
    next.history = envelope.history;
    next.promisedCoordinator = ReplicaId{};
    if (!this->saveHardState(next))
        return false;
    this->hooks.report(
        Event::ReplicaJoined,
        fmt::format("gets the log from {}; votes only once the log has admitted replica {:016x}",
                    envelope.from.instance, this->self.id.value));
    return true;
}

bool ReplicationCore::acceptLeader(ReplicaEnvelope const &envelope, Term term, Timestamp now)
{
    if (term > this->hardState.term)
        this->followTerm(term);
    if (this->role == ReplicaRole::Failed)
        return false;
    if (this->role != ReplicaRole::Follower)
        this->becomeFollower("another leader has this term");
    this->leader = envelope.from;
    this->lastLeaderContact = now;
    this->resetElectionDeadline(now);
    return true;
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, AppendRequest const &request, Timestamp now)
{
    if (!isWellFormed(request) || !this->acceptHistory(envelope))
        return;
    if (request.term < this->hardState.term) {
        this->send(envelope.from, AppendReply{.term = this->hardState.term});
        return;
    }
    if (this->acceptLeader(envelope, request.term, now))
        this->appendFromLeader(envelope, request);
}

void ReplicationCore::appendFromLeader(ReplicaEnvelope const &envelope, AppendRequest const &request)
{
    LogIndex const snapshotIndex = this->log.snapshot().index;
    bool const reachesIntoSnapshot = request.previousIndex < snapshotIndex;
    if (!reachesIntoSnapshot && this->log.termAt(request.previousIndex) != request.previousTerm) {
        LogConflict const conflict = this->log.conflictAt(request.previousIndex);
        this->send(envelope.from,
                   AppendReply{.term = this->hardState.term,
                               .verdict = AppendVerdict::Refused,
                               .conflictIndex = conflict.index,
                               .conflictTerm = conflict.term,
                               .round = request.round});
        return;
    }
    // Entries that the log already has are not written again, because a late duplicate must not cut off newer
    // entries.
    auto const firstNew = std::ranges::find_if(request.entries, [&](LogEntry const &entry) {
        return entry.index > snapshotIndex && this->log.termAt(entry.index) != entry.term;
    });
    std::span<LogEntry const> const missing(firstNew, request.entries.end());
    if (!missing.empty() && missing.front().index <= this->commitIndex) {
        this->fail(absl::DataLossError(fmt::format("{} contradicts the committed entry {}",
                                                   envelope.from.instance, missing.front().index)));
        return;
    }
    if (!missing.empty()) {
        if (!this->store(this->storage.appendEntries(missing)))
            return;
        this->log.replaceFrom(missing);
    }
    LogIndex const match = std::max<LogIndex>(request.previousIndex + request.entries.size(), snapshotIndex);
    this->advanceCommit(std::min(request.commitIndex, match));
    if (this->role == ReplicaRole::Failed)
        return;
    this->send(envelope.from,
               AppendReply{.term = this->hardState.term,
                           .verdict = AppendVerdict::Accepted,
                           .matchIndex = match,
                           .round = request.round});
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, SnapshotPart const &part, Timestamp now)
{
    if (part.totalSize > this->settings.maxSnapshotBytes || !this->acceptHistory(envelope))
        return;
    if (part.term < this->hardState.term) {
        this->send(envelope.from, SnapshotReply{.term = this->hardState.term});
        return;
    }
    if (!this->acceptLeader(envelope, part.term, now))
        return;
    SnapshotReply reply{
        .term = this->hardState.term, .snapshotIndex = part.snapshotIndex, .round = part.round};
    if (part.snapshotIndex <= this->commitIndex) {
        reply.matchIndex = this->commitIndex;
    } else if (this->collectPart(part)) {
        if (!this->installSnapshot(*std::exchange(this->incoming, std::nullopt)))
            return;
        reply.matchIndex = part.snapshotIndex;
    }
    reply.nextOffset = this->incoming ? this->incoming->state.size() : 0;
    this->send(envelope.from, reply);
}

// Returns whether the snapshot is complete. A part that does not continue the last one is dropped; the reply
// tells the leader where to go on.
bool ReplicationCore::collectPart(SnapshotPart const &part)
{
    bool const isSameSnapshot = this->incoming && this->incoming->index == part.snapshotIndex
        && this->incoming->term == part.snapshotTerm;
    if (!isSameSnapshot)
        this->incoming = Snapshot{
            .index = part.snapshotIndex, .term = part.snapshotTerm, .voters = part.voters, .state = {}};
    if (part.offset != this->incoming->state.size())
        return false;
    this->incoming->state += part.data;
    if (this->incoming->state.size() < part.totalSize)
        return false;
    if (this->incoming->state.size() == part.totalSize && hashText(this->incoming->state) == part.stateHash)
        return true;
    this->incoming->state.clear();
    return false;
}

bool ReplicationCore::installSnapshot(Snapshot snapshot)
{
    bool const continues = this->log.termAt(snapshot.index) == snapshot.term;
    auto const kept = continues ? this->log.entriesAfter(snapshot.index) : std::span<LogEntry const>{};
    if (!this->store(this->storage.saveSnapshot(snapshot, kept)))
        return false;
    this->log.rebase(std::move(snapshot));
    this->commitIndex = this->log.snapshot().index;
    this->appliedIndex = this->commitIndex;
    this->hooks.restore(this->log.snapshot());
    this->hooks.report(Event::SnapshotInstalled, fmt::format("the state up to entry {}", this->commitIndex));
    return true;
}

} // namespace almondwing
