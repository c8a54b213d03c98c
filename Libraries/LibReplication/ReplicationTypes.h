// Value types of the replicated log: replicas, entries, snapshots, and the durable state of a replica.

#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// Generated at random when a data folder is created, so that an instance whose disk was wiped returns as a
// different replica: its earlier votes and acknowledgements are lost and must not be counted.
using ReplicaId = Identifier<struct ReplicaTag>;

// Generated at random by a bootstrap (see ReplicationCore.h). Replicas of different histories never exchange
// log entries or votes.
using HistoryId = Identifier<struct HistoryTag>;

using Term = std::uint64_t;
using LogIndex = std::uint64_t; // The first entry has index 1.

struct Replica
{
    ReplicaId id;
    std::string instance; // The instance's name in the settings; for a ControlServer, its endpoint as text.

    friend auto operator<=>(Replica const &, Replica const &) = default;
};

enum class EntryKind : std::uint8_t {
    NoOperation = 0, // Appended by a new leader, so that entries of earlier terms can be committed.
    Command = 1, // The payload is a command of the state machine.
    Membership = 2, // The list of voters, in effect as soon as the entry is appended to the log.
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::NoOperation;
    std::string payload{}; // Empty unless the kind is Command.
    std::vector<Replica> voters{}; // Empty unless the kind is Membership.

    friend bool operator==(LogEntry const &, LogEntry const &) = default;
};

// The approximate size of an entry, by which batches and limits count it.
constexpr std::size_t sizeOfEntry(LogEntry const &entry)
{
    constexpr std::size_t fixedBytes = 32; // The index, the term, the kind and the lengths.
    constexpr std::size_t bytesPerVoter = 32;
    return fixedBytes + entry.payload.size() + entry.voters.size() * bytesPerVoter;
}

// The state of the state machine after the entry at `index`. It replaces the log up to that entry.
struct Snapshot
{
    LogIndex index = 0; // 0 if there is no snapshot and the log has all entries from the first one on.
    Term term = 0;
    std::vector<Replica> voters;
    std::string state;

    friend bool operator==(Snapshot const &, Snapshot const &) = default;
};

// The state that must be durable before the replica sends a vote or an acknowledgement.
struct HardState
{
    HistoryId history; // None if the replica is empty; it then grants no votes.
    Term term = 0;
    ReplicaId vote;
    // The only coordinator (see BootstrapQuery) whose bootstrap this replica accepts while it is empty.
    ReplicaId promisedCoordinator;

    friend bool operator==(HardState const &, HardState const &) = default;
};

struct StoredState
{
    Replica self;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries; // Consecutive indexes, beginning after the snapshot.
    LogIndex knownCommitIndex = 0; // A lower bound of the commit index.

    friend bool operator==(StoredState const &, StoredState const &) = default;
};

} // namespace almondwing
