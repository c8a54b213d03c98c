// Implements a replicated log with the Raft algorithm (Ongaro 2014): elections with pre-vote, check quorum,
// majority commit, snapshots, single-server membership changes, and a bootstrap that cannot start a second
// history. As in Raft, "membership" means the set of voters of the log. It has no relation to the members of
// LibMembership.
//
// A replica is empty until it has a history. A bootstrap begins the history, and only if every control
// instance of the settings replies in the same attempt that it is empty. The coordinator, which is the
// control instance whose name sorts first, asks for these replies. Before it replies, an instance stores a
// promise to the coordinator, so that a delayed command of an earlier coordinator is refused. A replica whose
// disk was wiped has a new id and does not count towards a majority until the log has admitted it as a voter.
//
// The core does no I/O, reads no clock and starts no thread. Its methods must not be called concurrently. Its
// owner publishes status() for other threads.

#pragma once

#include <LibReplication/FollowerProgress.h>
#include <LibReplication/ReplicaMessages.h>
#include <LibReplication/ReplicationHooks.h>
#include <LibReplication/ReplicationLog.h>
#include <LibReplication/StorageHooks.h>

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

enum class ReplicaRole : std::uint8_t {
    Follower,
    PreCandidate, // Requests pre-votes.
    Candidate,
    Leader,
    // The storage failed, or a leader contradicted a committed entry. The replica acknowledges nothing until
    // it is restarted.
    Failed,
};

enum class ReplicaStanding : std::uint8_t {
    Empty, // Has no history and grants no votes.
    Learner, // Receives the log, but is not a voter yet.
    Voter,
};

// Lost means that so many voters came back with empty or different disks that the remaining ones can't elect
// a leader.
enum class MajorityDisks : std::uint8_t { Present, Lost };

struct ReplicationStatus
{
    Replica self;
    ReplicaRole role = ReplicaRole::Follower;
    ReplicaStanding standing = ReplicaStanding::Empty;
    MajorityDisks majorityDisks = MajorityDisks::Present;
    HistoryId history;
    Term term = 0;
    std::optional<Replica> leader;
    LogIndex lastIndex = 0;
    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0;
    LogIndex snapshotIndex = 0;
    std::vector<Replica> voters; // In effect now; the membership change may not be committed yet.
    std::vector<Replica> committedVoters;
    absl::Status failure;

    friend bool operator==(ReplicationStatus const &, ReplicationStatus const &) = default;
};

struct ProposedEntry
{
    LogIndex index = 0;
    Term term = 0;

    friend bool operator==(ProposedEntry const &, ProposedEntry const &) = default;
};

class ReplicationCore
{
public:
    // Restores the stored snapshot and applies the entries that are known to be committed.
    ReplicationCore(ReplicationSettings settings, StoredState stored, StorageHooks storage,
                    ReplicationHooks hooks, Timestamp now);

    void handleMessage(ReplicaEnvelope const &envelope, Timestamp now);
    void tick(Timestamp now);

    // Only the leader accepts a proposal. The other replicas refuse it, and their status() has the leader, if
    // they know it. A refused command is not in the log, except after an error of code Unknown. The hook
    // resolveProposal reports the outcome of an accepted proposal.
    absl::StatusOr<ProposedEntry> propose(std::string payload, Timestamp now);

    // Asks a majority to confirm this leader. The hook resolveRead is called when the state machine reflects
    // every entry that was committed before this call.
    absl::StatusOr<ReadToken> startRead(Timestamp now);

    ReplicationStatus status() const;

    // Whether this replica is the leader or received a message from it within the minimum election timeout. A
    // leader to which no majority has replied within that time steps down at its next tick.
    bool isInContact(Timestamp now) const { return this->hasRecentLeader(now); }

    // Steps down before a planned stop. Sends nothing; heartbeats end now, so other replicas time out sooner.
    void stepDown(Timestamp now);
    ReplicationCounters const &counters() const { return this->trafficCounters; }

private:
    struct PendingRead
    {
        ReadToken token = 0;
        LogIndex index = 0; // This entry must be applied before the read.
        std::uint64_t round = 0; // A majority must echo this round before the read.
    };

    // Shared by all roles.
    bool isEmpty() const { return this->hardState.history.isNone(); }
    bool isVoter(ReplicaId id) const;
    bool isControlInstance(std::string const &instance) const;
    bool mayJoin(std::string const &instance) const;
    std::size_t majority() const { return this->log.voters().size() / 2 + 1; }
    void send(Replica const &to, ReplicaMessage message);
    void reportOnce(ReplicaId id, Event event, std::string const &text);
    bool failUnlessOk(absl::Status const &status); // Enters the role Failed if the status is an error.
    bool saveHardState(HardState const &next);
    void fail(absl::Status const &status);
    void followTerm(Term term);
    void becomeFollower(char const *reason);
    void resetElectionDeadline(Timestamp now);
    void advanceCommit(LogIndex index);
    void applyCommitted();
    void takeSnapshotIfDue();
    bool acceptHistory(ReplicaEnvelope const &envelope);
    absl::Status checkLeader() const;

