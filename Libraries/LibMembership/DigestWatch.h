// Decides when the records of a peer have to be fetched because its digest stays different from the own one.
//
// Digests differ for a moment after every change. A fetch costs hundreds of kilobytes at full size, so the
// difference must last and the peer must confirm it with a later message.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr Duration digestDifferenceLimit = 2s;
constexpr Duration digestQuestionInterval = 1s;
constexpr Duration unconfirmedDifferenceKept = 10s;
// While updates arrive all the time the own digest never rests; then the records are fetched after this time.
constexpr Duration digestUnrestLimit = 30s;
// Pause between two fetches. It doubles while fetches bring nothing new, because the peer may lag itself.
constexpr Duration shortestFetchPause = 1s;
constexpr Duration longestFetchPause = 5min;

struct DigestDifference
{
    InstanceId peer;
    std::uint64_t peerDigest = 0;
    std::uint64_t ownDigest = 0; // When the difference was last looked at.
    Timestamp firstSeen;
    Timestamp unchangedSince; // When one of the two digests last changed.
    Timestamp lastReport;
    Timestamp lastQuestion;

    friend bool operator==(DigestDifference const &, DigestDifference const &) = default;
};

struct DigestWatch
{
    std::optional<DigestDifference> difference;
    Timestamp nextFetch;
    Duration fetchPause = shortestFetchPause;

    friend bool operator==(DigestWatch const &, DigestWatch const &) = default;
};

// A peer reported its digest.
DigestWatch notePeerDigest(DigestWatch watch, InstanceId peer, std::uint64_t peerDigest,
                           std::uint64_t ownDigest, Timestamp now);

// Time has passed; `ownDigest` may have changed. A difference that the peer does not confirm is dropped.
DigestWatch noteOwnDigest(DigestWatch watch, std::uint64_t ownDigest, Timestamp now);

// The peer that has to be pinged, so that it confirms the difference.
std::optional<InstanceId> peerToAsk(DigestWatch const &watch, Timestamp now);
DigestWatch noteQuestion(DigestWatch watch, Timestamp now);

enum class FetchUrgency { Normal, AtOnce };

// The peer to fetch from, if it is time to. An instance that has just started does not wait.
std::optional<InstanceId> peerToFetch(DigestWatch const &watch, FetchUrgency urgency, Timestamp now);

enum class FetchResult { NothingNew, NewRecords };

DigestWatch noteFetch(DigestWatch watch, Timestamp now);
DigestWatch noteFetchResult(DigestWatch watch, FetchResult result);

} // namespace almondwing
