// Implements passive health checking of targets.

#include <LibTokenRouting/TargetSigns.h>

#include <algorithm>

namespace almondwing {

namespace {

// Sequence numbers wrap around (RFC 1982 serial number arithmetic).
bool isLater(std::uint32_t value, std::uint32_t reference)
{
    return static_cast<std::int32_t>(value - reference) > 0;
}

void markAlive(TokenBoard &board, TargetToken token, Timestamp now)
{
    board.targetHealth.update(token, [&](std::optional<TargetSigns> health) -> std::optional<TargetSigns> {
        TargetSigns next = health.value_or(TargetSigns{});
        next.lastAliveAt = std::max(next.lastAliveAt, now);
        next.suspectUntil = Timestamp{};
        next.unreachableUntil = Timestamp{};
        next.silentFlows = 0;
        next.lastSilentFlowHash = 0;
        return next;
    });
}

} // namespace

PacketObservation observeDataPacket(TokenBoard &board, FlowPacket const &packet, SignSettings const &settings,
                                    Timestamp now)
{
    bool isAlive = false;
    bool isRetransmission = false;
    Timestamp firstSentAt = now;
    auto const known = board.flows.read(packet.flow);
    if (!known && board.flows.size() >= largestFlowNotes)
        return {};
    std::optional<Duration> establishedAfter;
    board.flows.update(packet.flow, [&](std::optional<FlowNote> const &current) -> std::optional<FlowNote> {
        isAlive = false;
        isRetransmission = false;
        establishedAfter.reset();
        FlowNote next = current.value_or(FlowNote{.target = packet.token,
                                                  .openedAt = now,
                                                  .sequence = packet.sequence - 1,
                                                  .acknowledgement = packet.acknowledgement,
                                                  .isEstablished = true});
        // The first packet after the opening packet acknowledges the answer of the target.
        isAlive = !next.isEstablished || isLater(packet.acknowledgement, next.acknowledgement);
        if (!next.isEstablished)
            establishedAfter = now - next.openedAt;
        if (isAlive || !current) {
            next.acknowledgement = packet.acknowledgement;
            next.lastAnsweredAt = now;
        }
        if (packet.length > 0 && isLater(packet.sequence, next.sequence)) {
            next.sequence = packet.sequence;
            next.sequenceFirstSeen = now;
        } else if (packet.length > 0 && packet.sequence == next.sequence && !isAlive) {
            isRetransmission = now - next.sequenceFirstSeen >= settings.minRetransmitInterval;
            firstSentAt = next.sequenceFirstSeen;
        }
        next.target = packet.token;
        next.isEstablished = true;
        next.lastSeen = now;
        return next;
    });
    if (isAlive) {
        markAlive(board, packet.token, now);
        return PacketObservation{.establishedAfter = establishedAfter};
    }
    TargetSigns const health = board.signsOf(packet.token);
    bool const wasAliveBefore = health.lastAliveAt + settings.aliveWindow >= firstSentAt;
    bool const isSilent = isRetransmission && wasAliveBefore && health.lastAliveAt < firstSentAt;
    return PacketObservation{.verdict = isSilent ? HealthVerdict::Suspect : HealthVerdict::None};
}

HealthVerdict evaluateRepeatedOpen(TokenBoard const &board, FlowNote const &flow,
                                   SignSettings const &settings, Timestamp now)
{
    if (flow.isEstablished || now - flow.openedAt < settings.minRetransmitInterval)
        return HealthVerdict::None;
    return board.signsOf(flow.target).lastAliveAt < flow.openedAt ? HealthVerdict::Suspect
                                                                  : HealthVerdict::None;
}

void markSuspect(TokenBoard &board, TargetToken token, ConnectionKey const &flow,
                 SignSettings const &settings, Timestamp now)
{
    std::uint64_t const flowHash = std::hash<ConnectionKey>{}(flow);
    board.targetHealth.update(token, [&](std::optional<TargetSigns> health) -> std::optional<TargetSigns> {
        TargetSigns next = health.value_or(TargetSigns{});
        next.suspectUntil = std::max(next.suspectUntil, now + settings.suspectDuration);
        if (next.lastSilentFlowHash != flowHash)
            ++next.silentFlows;
        next.lastSilentFlowHash = flowHash;
        return next;
    });
}

bool isRecentlyAlive(TargetSigns const &health, SignSettings const &settings, Timestamp now)
{
    return health.lastAliveAt + settings.aliveWindow >= now;
}

void noteCheck(TokenBoard &board, TargetToken token, CheckResult result, HeartbeatState heartbeats,
               SignSettings const &settings, Timestamp now)
{
    board.targetHealth.update(token, [&](std::optional<TargetSigns> health) -> std::optional<TargetSigns> {
        TargetSigns next = health.value_or(TargetSigns{});
        bool const isSilenceConfirmed = next.silentFlows >= settings.minSilentFlows
            || (heartbeats == HeartbeatState::Stopped && !isRecentlyAlive(next, settings, now));
        if (result == CheckResult::Accepted)
            next.unreachableUntil = Timestamp{};
        else if (result == CheckResult::Refused || isSilenceConfirmed)
            next.unreachableUntil = now + settings.unreachableDuration;
        return next;
    });
}

} // namespace almondwing
