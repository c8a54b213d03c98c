// Values of the replicated log: replicas, entries, snapshots, and what a replica keeps on its disk.

#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// Drawn at random when a data folder is created, so that an instance whose disk was wiped comes back as
// another replica: the promises of the old one are lost and must not be counted on.
using ReplicaId = Identifier<struct ReplicaTag>;

// Drawn at random by a bootstrap. Replicas of different histories never exchange log entries or votes.
using HistoryId = Identifier<struct HistoryTag>;

using Term = std::uint64_t;
using LogIndex = std::uint64_t; // The first entry has index 1.

struct Replica
{
    ReplicaId id;
    std::string instance; // Name of the instance in the settings.

    friend auto operator<=>(Replica const &, Replica const &) = default;
};

enum class EntryKind : std::uint8_t {
    NoOperation = 0, // Appended by a new leader, so that entries of earlier terms can be committed.
    Command = 1, // The payload belongs to the state machine.
    Membership = 2, // The list of voters, in force from the moment the entry is in the log.
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

// The size that an entry counts in batches and limits.
constexpr std::size_t sizeOfEntry(LogEntry const &entry)
{
    constexpr std::size_t fixedBytes = 32; // Index, term, kind and lengths.
    constexpr std::size_t bytesPerVoter = 32;
    return fixedBytes + entry.payload.size() + entry.voters.size() * bytesPerVoter;
}

// The state of the state machine after the entry at `index`, which replaces the log up to there.
struct Snapshot
{
    LogIndex index = 0; // 0: no snapshot; the log starts at its beginning.
    Term term = 0;
    std::vector<Replica> voters;
    std::string state;

    friend bool operator==(Snapshot const &, Snapshot const &) = default;
};

// What must be durable before a vote or an acknowledgement leaves the replica.
struct HardState
{
    HistoryId history; // None: the replica is empty, it votes for nobody.
    Term term = 0;
    ReplicaId vote;
    ReplicaId promisedCoordinator; // The only replica whose bootstrap an empty replica accepts.

    friend bool operator==(HardState const &, HardState const &) = default;
};

struct StoredState
{
    Replica self;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries; // Consecutive, from the index after the snapshot.
    LogIndex knownCommitIndex = 0; // Lower bound; entries up to here are committed.

    friend bool operator==(StoredState const &, StoredState const &) = default;
};

} // namespace almondwing
