// Implements the comparison of digests.

#include <LibMembership/DigestWatch.h>

#include <algorithm>

namespace almondwing {

DigestWatch noteOwnDigest(DigestWatch watch, std::uint64_t ownDigest, Timestamp now)
{
    if (!watch.difference)
        return watch;
    if (watch.difference->peerDigest == ownDigest
        || now - watch.difference->lastReport > unconfirmedDifferenceKept) {
        watch.difference = std::nullopt;
        return watch;
    }
    if (watch.difference->ownDigest == ownDigest)
        return watch;
    watch.difference->ownDigest = ownDigest;
    watch.difference->unchangedSince = now;
    return watch;
}

DigestWatch notePeerDigest(DigestWatch watch, InstanceId peer, std::uint64_t peerDigest,
                           std::uint64_t ownDigest, Timestamp now)
{
    watch = noteOwnDigest(watch, ownDigest, now);
    if (watch.difference && watch.difference->peer == peer) {
        auto &difference = *watch.difference;
        if (difference.peerDigest != peerDigest)
            difference.unchangedSince = now;
        difference.peerDigest = peerDigest;
        difference.lastReport = now;
        if (peerDigest == ownDigest)
            watch.difference = std::nullopt;
        return watch;
    }
    if (!watch.difference && peerDigest != ownDigest)
        watch.difference = DigestDifference{.peer = peer,
                                            .peerDigest = peerDigest,
                                            .ownDigest = ownDigest,
                                            .firstSeen = now,
                                            .unchangedSince = now,
                                            .lastReport = now,
                                            .lastQuestion = now};
    return watch;
}

std::optional<InstanceId> peerToAsk(DigestWatch const &watch, Timestamp now)
{
    if (!watch.difference || now < watch.nextFetch)
        return std::nullopt;
    auto const &difference = *watch.difference;
    bool const isLasting = now - difference.unchangedSince > digestDifferenceLimit;
    bool const isConfirmed = difference.lastReport - difference.unchangedSince > digestDifferenceLimit;
    if (!isLasting || isConfirmed || now - difference.lastQuestion < digestQuestionInterval)
        return std::nullopt;
    return difference.peer;
}

DigestWatch noteQuestion(DigestWatch watch, Timestamp now)
{
    if (watch.difference)
        watch.difference->lastQuestion = now;
    return watch;
}

std::optional<InstanceId> peerToFetch(DigestWatch const &watch, FetchUrgency urgency, Timestamp now)
{
    if (!watch.difference || now < watch.nextFetch)
        return std::nullopt;
    auto const &difference = *watch.difference;
    if (urgency == FetchUrgency::AtOnce
        || difference.lastReport - difference.unchangedSince > digestDifferenceLimit
        || now - difference.firstSeen > digestUnrestLimit)
        return difference.peer;
    return std::nullopt;
}

DigestWatch noteFetch(DigestWatch watch, Timestamp now)
{
    watch.difference = std::nullopt;
    watch.nextFetch = now + watch.fetchPause;
    watch.fetchPause = std::min(2 * watch.fetchPause, longestFetchPause);
    return watch;
}

DigestWatch noteFetchResult(DigestWatch watch, FetchResult result)
{
    if (result == FetchResult::NewRecords)
        watch.fetchPause = shortestFetchPause;
    return watch;
}

} // namespace almondwing
