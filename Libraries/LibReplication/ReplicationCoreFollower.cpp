// Implements followers and learners: they receive entries and snapshots from the leader.

#include <LibReplication/ReplicationCore.h>

#include <LibCore/Hash.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// Validates input from the network: the indexes must be consecutive, and the terms must not decrease or
// exceed the leader's term.
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

// An empty replica adopts the history of a leader. This is safe because a leader exists only after a
// bootstrap.
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
        fmt::format("receives the log from {}; votes only after the log has admitted replica {:016x}",
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
    bool const startsBeforeSnapshot = request.previousIndex < snapshotIndex;
    if (!startsBeforeSnapshot && this->log.termAt(request.previousIndex) != request.previousTerm) {
        LogConflict const conflict = this->log.conflictAt(request.previousIndex);
        this->send(envelope.from,
                   AppendReply{.term = this->hardState.term,
                               .verdict = AppendVerdict::Refused,
                               .conflictIndex = conflict.index,
                               .conflictTerm = conflict.term,
                               .round = request.round});
        return;
    }
    // Entries that the log already has are skipped, because a delayed duplicate of a request must not
    // truncate newer entries.
    auto const firstNew = std::ranges::find_if(request.entries, [&](LogEntry const &entry) {
        return entry.index > snapshotIndex && this->log.termAt(entry.index) != entry.term;
    });
    std::span<LogEntry const> const newEntries(firstNew, request.entries.end());
    if (!newEntries.empty() && newEntries.front().index <= this->commitIndex) {
        this->fail(absl::DataLossError(fmt::format("{} contradicts the committed entry {}",
                                                   envelope.from.instance, newEntries.front().index)));
        return;
    }
    if (!newEntries.empty()) {
        if (!this->failUnlessOk(this->storage.replaceFrom(newEntries)))
            return;
        this->log.replaceFrom(newEntries);
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
        if (!this->installSnapshot(*std::exchange(this->incomingSnapshot, std::nullopt)))
            return;
        reply.matchIndex = part.snapshotIndex;
    }
    reply.nextOffset = this->incomingSnapshot ? this->incomingSnapshot->state.size() : 0;
    this->send(envelope.from, reply);
}

// Returns whether the snapshot is complete. A part that does not continue the last one is dropped; the reply
// has the offset that the leader sends next.
bool ReplicationCore::collectPart(SnapshotPart const &part)
{
    bool const isSameSnapshot = this->incomingSnapshot && this->incomingSnapshot->index == part.snapshotIndex
        && this->incomingSnapshot->term == part.snapshotTerm;
    if (!isSameSnapshot)
        this->incomingSnapshot = Snapshot{
            .index = part.snapshotIndex, .term = part.snapshotTerm, .voters = part.voters, .state = {}};
    if (part.offset != this->incomingSnapshot->state.size())
        return false;
    this->incomingSnapshot->state += part.data;
    if (this->incomingSnapshot->state.size() < part.totalSize)
        return false;
    if (this->incomingSnapshot->state.size() == part.totalSize
        && hashText(this->incomingSnapshot->state) == part.stateHash)
        return true;
    this->incomingSnapshot->state.clear();
    return false;
}

bool ReplicationCore::installSnapshot(Snapshot snapshot)
{
    bool const matchesLog = this->log.termAt(snapshot.index) == snapshot.term;
    auto const kept = matchesLog ? this->log.entriesAfter(snapshot.index) : std::span<LogEntry const>{};
    if (!this->failUnlessOk(this->storage.saveSnapshot(snapshot, kept)))
        return false;
    this->log.resetToSnapshot(std::move(snapshot));
    this->commitIndex = this->log.snapshot().index;
    this->appliedIndex = this->commitIndex;
    this->hooks.restore(this->log.snapshot());
    this->hooks.report(Event::SnapshotInstalled,
                       fmt::format("restored the state up to entry {}", this->commitIndex));
    return true;
}

} // namespace almondwing
