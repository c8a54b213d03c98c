// The flows of a caller stand-in: opens them, sends packets at an interval and checks every received byte.

#pragma once

#include <LibStandIns/CallerBlackboard.h>

namespace almondwing {

class CallerFlows
{
public:
    CallerFlows(CallerBlackboard &sharedBlackboard, CallerPlan const &callerPlan,
                CallerHooks const &callerHooks)
        : blackboard(sharedBlackboard), plan(callerPlan), hooks(callerHooks)
    {
    }

    // Opens the flows of the plan at its flow rate.
    void start();

    void handle(Timestamp now, CallerReply const &reply);

    // Closes all established flows. Called at the end of the plan.
    void closeAll();

private:
    void openDueFlows(Timestamp begin, std::uint64_t opened);
    void open(std::size_t socketIndex);
    void sendOpen(FlowKey const &key);
    void sendData(FlowKey const &key);
    // Opens a flow with a new key on the next socket, if the plan replaces failed flows.
    void openReplacement(std::size_t socketIndex, Duration delay);

    void handleAccepted(Timestamp now, FlowKey const &key);
    void handleRefused(FlowRefused const &message);
    void handleBroken(FlowBroken const &message);
    void handleData(Timestamp now, FlowData const &message);

    // Returns the flow before the change, or nullopt if it is in none of the expected states.
    std::optional<CallerFlow> transition(FlowKey const &key, std::initializer_list<CallerFlowState> expected,
                                         CallerFlowState next);

    CallerBlackboard &blackboard;
    CallerPlan const &plan;
    CallerHooks const &hooks;
};

// Returns the payload of one packet of a flow, padded to the given size.
std::string flowPayload(FlowKey const &key, std::uint64_t sequence, std::size_t size);

} // namespace almondwing
