// Remembers when request records and replica records may be dropped, without looking at all of them.
//
// Keys are filed under the second in which they expire. Each second is split into parts by the hash of the
// key, so that filing one key copies a short list.

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

    void fileRequest(RequestKey key, Timestamp expiry);
    void fileReplicaRecord(RequestKey key, Timestamp expiry);

    // Takes out everything that was filed for the seconds before `now`.
    ExpiringRequests takeExpired(Timestamp now);

    // The requests filed for one second, for evicting the oldest answers first.
    std::vector<RequestKey> requestsExpiringIn(std::int64_t second) const;

private:
    Blackboard &blackboard;
    // The first second not swept yet, or -1. Only a position in the schedule on the blackboard; a thread
    // that loses the race for a second leaves it to the winner.
    std::atomic<std::int64_t> nextSecond = -1;
};

std::int64_t secondOf(Timestamp time);

} // namespace almondwing
