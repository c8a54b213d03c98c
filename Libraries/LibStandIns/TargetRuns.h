// The requests of a target stand-in: starts each try once, holds a slot until the last part is sent, and
// keeps finished tries so that repeats and lost parts can be served.

#pragma once

#include <LibStandIns/TargetBoard.h>

namespace almondwing {

class TargetRuns
{
public:
    TargetRuns(TargetBoard &sharedBoard, TargetModelSettings const &targetTraits,
               TargetHooks const &targetHooks)
        : board(sharedBoard), traits(targetTraits), hooks(targetHooks)
    {
    }

    void handleRun(Timestamp now, Endpoint from, RunRequest const &message);
    void handleCancel(Timestamp now, Endpoint from, CancelRequest const &message);
    void handleResend(Endpoint from, ResendParts const &message);

    // Finished tries are kept longer than a dispatcher may ask for them: its deadline plus 30 s.
    void forgetOldTries(Timestamp now);

    // Ends all tries without an answer, as the end of the process does.
    void forgetAllTries();

private:
    enum class SlotGrant : std::uint8_t { None, Normal, Overfilled };

    void start(Timestamp now, Endpoint from, RunRequest const &message);
    void repeat(Endpoint from, RunRequest const &message, TargetTry const &known);
    void shed(Timestamp now, Endpoint from, RunRequest const &message);
    SlotGrant takeSlot(Timestamp now);
    void releaseSlot();

    // A result other than the expected state means that the try was cancelled or forgotten meanwhile.
    bool moveState(std::uint64_t tryId, TryState expected, TryState next);

    void finishRun(std::uint64_t tryId);
    void expireRun(std::uint64_t tryId);
    void sendBurst(std::uint64_t tryId, std::uint32_t firstPart);

    TargetBoard &board;
    TargetModelSettings const &traits;
    TargetHooks const &hooks;
};

} // namespace almondwing
