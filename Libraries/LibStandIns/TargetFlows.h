// The flows of a target stand-in: accepts them, echoes their packets and sends notices, which are packets
// that the target sends on its own.

#pragma once

#include <LibStandIns/TargetBlackboard.h>

#include <cstddef>

namespace almondwing {

class TargetFlows
{
public:
    TargetFlows(TargetBlackboard &sharedBlackboard, TargetModelSettings const &targetSettings,
                TargetHooks const &targetHooks)
        : blackboard(sharedBlackboard), settings(targetSettings), hooks(targetHooks)
    {
    }

    void handleOpen(Timestamp now, Endpoint from, OpenFlow const &message);
    void handleData(Endpoint from, FlowData const &message);
    void handleClose(CloseFlow const &message);

    // Sends a notice on every flow to the sender of its last packet.
    void sendNotices();

    // Removes at most `limit` flows, whose packets are then answered with FlowBroken. Returns their number.
    std::size_t removeFlows(std::size_t limit);

    // Stops replying on at most `limit` flows, as if a middlebox had lost their state. Returns their number.
    std::size_t silenceFlows(std::size_t limit);

private:
    bool admitFlow();
    void remove(FlowKey const &key);

    TargetBlackboard &blackboard;
    TargetModelSettings const &settings;
    TargetHooks const &hooks;
};

// The first word distinguishes a notice from an echo.
std::string noticePayload(FlowKey const &key);

} // namespace almondwing
