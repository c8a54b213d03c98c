// Schedules the expiry of request records and replica records, so that a sweep need not scan all of them.
//
// Keys are grouped by the second in which they expire. Each second is split into shards by the hash of the
// key, so that adding a key copies only a short list.

#pragma once

#include <LibCore/Time.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <vector>

namespace almondwing {

class ExpirySchedule
{
public:
    explicit ExpirySchedule(Blackboard &board) : blackboard(board) { }

    void addRequest(RequestKey key, Timestamp expiry);
    void addReplicaRecord(RequestKey key, Timestamp expiry);

    // Removes and returns all keys that expire in the seconds before `now`.
    ExpiringRequests takeExpired(Timestamp now);

    // Returns the requests that expire in the given second. Eviction uses it to drop the answers that expire
    // first.
    std::vector<RequestKey> requestsExpiringIn(std::int64_t second) const;

private:
    Blackboard &blackboard;
    // The first second that has not been swept, or -1 before the first sweep. The schedule itself is on the
    // blackboard. Of several threads that sweep, one claims each second.
    std::atomic<std::int64_t> nextSecond = -1;
};

std::int64_t secondOf(Timestamp time);

} // namespace almondwing
