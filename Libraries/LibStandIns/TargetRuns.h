// The requests of a target stand-in: starts each try once, holds a slot until the last part is sent, and
// keeps finished tries so that repeated run requests and lost parts can be answered.

#pragma once

#include <LibStandIns/TargetBlackboard.h>

namespace almondwing {

class TargetRuns
{
public:
    TargetRuns(TargetBlackboard &sharedBlackboard, TargetModelSettings const &targetSettings,
               TargetHooks const &targetHooks)
        : blackboard(sharedBlackboard), settings(targetSettings), hooks(targetHooks)
    {
    }

    void handleRun(Timestamp now, Endpoint from, RunRequest const &message);
    void handleCancel(Timestamp now, Endpoint from, CancelRequest const &message);
    void handleResend(Endpoint from, ResendParts const &message);

    // Removes finished tries. They are kept for longer than a dispatcher may ask for them, which is until 30
    // s after the deadline.
    void removeExpiredTries(Timestamp now);

    // Ends all tries without an answer, as if the process had ended.
    void removeAllTries();

private:
    enum class SlotGrant : std::uint8_t { None, Normal, Overfilled };

    void start(Timestamp now, Endpoint from, RunRequest const &message);
    void handleRepeat(Endpoint from, RunRequest const &message, TargetTry const &known);
    void shed(Timestamp now, Endpoint from, RunRequest const &message);
    SlotGrant takeSlot(Timestamp now);
    void releaseSlot();

    // Returns false if the try is not in the expected state, because it was cancelled or removed meanwhile.
    bool transition(std::uint64_t tryId, TryState expected, TryState next);

    void finishRun(std::uint64_t tryId);
    void expireRun(std::uint64_t tryId);
    void sendBurst(std::uint64_t tryId, std::uint32_t firstPart);

    TargetBlackboard &blackboard;
    TargetModelSettings const &settings;
    TargetHooks const &hooks;
};

} // namespace almondwing
