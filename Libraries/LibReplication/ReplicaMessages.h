// The messages that the replicas of the log exchange.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

enum class VoteKind : std::uint8_t {
    PreVote = 0, // Asks whether an election could be won, without raising the term.
    Vote = 1,
};

struct VoteRequest
{
    VoteKind kind = VoteKind::PreVote;
    Term term = 0; // The term of the election.
    LogIndex lastIndex = 0;
    Term lastTerm = 0;

    friend bool operator==(VoteRequest const &, VoteRequest const &) = default;
};

enum class VoteVerdict : std::uint8_t { Granted = 0, Refused = 1 };

struct VoteReply
{
    VoteKind kind = VoteKind::PreVote;
    Term term = 0; // The term of the request if a pre-vote is granted, otherwise the term of the sender.
    VoteVerdict verdict = VoteVerdict::Refused;

    friend bool operator==(VoteReply const &, VoteReply const &) = default;
};

// A request without entries is a heartbeat.
struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    LogIndex commitIndex = 0;
    std::uint64_t round = 0; // Echoed in the reply; echoes from a majority confirm the leader for a read.

    friend bool operator==(AppendRequest const &, AppendRequest const &) = default;
};

enum class AppendVerdict : std::uint8_t { Accepted = 0, Refused = 1 };

struct AppendReply
{
    Term term = 0;
    AppendVerdict verdict = AppendVerdict::Refused;
    // If accepted: the log is durable and equals the leader's up to this index.
    LogIndex matchIndex = 0;
    // If refused: the first index of the conflicting term, or the index after the last entry.
    LogIndex conflictIndex = 0;
    // If refused: the term of the entry at previousIndex, or 0 if the log ends before it.
    Term conflictTerm = 0;
    std::uint64_t round = 0;

    friend bool operator==(AppendReply const &, AppendReply const &) = default;
};

struct SnapshotPart
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    Term snapshotTerm = 0;
    std::vector<Replica> voters;
    std::uint64_t totalSize = 0;
    std::uint64_t stateHash = 0; // Hash of the complete state.
    std::uint64_t offset = 0;
    std::string data;
    std::uint64_t round = 0;

    friend bool operator==(SnapshotPart const &, SnapshotPart const &) = default;
};

struct SnapshotReply
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    std::uint64_t nextOffset = 0; // The offset of the part to send next.
    LogIndex matchIndex = 0; // Nonzero once the log is durable up to the snapshot's index or further.
    std::uint64_t round = 0;

    friend bool operator==(SnapshotReply const &, SnapshotReply const &) = default;
};

// Sent by a replica that receives no messages from a leader, to every instance that may be the leader. A
// leader adds a sender that is no voter as a learner. A voter without a history gets a BootstrapCommand.
struct JoinRequest
{
    LogIndex lastIndex = 0;

    friend bool operator==(JoinRequest const &, JoinRequest const &) = default;
};

// Sent by the coordinator, the control instance whose name sorts first in the settings. Asks whether a
// control instance is empty. If it is, it promises to accept only this coordinator's bootstrap.
struct BootstrapQuery
{
    std::uint64_t attempt = 0;
    std::vector<std::string> instances; // All control instances in the settings of the sender.

    friend bool operator==(BootstrapQuery const &, BootstrapQuery const &) = default;
};

enum class BootstrapVerdict : std::uint8_t { Empty = 0, HasHistory = 1, OtherSettings = 2 };

struct BootstrapReply
{
    std::uint64_t attempt = 0;
    BootstrapVerdict verdict = BootstrapVerdict::HasHistory;

    friend bool operator==(BootstrapReply const &, BootstrapReply const &) = default;
};

enum class BootstrapOrigin : std::uint8_t {
    Coordinator = 0,
    Member = 1, // A replica of the history forwards the bootstrap to a voter that missed it.
};

// Makes an empty replica adopt the history of the envelope.
struct BootstrapCommand
{
    BootstrapOrigin origin = BootstrapOrigin::Coordinator;
    std::vector<Replica> voters; // Of entry 1; empty if the sender no longer has that entry.

    friend bool operator==(BootstrapCommand const &, BootstrapCommand const &) = default;
};

using ReplicaMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply, JoinRequest,
                 BootstrapQuery, BootstrapReply, BootstrapCommand>;

struct ReplicaEnvelope
{
    Replica from;
    Replica to; // The id is none if the sender knows only the name of the instance.
    HistoryId history; // Of the sender.
    ReplicaMessage message;

    friend bool operator==(ReplicaEnvelope const &, ReplicaEnvelope const &) = default;
};

} // namespace almondwing
