// Implements the comparison of digests and the schedule of fetches.

#include <LibMembership/AntiEntropy.h>

#include <algorithm>

namespace almondwing {

AntiEntropyState updateOwnDigest(AntiEntropyState state, std::uint64_t ownDigest, Timestamp now)
{
    if (!state.difference)
        return state;
    if (state.difference->peerDigest == ownDigest
        || now - state.difference->lastReport > unconfirmedDifferenceTimeout) {
        state.difference = std::nullopt;
        return state;
    }
    if (state.difference->ownDigest == ownDigest)
        return state;
    state.difference->ownDigest = ownDigest;
    state.difference->unchangedSince = now;
    return state;
}

AntiEntropyState updatePeerDigest(AntiEntropyState state, InstanceId peer, std::uint64_t peerDigest,
                                  std::uint64_t ownDigest, Timestamp now)
{
    state = updateOwnDigest(state, ownDigest, now);
    if (state.difference && state.difference->peer == peer) {
        auto &difference = *state.difference;
        if (difference.peerDigest != peerDigest)
            difference.unchangedSince = now;
        difference.peerDigest = peerDigest;
        difference.lastReport = now;
        if (peerDigest == ownDigest)
            state.difference = std::nullopt;
        return state;
    }
    if (!state.difference && peerDigest != ownDigest)
        state.difference = DigestDifference{.peer = peer,
                                            .peerDigest = peerDigest,
                                            .ownDigest = ownDigest,
                                            .firstSeen = now,
                                            .unchangedSince = now,
                                            .lastReport = now,
                                            .lastPing = now};
    return state;
}

std::optional<InstanceId> peerToPing(AntiEntropyState const &state, Timestamp now)
{
    if (!state.difference || now < state.nextFetch)
        return std::nullopt;
    auto const &difference = *state.difference;
    bool const isPersistent = now - difference.unchangedSince > minDifferenceDuration;
    bool const isConfirmed = difference.lastReport - difference.unchangedSince > minDifferenceDuration;
    if (!isPersistent || isConfirmed || now - difference.lastPing < confirmationPingInterval)
        return std::nullopt;
    return difference.peer;
}

AntiEntropyState stateAfterPing(AntiEntropyState state, Timestamp now)
{
    if (state.difference)
        state.difference->lastPing = now;
    return state;
}

std::optional<InstanceId> peerToFetch(AntiEntropyState const &state, FetchUrgency urgency, Timestamp now)
{
    if (!state.difference || now < state.nextFetch)
        return std::nullopt;
    auto const &difference = *state.difference;
    if (urgency == FetchUrgency::Immediate
        || difference.lastReport - difference.unchangedSince > minDifferenceDuration
        || now - difference.firstSeen > maxDifferenceDuration)
        return difference.peer;
    return std::nullopt;
}

AntiEntropyState stateAfterFetch(AntiEntropyState state, Timestamp now)
{
    state.difference = std::nullopt;
    state.nextFetch = now + state.fetchBackoff;
    state.fetchBackoff = std::min(2 * state.fetchBackoff, maxFetchBackoff);
    return state;
}

AntiEntropyState stateAfterFetchResult(AntiEntropyState state, FetchResult result)
{
    if (result == FetchResult::NewRecords)
        state.fetchBackoff = minFetchBackoff;
    return state;
}

} // namespace almondwing
