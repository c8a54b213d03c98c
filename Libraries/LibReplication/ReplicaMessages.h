// Messages between replicas of the log.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

enum class VoteKind : std::uint8_t {
    PreVote = 0, // Pre-vote: asks whether a vote could be won, without raising the term.
    Vote = 1,
};

struct VoteRequest
{
    VoteKind kind = VoteKind::PreVote;
    Term term = 0; // The term that the candidate wants to lead.
    LogIndex lastIndex = 0;
    Term lastTerm = 0;

    friend bool operator==(VoteRequest const &, VoteRequest const &) = default;
};

enum class VoteVerdict : std::uint8_t { Granted = 0, Refused = 1 };

struct VoteReply
{
    VoteKind kind = VoteKind::PreVote;
    Term term = 0; // For a granted probe the term asked for, else the term of the sender.
    VoteVerdict verdict = VoteVerdict::Refused;

    friend bool operator==(VoteReply const &, VoteReply const &) = default;
};

// Also the heartbeat, with no entries.
struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    LogIndex commitIndex = 0;
    std::uint64_t round = 0; // Echoed by the reply; a majority of echoes confirms the leader for a read.

    friend bool operator==(AppendRequest const &, AppendRequest const &) = default;
};

enum class AppendVerdict : std::uint8_t { Accepted = 0, Refused = 1 };

struct AppendReply
{
    Term term = 0;
    AppendVerdict verdict = AppendVerdict::Refused;
    LogIndex matchIndex = 0; // Accepted: the log equals the leader's up to here and is durable.
    LogIndex conflictIndex =
        0; // Refused: the first index of the conflicting term, or one after the last entry.
    Term conflictTerm = 0; // Refused: the term found at the previous index; 0 if the log is too short.
    std::uint64_t round = 0;

    friend bool operator==(AppendReply const &, AppendReply const &) = default;
};

// One part of a snapshot.
struct SnapshotPart
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    Term snapshotTerm = 0;
    std::vector<Replica> voters;
    std::uint64_t totalSize = 0;
    std::uint64_t stateHash = 0; // Over the whole state.
    std::uint64_t offset = 0;
    std::string data;
    std::uint64_t round = 0;

    friend bool operator==(SnapshotPart const &, SnapshotPart const &) = default;
};

struct SnapshotReply
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    std::uint64_t nextOffset = 0; // The part wanted next.
    LogIndex matchIndex = 0; // Not 0 once the snapshot, or more, is durable.
    std::uint64_t round = 0;

    friend bool operator==(SnapshotReply const &, SnapshotReply const &) = default;
};

// Sent to all control instances by a replica that hears from no leader.
struct JoinRequest
{
    LogIndex lastIndex = 0;

    friend bool operator==(JoinRequest const &, JoinRequest const &) = default;
};

// Asks whether a control instance is empty, and to accept no other coordinator's bootstrap from now on.
struct BootstrapQuery
{
    std::uint64_t attempt = 0;
    std::vector<std::string> instances; // All control instances, as the settings of the sender name them.

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
    Member = 1, // A replica of the history passes the bootstrap on to a voter that has missed it.
};

// Makes an empty replica part of the history that the envelope names.
struct BootstrapCommand
{
    BootstrapOrigin origin = BootstrapOrigin::Coordinator;
    std::vector<Replica> voters; // Of entry 1; empty when the sender no longer has that entry.

    friend bool operator==(BootstrapCommand const &, BootstrapCommand const &) = default;
};

using ReplicaMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply, JoinRequest,
                 BootstrapQuery, BootstrapReply, BootstrapCommand>;

struct ReplicaEnvelope
{
    Replica from;
    Replica to; // The id is none when the sender knows only the name of the instance.
    HistoryId history; // Of the sender.
    ReplicaMessage message;

    friend bool operator==(ReplicaEnvelope const &, ReplicaEnvelope const &) = default;
};

} // namespace almondwing
