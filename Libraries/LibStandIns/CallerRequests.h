// The requests of a caller stand-in: sends and resends them, reassembles answers and checks every byte.

#pragma once

#include <LibStandIns/CallerBlackboard.h>

namespace almondwing {

class CallerRequests
{
public:
    CallerRequests(CallerBlackboard &sharedBlackboard, CallerPlan const &callerPlan,
                   CallerHooks const &callerHooks)
        : blackboard(sharedBlackboard), plan(callerPlan), hooks(callerHooks)
    {
    }

    // Starts the requests of the plan at its request rate or, if that is 0, keeps `concurrency` pending.
    void start();

    void handle(Timestamp now, CallerReply const &reply);

private:
    struct Progress // Counts the requests of the plan, not the parts of one request.
    {
        std::uint64_t started = 0;
        std::uint64_t ended = 0;
    };

    void startDueRequests(Timestamp begin);
    void startNext();
    void send(Timestamp now, RequestKey const &key, CallerRequest const &request);
    void scheduleCheck(RequestKey const &key);
    void cancel(RequestKey const &key);
    void checkProgress(RequestKey const &key);
    void checkMissingParts(RequestKey const &key);
    void requestMissingParts(RequestKey const &key);

    void handlePart(Timestamp now, AnswerPart const &part);
    void checkAnswer(Timestamp now, RequestKey const &key, AnswerAssembly const &answer);
    void end(Timestamp now, RequestKey const &key, CallerOutcome outcome, Reason reason);

    CallerBlackboard &blackboard;
    CallerPlan const &plan;
    CallerHooks const &hooks;
    Cell<Progress> progress;
};

} // namespace almondwing
