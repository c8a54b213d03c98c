// The replication progress of one other replica, as the leader tracks it, and the rate limit for sending to
// that replica.

#pragma once

#include <LibCore/Time.h>
#include <LibReplication/ReplicationTypes.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace almondwing {

enum class ProgressMode : std::uint8_t {
    Probe, // matchIndex is not known; heartbeats search for it.
    Stream, // Batches are pipelined, up to the maximum in flight.
    Snapshot, // The log no longer has the needed entries; snapshot parts are sent one at a time.
};

struct FollowerProgress
{
    Replica replica;
    ProgressMode mode = ProgressMode::Probe;
    LogIndex matchIndex = 0; // The follower's durable log equals the leader's up to here; never decreases.
    LogIndex nextIndex = 1; // The next entry to send; always greater than matchIndex.
    // Batches sent minus replies received, at least 0. An estimate, because replies to heartbeats count too.
    // Maintained only in mode Stream.
    std::size_t inFlightBatches = 0;
    LogIndex snapshotIndex = 0; // Of the snapshot that is being sent.
    std::uint64_t snapshotOffset = 0;
    Timestamp lastPartSentAt{};
    Timestamp lastReplyAt;
    std::uint64_t echoedRound = 0;
    double sendCreditBytes = 0; // Token bucket; negative after a batch larger than the credit.
    Timestamp creditRefilledAt;

    void refillCredit(Timestamp now, std::size_t bytesPerSecond, std::size_t burst)
    {
        double const seconds = std::chrono::duration<double>(now - this->creditRefilledAt).count();
        this->sendCreditBytes =
            std::min(static_cast<double>(burst),
                     this->sendCreditBytes + seconds * static_cast<double>(bytesPerSecond));
        this->creditRefilledAt = now;
    }

    void spendCredit(std::size_t bytes) { this->sendCreditBytes -= static_cast<double>(bytes); }

    void probeFrom(LogIndex index)
    {
        this->mode = ProgressMode::Probe;
        this->nextIndex = std::max(index, this->matchIndex + 1);
        this->inFlightBatches = 0;
    }

    friend bool operator==(FollowerProgress const &, FollowerProgress const &) = default;
};

} // namespace almondwing
