// The flows of a target stand-in: opens them, echoes their packets and sends notices.

#pragma once

#include <LibStandIns/TargetBoard.h>

#include <cstddef>

namespace almondwing {

class TargetFlows
{
public:
    TargetFlows(TargetBoard &sharedBoard, TargetModelSettings const &targetTraits,
                TargetHooks const &targetHooks)
        : board(sharedBoard), traits(targetTraits), hooks(targetHooks)
    {
    }

    void handleOpen(Timestamp now, Endpoint from, OpenFlow const &message);
    void handleData(Endpoint from, FlowData const &message);
    void handleClose(CloseFlow const &message);

    // Sends a notice on every flow to where its last packet came from.
    void pushNotices();

    // The flows are unknown from now on and answered with FlowBroken. Returns how many there were.
    std::size_t forget(std::size_t maximum);

    // The flows get no answer any more, like those that a middlebox has lost track of.
    std::size_t silence(std::size_t maximum);

private:
    bool admitFlow();
    void remove(FlowKey const &key);

    TargetBoard &board;
    TargetModelSettings const &traits;
    TargetHooks const &hooks;
};

// The first word tells a notice from an echo.
std::string noticePayload(FlowKey const &key);

} // namespace almondwing
