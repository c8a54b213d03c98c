// Pure functions that decide when to fetch all records of a peer, because the digest of its member and target
// records (see MemberRecords.h) differs from the digest of the records of this instance.
//
// Digests differ for a moment after every change. A fetch transfers hundreds of kilobytes in a cluster of
// full size, so the difference must persist and the peer must confirm it with a later message.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr Duration minDifferenceDuration = 2s;
constexpr Duration confirmationPingInterval = 1s;
constexpr Duration unconfirmedDifferenceTimeout = 10s;
// While updates arrive continuously, the digest of this instance never settles. The records are then fetched
// when the difference has lasted this long.
constexpr Duration maxDifferenceDuration = 30s;
// The backoff between two fetches doubles while fetches bring no new records, because the peer itself may be
// behind.
constexpr Duration minFetchBackoff = 1s;
constexpr Duration maxFetchBackoff = 5min;

struct DigestDifference
{
    InstanceId peer;
    std::uint64_t peerDigest = 0;
    std::uint64_t ownDigest = 0; // At the last update of this difference.
    Timestamp firstSeen;
    Timestamp unchangedSince; // When one of the two digests last changed.
    Timestamp lastReport;
    Timestamp lastPing;

    friend bool operator==(DigestDifference const &, DigestDifference const &) = default;
};

struct AntiEntropyState
{
    std::optional<DigestDifference> difference;
    Timestamp nextFetch;
    Duration fetchBackoff = minFetchBackoff;

    friend bool operator==(AntiEntropyState const &, AntiEntropyState const &) = default;
};

// Updates the state after a peer reported its digest. Only one peer's difference is tracked at a time.
AntiEntropyState updatePeerDigest(AntiEntropyState state, InstanceId peer, std::uint64_t peerDigest,
                                  std::uint64_t ownDigest, Timestamp now);

// Updates the state with the present digest of this instance. Drops a difference that the peer has not
// confirmed within unconfirmedDifferenceTimeout.
AntiEntropyState updateOwnDigest(AntiEntropyState state, std::uint64_t ownDigest, Timestamp now);

// Returns the peer to ping so that it confirms the difference, if a ping is due.
std::optional<InstanceId> peerToPing(AntiEntropyState const &state, Timestamp now);
AntiEntropyState stateAfterPing(AntiEntropyState state, Timestamp now);

enum class FetchUrgency { Normal, Immediate };

// Returns the peer to fetch from, if a fetch is due. Immediate skips the wait for a confirmed difference.
std::optional<InstanceId> peerToFetch(AntiEntropyState const &state, FetchUrgency urgency, Timestamp now);

enum class FetchResult { NothingNew, NewRecords };

AntiEntropyState stateAfterFetch(AntiEntropyState state, Timestamp now);
AntiEntropyState stateAfterFetchResult(AntiEntropyState state, FetchResult result);

} // namespace almondwing
