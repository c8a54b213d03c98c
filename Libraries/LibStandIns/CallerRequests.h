// The requests of a caller stand-in: sends and resends them, puts answers together and checks every byte.

#pragma once

#include <LibStandIns/CallerBoard.h>

namespace almondwing {

class CallerRequests
{
public:
    CallerRequests(CallerBoard &sharedBoard, CallerPlan const &callerPlan, CallerHooks const &callerHooks)
        : board(sharedBoard), plan(callerPlan), hooks(callerHooks)
    {
    }

    // Starts the requests of the plan, at its rate or each when one has ended.
    void start();

    void handle(Timestamp now, CallerReply const &reply);

private:
    struct Progress
    {
        std::uint64_t started = 0;
        std::uint64_t ended = 0;
    };

    void startDue(Timestamp begin);
    void startNext();
    void send(Timestamp now, RequestKey const &key, CallerRequest const &request);
    void scheduleCheck(RequestKey const &key);
    void cancel(RequestKey const &key);
    void checkProgress(RequestKey const &key);
    void checkGaps(RequestKey const &key);
    void askForParts(RequestKey const &key);

    void handlePart(Timestamp now, AnswerPart const &part);
    void checkAnswer(Timestamp now, RequestKey const &key, AnswerAssembly const &answer);
    void end(Timestamp now, RequestKey const &key, CallerOutcome outcome, Reason reason);

    CallerBoard &board;
    CallerPlan const &plan;
    CallerHooks const &hooks;
    Cell<Progress> progress;
};

} // namespace almondwing
