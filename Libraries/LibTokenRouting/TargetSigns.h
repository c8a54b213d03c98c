// Judges targets by the packets that pass: a caller that repeats itself got nothing, one whose
// acknowledgement advances got something. Answers do not pass through the instance.

#pragma once

#include <LibTokenRouting/TokenBoard.h>

namespace almondwing {

struct SignSettings
{
    // Callers repeat an unanswered packet after 200 ms; a repeat that comes sooner was duplicated on its way.
    Duration shortestRepeat = 150ms;
    Duration suspicion = 1s; // Without new evidence a suspected target is tried again after this time.
    // Judging by silence needs a target that other flows would have shown alive: it must have been heard from
    // through this instance this recently before the unanswered packet.
    Duration recentLife = 2s;

    friend bool operator==(SignSettings const &, SignSettings const &) = default;
};

enum class SignVerdict : std::uint8_t { None, Suspect };

// Notes the packet, and returns whether it is evidence that its target does not answer.
SignVerdict noteDataPacket(TokenBoard &board, FlowPacket const &packet, SignSettings const &settings,
                           Timestamp now);

// A repeated opening packet: whether the target that got the first one gives no sign of life since.
SignVerdict judgeRepeatedOpen(TokenBoard const &board, FlowNote const &note, SignSettings const &settings,
                              Timestamp now);

void suspect(TokenBoard &board, TargetToken token, Timestamp until);

} // namespace almondwing
