// Implements elections: pre-vote, voting and the start of a leader's term.

#include <LibReplication/ReplicationCore.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

bool ReplicationCore::hasRecentLeader(Timestamp now) const
{
    if (this->role == ReplicaRole::Leader)
        return true;
    return this->leader && this->lastLeaderContact
        && now - *this->lastLeaderContact < this->settings.minElectionTimeout;
}

bool ReplicationCore::isUpToDate(VoteRequest const &request) const
{
    return std::pair(request.lastTerm, request.lastIndex)
        >= std::pair(this->log.lastTerm(), this->log.lastIndex());
}

// A pre-vote does not raise the term, so a replica that was isolated does not make the leader step down
// when it returns.
void ReplicationCore::startPreVote(Timestamp now)
{
    this->resetElectionDeadline(now);
    this->becomeFollower(""); // This replica is not a leader here, so no reason is reported.
    this->role = ReplicaRole::PreCandidate;
    this->votes = {this->self.id};
    if (this->votes.size() >= this->majority()) {
        this->startElection(now);
        return;
    }
    this->requestVotes(VoteKind::PreVote, this->hardState.term + 1);
}

void ReplicationCore::startElection(Timestamp now)
{
    this->resetElectionDeadline(now);
    HardState next = this->hardState;
    ++next.term;
    next.vote = this->self.id;
    if (!this->saveHardState(next))
        return;
    this->role = ReplicaRole::Candidate;
    this->votes = {this->self.id};
    if (this->votes.size() >= this->majority()) {
        this->becomeLeader(now);
        return;
    }
    this->requestVotes(VoteKind::Vote, this->hardState.term);
}

void ReplicationCore::requestVotes(VoteKind kind, Term term)
{
    for (Replica const &voter : this->log.voters()) {
        if (voter.id != this->self.id)
            this->send(voter,
                       VoteRequest{.kind = kind,
                                   .term = term,
                                   .lastIndex = this->log.lastIndex(),
                                   .lastTerm = this->log.lastTerm()});
    }
}

// This replica does not check whether it is a voter: it is one in the candidate's log, even if its own log
// does not have that membership entry yet.
void ReplicationCore::handle(ReplicaEnvelope const &envelope, VoteRequest const &request, Timestamp now)
{
    if (this->isEmpty() || envelope.history.isNone() || this->hasRecentLeader(now))
        return;
    if (request.kind == VoteKind::PreVote) {
        bool const isGranted = request.term > this->hardState.term && this->isUpToDate(request);
        this->send(envelope.from,
                   VoteReply{.kind = VoteKind::PreVote,
                             .term = isGranted ? request.term : this->hardState.term,
                             .verdict = isGranted ? VoteVerdict::Granted : VoteVerdict::Refused});
        return;
    }
    if (request.term > this->hardState.term)
        this->followTerm(request.term);
    if (this->role == ReplicaRole::Failed)
        return;
    bool const hasVote = this->hardState.vote.isNone() || this->hardState.vote == envelope.from.id;
    bool const isGranted = request.term == this->hardState.term && hasVote && this->isUpToDate(request);
    if (isGranted) {
        HardState next = this->hardState;
        next.vote = envelope.from.id;
        if (!this->saveHardState(next))
            return;
        this->resetElectionDeadline(now);
    }
    this->send(envelope.from,
               VoteReply{.kind = VoteKind::Vote,
                         .term = this->hardState.term,
                         .verdict = isGranted ? VoteVerdict::Granted : VoteVerdict::Refused});
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, VoteReply const &reply, Timestamp now)
{
    if (this->isEmpty() || envelope.history.isNone())
        return;
    if (reply.verdict == VoteVerdict::Refused) {
        if (reply.term > this->hardState.term)
            this->followTerm(reply.term);
        return;
    }
    bool const isPreVote = reply.kind == VoteKind::PreVote;
    bool const isExpected = isPreVote
        ? this->role == ReplicaRole::PreCandidate && reply.term == this->hardState.term + 1
        : this->role == ReplicaRole::Candidate && reply.term == this->hardState.term;
    if (!isExpected || !this->isVoter(envelope.from.id))
        return;
    this->votes.insert(envelope.from.id);
    if (this->votes.size() < this->majority())
        return;
    if (isPreVote)
        this->startElection(now);
    else
        this->becomeLeader(now);
}

void ReplicationCore::becomeLeader(Timestamp now)
{
    this->role = ReplicaRole::Leader;
    this->leader = this->self;
    this->votes.clear();
    this->incomingSnapshot.reset();
    this->followers.clear();
    for (Replica const &voter : this->log.voters()) {
        if (voter.id != this->self.id)
            this->addProgress(voter, now);
    }
    this->hooks.report(Event::LeaderElected,
                       fmt::format("{} leads term {} from entry {}", this->self.instance,
                                   this->hardState.term, this->log.lastIndex() + 1));
    this->termStart = this->log.lastIndex() + 1;
    this->nextHeartbeat = now;
    if (this->appendAsLeader(LogEntry{.kind = EntryKind::NoOperation}, now))
        this->sendHeartbeats(now);
}

} // namespace almondwing
