// The replicated log after Ongaro's Raft (2014): elections with pre-vote, check quorum, majority commit,
// snapshots, single-server membership changes, and a bootstrap that never starts a second history.
//
// The core does no I/O, reads no clock and starts no thread. It has one owner at a time. The daemon shares
// status() with other controllers through the blackboard.

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
    PreCandidate, // Asks for pre-votes.
    Candidate,
    Leader,
    Failed, // The storage failed; the replica acknowledges nothing until it is restarted.
};

enum class ReplicaStanding : std::uint8_t {
    Empty, // Has no history and votes for nobody.
    Learner, // Gets the log, but the log has not admitted it.
    Voter,
};

// Whether so many voters were replaced by empty disks that the rest can't elect a leader any more.
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
    std::vector<Replica> voters; // In force, the change may not be committed yet.
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
    // Restores the snapshot and applies the entries that are known to be committed.
    ReplicationCore(ReplicationSettings settings, StoredState stored, StorageHooks storage,
                    ReplicationHooks hooks, Timestamp now);

    void handleMessage(ReplicaEnvelope const &envelope, Timestamp now);
    void tick(Timestamp now);

    // Only the leader accepts a proposal; the others refuse and status() names the leader they know of.
    // A refused change is not in the log, except after an error of code Unknown. resolveProposal tells the
    // outcome of an accepted proposal.
    absl::StatusOr<ProposedEntry> propose(std::string payload, Timestamp now);

    // Asks a majority to confirm this leader. resolveRead tells when the state machine reflects every entry
    // that was committed before this call.
    absl::StatusOr<ReadToken> confirmLeadership(Timestamp now);

    ReplicationStatus status() const;

    // Whether this replica leads with a majority, or heard such a leader within the shortest election
    // timeout.
    bool isInContact(Timestamp now) const { return this->hasRecentLeader(now); }

    // Ends the leadership before a planned stop, so that the others need not wait for its timeout.
    void resign(Timestamp now);
    ReplicationCounters const &counters() const { return this->counted; }

private:
    struct PendingRead
    {
        ReadToken token = 0;
        LogIndex index = 0; // Must be applied before the read.
        std::uint64_t round = 0; // Must be echoed by a majority.
    };

    // Shared by all roles.
    bool isEmpty() const { return this->hardState.history.isNone(); }
    bool isVoter(ReplicaId id) const;
    bool isControlInstance(std::string const &instance) const;
    bool mayJoin(std::string const &instance) const;
    std::size_t majority() const { return this->log.voters().size() / 2 + 1; }
    void send(Replica const &to, ReplicaMessage message);
    void reportOnce(ReplicaId id, Event event, std::string const &text);
    bool store(absl::Status const &status);
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
    void sendWhatFits(FollowerProgress &progress, Timestamp now);
    void sendSnapshotPart(FollowerProgress &progress, Timestamp now);
    void recordReply(FollowerProgress &progress, std::uint64_t round, Timestamp now);
    void recordMatch(FollowerProgress &progress, LogIndex matchIndex);
    void backOff(FollowerProgress &progress, LogConflict conflict);
    FollowerProgress *progressOf(ReplicaId id);
    FollowerProgress *followerOfReply(ReplicaEnvelope const &envelope, Term term);
    bool hasQuorum(Timestamp now) const;
    void commitByMajority();
    void resolveReads();
    void addProgress(Replica const &replica, Timestamp now);
    void changeMembership(Timestamp now);
    bool replaceVoter(Replica const &learner, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, AppendReply const &reply, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, SnapshotReply const &reply, Timestamp now);

    // Bootstrap and joining.
    bool isCoordinator() const;
    std::set<std::string> instancesToAsk() const;
    std::optional<Replica> silentVoter(Timestamp now) const;
    bool isSpare(Replica const &voter, Timestamp now) const;
    std::optional<Replica> voterToReplace(Replica const &learner, Timestamp now) const;
    bool removeVoter(Replica const &voter, Timestamp now);
    void tickJoining(Timestamp now);
    void queryBootstrap();
    void bootstrapIfAllEmpty();
    bool beginHistory(HistoryId history, std::vector<Replica> const &voters);
    void noteReplacedDisk(Replica const &replica, Timestamp now);
    void forgetReplacedDisks(Timestamp now);
    void handle(ReplicaEnvelope const &envelope, JoinRequest const &request, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapQuery const &query, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapReply const &reply, Timestamp now);
    void handle(ReplicaEnvelope const &envelope, BootstrapCommand const &command, Timestamp now);

    ReplicationSettings settings;
    StorageHooks storage;
    ReplicationHooks hooks;
    Replica self;
    ReplicationCounters counted;
    absl::Status failure; // Once it is an error, it stays and the role is Failed.

    HardState hardState; // Equal to what is stored.
    ReplicationLog log; // Equal to what is stored.
    LogIndex commitIndex = 0; // Never falls; at most log.lastIndex().
    LogIndex appliedIndex = 0; // Never falls; at most commitIndex, and equal to it between calls.

    ReplicaRole role = ReplicaRole::Follower;
    std::optional<Replica> leader;
    Timestamp electionDeadline;
    std::optional<Timestamp> lastLeaderContact; // Nothing before the first contact after a start.
    std::set<ReplicaId> votes; // Of this probe or election, own one included.
    std::optional<Snapshot> incoming; // Parts of a snapshot that is being received.

    // Meaningful while the role is Leader.
    std::map<ReplicaId, FollowerProgress> followers; // All other voters, and learners that asked to join.
    LogIndex termStart = 0; // The first entry of this leader's term; no read or membership change before it.
    std::uint64_t round = 0;
    Timestamp nextHeartbeat;
    std::set<LogIndex> proposals; // Accepted and not resolved.
    std::vector<PendingRead> reads; // In ascending order of their rounds.
    ReadToken lastReadToken = 0;

    Timestamp nextJoin;
    std::uint64_t bootstrapAttempt = 0;
    std::map<std::string, Replica> emptyInstances; // Those that answered this attempt.
    std::string reportedObstacle; // Why the bootstrap waits, so that it is reported once.
    std::map<std::string, Timestamp> replacedDisks; // Instances of voters that were heard with another id.
    MajorityDisks majorityDisks = MajorityDisks::Present;
    std::set<ReplicaId> reportedReplicas; // Foreign or conflicting replicas, so that each is reported once.
};

} // namespace almondwing
