// Runs the tries of requests at a target stand-in. A try is one attempt of a dispatcher to run a request at a
// target and is identified by its try id. Each try runs at most once and holds a slot until the last burst
// of its answer. Ended tries are kept, so that repeated run requests and lost parts can be answered.

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

    // Removes tries that ended more than 120 s ago. Dispatchers may ask for a try until 30 s after its
    // deadline, so the retention is sufficient for tries that end at most 90 s before their deadline.
    void removeOldTries(Timestamp now);

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
