// Judges targets by the packets that pass: a caller that repeats itself got nothing, one whose
// acknowledgement advances got something. Answers do not pass through the instance.

#pragma once

#include <LibTokenRouting/TokenBlackboard.h>

#include <cstdint>
#include <optional>

namespace almondwing {

struct PassiveHealthSettings
{
    // Callers repeat an unanswered packet after 200 ms; a repeat that comes sooner was duplicated on its way.
    Duration shortestRepeat = 150ms;
    Duration suspicion = 1s; // Without new evidence a suspected target is tried again after this time.
    // Judging by silence needs a target that other flows would have shown alive: it must have been heard from
    // through this instance this recently before the unanswered packet.
    Duration recentLife = 2s;
    // How long a failed check holds. It is renewed by the next check while packets still come.
    Duration unreachable = 700ms;
    // A check without an answer counts only if so many flows got none either: one packet may have been lost.
    std::uint32_t flowsToConfirmSilence = 2;

    friend bool operator==(PassiveHealthSettings const &, PassiveHealthSettings const &) = default;
};

enum class SignVerdict : std::uint8_t { None, Suspect };

struct PacketSigns
{
    SignVerdict verdict = SignVerdict::None; // Whether it is evidence that the target does not answer.
    std::optional<Duration> establishedAfter; // Set for the first packet after the opening one.

    friend bool operator==(PacketSigns const &, PacketSigns const &) = default;
};

PacketSigns noteDataPacket(TokenBlackboard &board, FlowPacket const &packet,
                           PassiveHealthSettings const &settings, Timestamp now);

// A repeated opening packet: whether the target that got the first one gives no sign of life since.
SignVerdict judgeRepeatedOpen(TokenBlackboard const &board, RecentFlow const &note,
                              PassiveHealthSettings const &settings, Timestamp now);

// One flow more that got no answer from the target.
void suspect(TokenBlackboard &board, TargetToken token, ConnectionKey const &flow,
             PassiveHealthSettings const &settings, Timestamp now);

enum class CheckResult : std::uint8_t {
    Accepted,
    Refused, // Nothing listens there.
    Silent, // No answer in time.
};

enum class HeartbeatState : std::uint8_t { Current, Stopped };

// The result of a direct check. Silence counts at once for a target whose heartbeats have stopped. A link
// that is cut refuses or swallows connections, which looks like a target that has ended, so the evidence is
// short-lived and never leaves this instance.
void recordCheckResult(TokenBlackboard &board, TargetToken token, CheckResult result,
                       HeartbeatState heartbeats, PassiveHealthSettings const &settings, Timestamp now);

// Whether a target was heard from through this instance a short time ago.
bool isKnownAlive(TargetHealth const &signs, PassiveHealthSettings const &settings, Timestamp now);

} // namespace almondwing
