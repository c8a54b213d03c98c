// Implements the log in memory.

#include <LibReplication/ReplicationLog.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondwing {

ReplicationLog::ReplicationLog(Snapshot snapshot, std::vector<LogEntry> newEntries)
    : base(std::move(snapshot))
{
    this->replaceFrom(newEntries);
}

Term ReplicationLog::lastTerm() const
{
    return this->entries.empty() ? this->base.term : this->entries.back().term;
}

std::optional<Term> ReplicationLog::termAt(LogIndex index) const
{
    if (index == this->base.index)
        return this->base.term;
    if (!this->contains(index))
        return std::nullopt;
    return this->at(index).term;
}

LogEntry const &ReplicationLog::at(LogIndex index) const
{
    VERIFY(this->contains(index));
    return this->entries[index - this->base.index - 1];
}

std::vector<LogEntry> ReplicationLog::batchFrom(LogIndex index, BatchLimit limit) const
{
    std::vector<LogEntry> batch;
    std::size_t batchBytes = 0;
    for (LogIndex next = index; this->contains(next) && batch.size() < limit.entries; ++next) {
        LogEntry const &entry = this->at(next);
        batchBytes += sizeOfEntry(entry);
        if (!batch.empty() && batchBytes > limit.bytes)
            break;
        batch.push_back(entry);
    }
    return batch;
}

std::span<LogEntry const> ReplicationLog::entriesAfter(LogIndex index) const
{
    VERIFY(index >= this->base.index);
    std::size_t const skipped = std::min<std::size_t>(index - this->base.index, this->entries.size());
    return std::span(this->entries).subspan(skipped);
}

std::vector<Replica> const &ReplicationLog::votersAt(LogIndex index) const
{
    auto const next = std::ranges::upper_bound(this->membershipIndexes, index);
    if (next == this->membershipIndexes.begin())
        return this->base.voters;
    return this->at(*std::prev(next)).voters;
}

LogIndex ReplicationLog::lastMembershipIndex() const
{
    return this->membershipIndexes.empty() ? this->base.index : this->membershipIndexes.back();
}

LogConflict ReplicationLog::conflictAt(LogIndex previousIndex) const
{
    if (previousIndex > this->lastIndex())
        return LogConflict{.index = this->lastIndex() + 1, .term = 0};
    Term const term = this->termAt(previousIndex).value_or(0);
    LogIndex first = previousIndex;
    while (first > this->base.index + 1 && this->termAt(first - 1) == term)
        --first;
    return LogConflict{.index = first, .term = term};
}

LogIndex ReplicationLog::resumeAfter(LogConflict conflict) const
{
    if (conflict.term == 0)
        return std::max<LogIndex>(conflict.index, 1);
    for (LogIndex next = this->lastIndex(); next > this->base.index && next >= conflict.index; --next) {
        if (this->at(next).term == conflict.term)
            return next + 1;
    }
    return std::max<LogIndex>(conflict.index, 1);
}

void ReplicationLog::truncateFrom(LogIndex index)
{
    VERIFY(index > this->base.index);
    while (this->lastIndex() >= index) {
        this->bytes -= sizeOfEntry(this->entries.back());
        this->entries.pop_back();
    }
    while (!this->membershipIndexes.empty() && this->membershipIndexes.back() >= index)
        this->membershipIndexes.pop_back();
}

void ReplicationLog::replaceFrom(std::span<LogEntry const> newEntries)
{
    if (newEntries.empty())
        return;
    this->truncateFrom(newEntries.front().index);
    for (LogEntry const &entry : newEntries) {
        VERIFY(entry.index == this->lastIndex() + 1 && entry.term >= this->lastTerm());
        this->bytes += sizeOfEntry(entry);
        if (entry.kind == EntryKind::Membership)
            this->membershipIndexes.push_back(entry.index);
        this->entries.push_back(entry);
    }
}

void ReplicationLog::resetToSnapshot(Snapshot snapshot)
{
    std::vector<LogEntry> kept;
    if (this->termAt(snapshot.index) == snapshot.term) {
        auto const rest = this->entriesAfter(snapshot.index);
        kept.assign(rest.begin(), rest.end());
    }
    *this = ReplicationLog(std::move(snapshot), std::move(kept));
}

} // namespace almondwing
