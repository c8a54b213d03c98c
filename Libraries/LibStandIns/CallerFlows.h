// The flows of a caller stand-in: opens them, keeps them busy and checks every byte that comes back.

#pragma once

#include <LibStandIns/CallerBoard.h>

namespace almondwing {

class CallerFlows
{
public:
    CallerFlows(CallerBoard &sharedBoard, CallerPlan const &callerPlan, CallerHooks const &callerHooks)
        : board(sharedBoard), plan(callerPlan), hooks(callerHooks)
    {
    }

    // Opens the flows of the plan one after the other at its rate.
    void start();

    void handle(Timestamp now, CallerReply const &reply);

    // Closes all flows at the end of the plan.
    void closeAll();

private:
    void openDue(Timestamp begin, std::uint64_t opened);
    void open(std::size_t port);
    void sendOpen(FlowKey const &key);
    void sendData(FlowKey const &key);
    void reopen(std::size_t port, Duration delay);

    void handleAccepted(Timestamp now, FlowKey const &key);
    void handleRefused(FlowRefused const &message);
    void handleBroken(FlowBroken const &message);
    void handleData(Timestamp now, FlowData const &message);

    // The state before the change, or nullopt if the flow is in none of the expected states.
    std::optional<CallerFlow> moveState(FlowKey const &key, std::initializer_list<CallerFlowState> expected,
                                        CallerFlowState next);

    CallerBoard &board;
    CallerPlan const &plan;
    CallerHooks const &hooks;
};

// The payload of one packet of a flow, padded to the given size.
std::string flowPayload(FlowKey const &key, std::uint64_t sequence, std::size_t size);

} // namespace almondwing
