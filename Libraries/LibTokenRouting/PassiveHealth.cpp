// Implements passive health checking of targets.

#include <LibTokenRouting/PassiveHealth.h>

#include <algorithm>

namespace almondwing {

namespace {

// Sequence numbers wrap around (RFC 1982 serial number arithmetic).
bool isLater(std::uint32_t value, std::uint32_t reference)
{
    return static_cast<std::int32_t>(value - reference) > 0;
}

void markAlive(TokenBlackboard &board, TargetToken token, Timestamp now)
{
    board.targetHealth.update(token, [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
        TargetHealth next = health.value_or(TargetHealth{});
        next.lastAliveAt = std::max(next.lastAliveAt, now);
        next.suspectUntil = Timestamp{};
        next.unreachableUntil = Timestamp{};
        next.silentFlows.fill(0);
        next.isOneSilentFlowEnough = false;
        return next;
    });
}

} // namespace

PacketObservation observeDataPacket(TokenBlackboard &board, FlowPacket const &packet,
                                    PassiveHealthSettings const &settings, Timestamp now)
{
    bool isAlive = false;
    bool isRetransmission = false;
    Timestamp firstSentAt = now;
    auto const known = board.flows.read(packet.flow);
    if (!known && board.flows.size() >= maxRecentFlows)
        return {};
    std::optional<Duration> establishedAfter;
    board.flows.update(
        packet.flow, [&](std::optional<RecentFlow> const &current) -> std::optional<RecentFlow> {
            isAlive = false;
            isRetransmission = false;
            establishedAfter.reset();
            RecentFlow next = current.value_or(RecentFlow{.target = packet.token,
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
        return PacketObservation{.isAnswered = true, .establishedAfter = establishedAfter};
    }
    TargetHealth const health = board.healthOf(packet.token);
    bool const wasAliveBefore = health.lastAliveAt + settings.aliveWindow >= firstSentAt;
    bool const isSilent = isRetransmission && wasAliveBefore && health.lastAliveAt < firstSentAt;
    return PacketObservation{.verdict = isSilent ? HealthVerdict::Suspect : HealthVerdict::None};
}

HealthVerdict evaluateRepeatedOpen(TokenBlackboard const &board, RecentFlow const &flow,
                                   PassiveHealthSettings const &settings, Timestamp now)
{
    if (flow.isEstablished || now - flow.openedAt < settings.minRetransmitInterval)
        return HealthVerdict::None;
    return board.healthOf(flow.target).lastAliveAt < flow.openedAt ? HealthVerdict::Suspect
                                                                   : HealthVerdict::None;
}

void markSuspect(TokenBlackboard &board, TargetToken token, ConnectionKey const &flow,
                 RouteTerms const &terms, PassiveHealthSettings const &settings, Timestamp now)
{
    std::uint64_t const flowHash = std::hash<ConnectionKey>{}(flow);
    board.targetHealth.update(token, [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
        TargetHealth next = health.value_or(TargetHealth{});
        next.suspectUntil = std::max(next.suspectUntil, now + settings.suspectDuration);
        bool const isKnown = std::ranges::find(next.silentFlows, flowHash) != next.silentFlows.end();
        auto const free = std::ranges::find(next.silentFlows, 0U);
        if (!isKnown && free != next.silentFlows.end())
            *free = flowHash;
        next.isOneSilentFlowEnough |= terms.latencyObjective >= settings.quickEvidenceObjective;
        return next;
    });
}

bool isRecentlyAlive(TargetHealth const &health, PassiveHealthSettings const &settings, Timestamp now)
{
    return health.lastAliveAt + settings.aliveWindow >= now;
}

void recordCheckResult(TokenBlackboard &board, TargetToken token, CheckResult result,
                       HeartbeatState heartbeats, PassiveHealthSettings const &settings, Timestamp now)
{
    board.targetHealth.update(token, [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
        TargetHealth next = health.value_or(TargetHealth{});
        std::size_t const silentFlows =
            next.silentFlows.size() - static_cast<std::size_t>(std::ranges::count(next.silentFlows, 0U));
        bool const isOneEnough = next.isOneSilentFlowEnough && now < next.suspectUntil;
        bool const isSilenceConfirmed = isOneEnough || silentFlows >= settings.minSilentFlows
            || (heartbeats == HeartbeatState::Stopped && !isRecentlyAlive(next, settings, now));
        if (result == CheckResult::Accepted) {
            next.unreachableUntil = Timestamp{};
            next.isOneSilentFlowEnough = false;
        } else if (result == CheckResult::Refused || isSilenceConfirmed) {
            next.unreachableUntil = now + settings.unreachableDuration;
        }
        return next;
    });
}

void markUnreachable(TokenBlackboard &board, TargetToken token, PassiveHealthSettings const &settings,
                     Timestamp now)
{
    board.targetHealth.update(token, [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
        TargetHealth next = health.value_or(TargetHealth{});
        next.unreachableUntil = now + settings.unreachableDuration;
        return next;
    });
}

} // namespace almondwing
