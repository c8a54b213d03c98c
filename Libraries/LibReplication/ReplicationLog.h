// The log in memory: a snapshot and the entries after it.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace almondwing {

struct BatchLimit
{
    std::size_t entries = 0;
    std::size_t bytes = 0;
};

// Where a log differs from that of a leader; see AppendReply.
struct LogConflict
{
    LogIndex index = 0;
    Term term = 0;

    friend bool operator==(LogConflict const &, LogConflict const &) = default;
};

class ReplicationLog
{
public:
    ReplicationLog(Snapshot snapshot, std::vector<LogEntry> newEntries);

    Snapshot const &snapshot() const { return this->base; }
    LogIndex lastIndex() const { return this->base.index + this->entries.size(); }
    Term lastTerm() const;
    std::size_t entryCount() const { return this->entries.size(); }
    std::size_t entryBytes() const { return this->bytes; }

    // Nothing for an index before the snapshot or after the last entry.
    std::optional<Term> termAt(LogIndex index) const;
    LogEntry const &at(LogIndex index) const;
    bool contains(LogIndex index) const { return index > this->base.index && index <= this->lastIndex(); }

    // Entries from an index on, at least one if there is one, else as many as the limit allows.
    std::vector<LogEntry> batchFrom(LogIndex index, BatchLimit limit) const;
    std::span<LogEntry const> entriesAfter(LogIndex index) const;

    // The voters that are in force when the log ends at the index.
    std::vector<Replica> const &votersAt(LogIndex index) const;
    std::vector<Replica> const &voters() const { return this->votersAt(this->lastIndex()); }
    LogIndex lastMembershipIndex() const;

    // Why a leader's previous entry does not fit. Call only if it doesn't.
    LogConflict conflictAt(LogIndex previousIndex) const;
    // Where a leader goes on after a conflict that a follower reported.
    LogIndex resumeAfter(LogConflict conflict) const;

    // Removes all entries from the index of the first given one on, then appends.
    void replaceFrom(std::span<LogEntry const> newEntries);
    // Keeps the entries after the snapshot if they continue it, else drops them all.
    void rebase(Snapshot snapshot);

private:
    void truncateFrom(LogIndex index);

    Snapshot base;
    std::vector<LogEntry> entries; // Consecutive from base.index + 1, with terms that never fall.
    std::size_t bytes = 0; // Sum of sizeOfEntry over the entries.
    std::vector<LogIndex> membershipIndexes; // Of all membership entries, ascending.
};

} // namespace almondwing
