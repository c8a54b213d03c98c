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
    // How long a refused connection is taken as the end of the target; a new check follows if packets still
    // go unanswered.
    Duration refusal = 500ms;

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

// A direct check found that nothing listens at the target. A link that refuses connections looks the same, so
// the evidence is short-lived and never leaves this instance.
void noteRefusal(TokenBoard &board, TargetToken token, SignSettings const &settings, Timestamp now);

} // namespace almondwing
