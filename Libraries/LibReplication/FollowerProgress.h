// What a leader knows of one other replica, and how fast it may send to it.

#pragma once

#include <LibCore/Time.h>
#include <LibReplication/ReplicationTypes.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace almondwing {

enum class ProgressMode : std::uint8_t {
    Probe, // The match is unknown; heartbeats without entries look for it.
    Stream, // Batches follow each other without waiting, up to a bound.
    Snapshot, // The log no longer has the entries; parts of the snapshot go out one at a time.
};

struct FollowerProgress
{
    Replica replica;
    ProgressMode mode = ProgressMode::Probe;
    LogIndex matchIndex = 0; // Durable at the follower and equal to this leader's log; never falls.
    LogIndex nextIndex = 1; // Above matchIndex.
    std::size_t inFlight = 0; // Batches without a reply; counts only in mode Stream.
    LogIndex snapshotIndex = 0; // The snapshot that is being sent.
    std::uint64_t snapshotOffset = 0;
    Timestamp lastPart{};
    Timestamp lastReply;
    std::uint64_t echoedRound = 0;
    double credit = 0; // Bytes that may be sent now; below 0 after a batch that was larger.
    Timestamp creditTime;

    void refillCredit(Timestamp now, std::size_t bytesPerSecond, std::size_t burst)
    {
        double const seconds = std::chrono::duration<double>(now - this->creditTime).count();
        this->credit = std::min(static_cast<double>(burst),
                                this->credit + seconds * static_cast<double>(bytesPerSecond));
        this->creditTime = now;
    }

    void spendCredit(std::size_t bytes) { this->credit -= static_cast<double>(bytes); }

    void probeFrom(LogIndex index)
    {
        this->mode = ProgressMode::Probe;
        this->nextIndex = std::max(index, this->matchIndex + 1);
        this->inFlight = 0;
    }

    friend bool operator==(FollowerProgress const &, FollowerProgress const &) = default;
};

} // namespace almondwing