    // Elections.
    bool hasRecentLeader(Timestamp now) const;
    bool isUpToDate(VoteRequest const &request) const;
    void startPreVote(Timestamp now);
    void startElection(Timestamp now);
    void requestVotes(VoteKind kind, Term term);
    void becomeLeader(Timestamp now);
    void handle(ReplicaEnvelope const &envelope, VoteRequest const &request, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, VoteReply const &reply, Timestamp now);

    // Followers and learners.
    bool acceptLeader(ReplicaEnvelope const &envelope, Term term, Timestamp now);
    void appendFromLeader(ReplicaEnvelope const &envelope, AppendRequest const &request);
    void handle(ReplicaEnvelope const &envelope, AppendRequest const &request, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, SnapshotPart const &part, Timestamp now);
    bool collectPart(SnapshotPart const &part);
    bool installSnapshot(Snapshot snapshot);

    // The leader.
    bool appendAsLeader(LogEntry entry, Timestamp now);
    void tickLeader(Timestamp now);
    void sendHeartbeats(Timestamp now);
    void sendHeartbeat(FollowerProgress &progress);
    void replicateTo(FollowerProgress &progress, Timestamp now);
    void sendSnapshotPart(FollowerProgress &progress, Timestamp now);
    void recordReply(FollowerProgress &progress, std::uint64_t round, Timestamp now);
    void recordMatch(FollowerProgress &progress, LogIndex matchIndex);
    void probeAfterConflict(FollowerProgress &progress, LogConflict conflict);
    FollowerProgress *progressOf(ReplicaId id);
    FollowerProgress *followerForReply(ReplicaEnvelope const &envelope, Term term);
    bool hasQuorum(Timestamp now) const;
    void commitByMajority();
    void resolveReads();
    void addProgress(Replica const &replica, Timestamp now);
    void changeMembership(Timestamp now);
    bool proposeAdmission(Replica const &learner, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, AppendReply const &reply, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, SnapshotReply const &reply, Timestamp now);

    // Bootstrap and joining.
    bool isCoordinator() const;
    std::set<std::string> instancesToAsk() const;
    std::optional<Replica> silentVoter(Timestamp now) const;
    bool isSafeToRemove(Replica const &voter, Timestamp now) const;
    std::optional<Replica> voterToReplace(Replica const &learner, Timestamp now) const;
    bool removeVoter(Replica const &voter, Timestamp now);
    void tickJoining(Timestamp now);
    void sendBootstrapQueries();
    void bootstrapIfAllEmpty();
    bool beginHistory(HistoryId history, std::vector<Replica> const &voters);
    void recordReplacedDisk(Replica const &replica, Timestamp now);
    void expireReplacedDisks(Timestamp now);
    void handle(ReplicaEnvelope const &envelope, JoinRequest const &request, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapQuery const &query, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapReply const &reply, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapCommand const &command, Timestamp now);

    ReplicationSettings settings;
    StorageHooks storage;
    ReplicationHooks hooks;
    Replica self;
    ReplicationCounters trafficCounters;
    absl::Status failure; // The error that made the role Failed; never reset.

    HardState hardState; // Equals the stored hard state.
    ReplicationLog log; // Equals the stored log.
    LogIndex commitIndex = 0; // Never decreases; at most log.lastIndex().
    LogIndex appliedIndex = 0; // Never decreases; at most commitIndex, and equal to it between calls.

    ReplicaRole role = ReplicaRole::Follower;
    std::optional<Replica> leader;
    Timestamp electionDeadline;
    std::optional<Timestamp> lastLeaderContact; // Not set until the first contact after a start.
    std::set<ReplicaId> votes; // Votes or pre-votes for this replica, including its own.
    std::optional<Snapshot> incomingSnapshot; // The parts received so far.

    // These members are valid only while the role is Leader.
    std::map<ReplicaId, FollowerProgress> followers; // All other voters, and learners that asked to join.
    LogIndex termStart = 0; // The first entry of this term; reads and membership changes wait for its commit.
    std::uint64_t round = 0;
    Timestamp nextHeartbeat;
    std::set<LogIndex> pendingProposals; // Accepted but not yet resolved.
    std::vector<PendingRead> pendingReads; // In ascending order of rounds.
    ReadToken lastReadToken = 0;

    Timestamp nextJoin;
    std::uint64_t bootstrapAttempt = 0;
    std::map<std::string, Replica> emptyInstances; // Instances that replied Empty to this attempt.
    std::string reportedRefusal; // The last reported reason; prevents repeated BootstrapRefused events.
    // When the instance of a voter last asked to join under another replica id.
    std::map<std::string, Timestamp> replacedDisks;
    MajorityDisks majorityDisks = MajorityDisks::Present;
    std::set<ReplicaId> reportedReplicas; // Foreign or conflicting replicas; each is reported only once.
};

} // namespace almondwing
