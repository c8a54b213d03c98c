// Passive health checking of targets. Answers do not pass through the instance, so it infers them from the
// packets of callers: a retransmission shows that no answer arrived, and an advancing acknowledgement shows
// that one did.

#pragma once

#include <LibTokenRouting/TokenBlackboard.h>

#include <cstdint>
#include <optional>

namespace almondwing {

struct PassiveHealthSettings
{
    // Callers retransmit an unanswered packet after 200 ms; an earlier copy was duplicated by the network.
    Duration minRetransmitInterval = 150ms;
    Duration suspectDuration = 1s; // Without new evidence, a suspect target is used again after this time.
    // A missing answer to data is evidence only if the target was known to answer before: an answer must have
    // been observed through this instance within this time before the unanswered packet. A target counts as
    // recently alive for the same time after an answer.
    Duration aliveWindow = 2s;
    // How long a target counts as unreachable after a failed check. While packets still arrive, the next
    // check renews this time.
    Duration unreachableDuration = 700ms;
    // A single silent flow suffices for a check without an answer if the latency objective of its route is at
    // least this: after the retransmission (200 ms) and the check (120 ms), another attempt can still succeed
    // in time. Waiting for a second flow would take that time away.
    Duration quickEvidenceObjective = 350ms;
    // For other routes, a check without an answer counts only if at least this many flows got no answer
    // either. See recordCheckResult() for the exception.
    std::size_t minSilentFlows = 2; // At most the size of SilentFlows.
    DomainSilenceSettings domainSilence; // Confirms the silence of several targets of one failure domain.

    friend bool operator==(PassiveHealthSettings const &, PassiveHealthSettings const &) = default;
};

enum class HealthVerdict : std::uint8_t { None, Suspect };

struct PacketObservation
{
    // Suspect if the packet shows that the target does not answer.
    HealthVerdict verdict = HealthVerdict::None;
    bool isAnswered = false; // The packet acknowledges a new answer of the target.
    std::optional<Duration> establishedAfter; // Set for the first packet after the opening packet.

    friend bool operator==(PacketObservation const &, PacketObservation const &) = default;
};

PacketObservation observeDataPacket(TokenBlackboard &board, FlowPacket const &packet,
                                    PassiveHealthSettings const &settings, Timestamp now);

// Evaluates a retransmitted opening packet. The target is suspect if no answer from it was observed since the
// first transmission.
HealthVerdict evaluateRepeatedOpen(TokenBlackboard const &board, RecentFlow const &flow,
                                   PassiveHealthSettings const &settings, Timestamp now);

// Records a flow that got no answer from the target. The terms are those of its route.
void markSuspect(TokenBlackboard &board, TargetToken token, ConnectionKey const &flow,
                 RouteTerms const &terms, PassiveHealthSettings const &settings, Timestamp now);

enum class CheckResult : std::uint8_t {
    Accepted,
    Refused, // No process listens at the endpoint.
    NoAnswer, // The check timed out.
};

enum class HeartbeatState : std::uint8_t { Current, Stopped };

// Records the result of a direct check. A check without an answer counts immediately if the heartbeats of the
// target have stopped and no answer was observed recently, otherwise only with `minSilentFlows`. A cut link
// refuses or drops connections just like a target that has ended, so the result is valid for a short time
// only and is never sent to other instances.
void recordCheckResult(TokenBlackboard &board, TargetToken token, CheckResult result,
                       HeartbeatState heartbeats, PassiveHealthSettings const &settings, Timestamp now);

// Marks a target whose silence other evidence confirms.
void markUnreachable(TokenBlackboard &board, TargetToken token, PassiveHealthSettings const &settings,
                     Timestamp now);

// Whether an answer of the target was recently observed through this instance.
bool isRecentlyAlive(TargetHealth const &health, PassiveHealthSettings const &settings, Timestamp now);

} // namespace almondwing
