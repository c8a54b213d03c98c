// Implements judging targets by the packets that pass.

#include <LibTokenRouting/PassiveHealth.h>

#include <algorithm>

namespace almondwing {

namespace {

// Sequence numbers wrap around (RFC 1982 serial number arithmetic).
bool isLater(std::uint32_t value, std::uint32_t reference)
{
    return static_cast<std::int32_t>(value - reference) > 0;
}

void noteAlive(TokenBlackboard &board, TargetToken token, Timestamp now)
{
    board.signs.update(token, [&](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
        TargetHealth next = signs.value_or(TargetHealth{});
        next.aliveAt = std::max(next.aliveAt, now);
        next.suspectUntil = Timestamp{};
        next.unreachableUntil = Timestamp{};
        next.silentFlows = 0;
        next.lastSilentFlow = 0;
        return next;
    });
}

} // namespace

PacketSigns noteDataPacket(TokenBlackboard &board, FlowPacket const &packet,
                           PassiveHealthSettings const &settings, Timestamp now)
{
    bool isAlive = false;
    bool isRepeat = false;
    Timestamp repeatedSince = now;
    auto const known = board.flows.read(packet.flow);
    if (!known && board.flows.size() >= maxRecentFlows)
        return {};
    std::optional<Duration> establishedAfter;
    board.flows.update(packet.flow, [&](std::optional<RecentFlow> const &noted) -> std::optional<RecentFlow> {
        isAlive = false;
        isRepeat = false;
        establishedAfter.reset();
        RecentFlow next = noted.value_or(RecentFlow{.target = packet.token,
                                                    .openedAt = now,
                                                    .sequence = packet.sequence - 1,
                                                    .acknowledgement = packet.acknowledgement,
                                                    .isEstablished = true});
        // The first packet after the opening one acknowledges that of the target.
        isAlive = !next.isEstablished || isLater(packet.acknowledgement, next.acknowledgement);
        if (!next.isEstablished)
            establishedAfter = now - next.openedAt;
        if (isAlive || !noted) {
            next.acknowledgement = packet.acknowledgement;
            next.answeredAt = now;
        }
        if (packet.length > 0 && isLater(packet.sequence, next.sequence)) {
            next.sequence = packet.sequence;
            next.sequenceSince = now;
        } else if (packet.length > 0 && packet.sequence == next.sequence && !isAlive) {
            isRepeat = now - next.sequenceSince >= settings.shortestRepeat;
            repeatedSince = next.sequenceSince;
        }
        next.target = packet.token;
        next.isEstablished = true;
        next.lastSeen = now;
        return next;
    });
    if (isAlive) {
        noteAlive(board, packet.token, now);
        return PacketSigns{.establishedAfter = establishedAfter};
    }
    TargetHealth const signs = board.healthOf(packet.token);
    bool const wasHeardBefore = signs.aliveAt + settings.recentLife >= repeatedSince;
    bool const isSilent = isRepeat && wasHeardBefore && signs.aliveAt < repeatedSince;
    return PacketSigns{.verdict = isSilent ? SignVerdict::Suspect : SignVerdict::None};
}

SignVerdict judgeRepeatedOpen(TokenBlackboard const &board, RecentFlow const &note,
                              PassiveHealthSettings const &settings, Timestamp now)
{
    if (note.isEstablished || now - note.openedAt < settings.shortestRepeat)
        return SignVerdict::None;
    return board.healthOf(note.target).aliveAt < note.openedAt ? SignVerdict::Suspect : SignVerdict::None;
}

void suspect(TokenBlackboard &board, TargetToken token, ConnectionKey const &flow,
             PassiveHealthSettings const &settings, Timestamp now)
{
    std::uint64_t const flowHash = std::hash<ConnectionKey>{}(flow);
    board.signs.update(token, [&](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
        TargetHealth next = signs.value_or(TargetHealth{});
        next.suspectUntil = std::max(next.suspectUntil, now + settings.suspicion);
        if (next.lastSilentFlow != flowHash)
            ++next.silentFlows;
        next.lastSilentFlow = flowHash;
        return next;
    });
}

bool isKnownAlive(TargetHealth const &signs, PassiveHealthSettings const &settings, Timestamp now)
{
    return signs.aliveAt + settings.recentLife >= now;
}

void recordCheckResult(TokenBlackboard &board, TargetToken token, CheckResult result,
                       HeartbeatState heartbeats, PassiveHealthSettings const &settings, Timestamp now)
{
    board.signs.update(token, [&](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
        TargetHealth next = signs.value_or(TargetHealth{});
        bool const isSilenceConfirmed = next.silentFlows >= settings.flowsToConfirmSilence
            || (heartbeats == HeartbeatState::Stopped && !isKnownAlive(next, settings, now));
        if (result == CheckResult::Accepted)
            next.unreachableUntil = Timestamp{};
        else if (result == CheckResult::Refused || isSilenceConfirmed)
            next.unreachableUntil = now + settings.unreachable;
        return next;
    });
}

} // namespace almondwing
