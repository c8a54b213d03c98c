// The in-memory log of a replica: a snapshot and the entries after it.

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

// Where the leader should continue its search for the last matching entry after a refused AppendRequest; see
// AppendReply.
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

    // Returns no value for an index before the snapshot or after the last entry.
    std::optional<Term> termAt(LogIndex index) const;
    LogEntry const &at(LogIndex index) const;
    bool contains(LogIndex index) const { return index > this->base.index && index <= this->lastIndex(); }

    // The entries from an index on, up to the limit. Always includes the first entry, if there is one, even
    // if it exceeds the byte limit.
    std::vector<LogEntry> batchFrom(LogIndex index, BatchLimit limit) const;
    std::span<LogEntry const> entriesAfter(LogIndex index) const;

    // The voters that are in effect if the log ends at the index.
    std::vector<Replica> const &votersAt(LogIndex index) const;
    std::vector<Replica> const &voters() const { return this->votersAt(this->lastIndex()); }
    LogIndex lastMembershipIndex() const;

    // The conflict to report if the leader's previous entry does not match this log. Must be called only in
    // that case.
    LogConflict conflictAt(LogIndex previousIndex) const;
    // The index of the next entry that a leader sends after a follower reported a conflict.
    LogIndex resumeAfter(LogConflict conflict) const;

    // Removes all entries from the index of the first given entry on, then appends the given ones.
    void replaceFrom(std::span<LogEntry const> newEntries);
    // Replaces the snapshot. Keeps the entries after it if the log has its last entry, otherwise drops all
    // entries.
    void resetToSnapshot(Snapshot snapshot);

private:
    void truncateFrom(LogIndex index);

    Snapshot base;
    std::vector<LogEntry> entries; // Consecutive indexes from base.index + 1; terms never decrease.
    std::size_t bytes = 0; // The sum of sizeOfEntry() over the entries.
    std::vector<LogIndex> membershipIndexes; // The indexes of all membership entries, ascending.
};

} // namespace almondwing
