// The hooks through which the controllers of an instance send messages and report events. The daemon binds
// them to sockets, tests bind them to a fake link. An Outbox itself holds no messages. A hook never calls
// back into the controller that called it.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/EventCatalogue.h>
#include <LibCore/Identifier.h>
#include <LibMessages/PeerMessages.h>

#include <cstdint>
#include <functional>

namespace almondwing {

struct Outbox
{
    std::function<void(Endpoint caller, CallerReply const &)> sendToCaller;
    std::function<void(Endpoint target, TargetCommand const &)> sendToTarget;
    std::function<void(InstanceId, PeerMessage const &)> sendToInstance;
    EventReporter report;
};

// Returns uniformly distributed random numbers; seeded in tests.
using RandomSource = std::function<std::uint64_t()>;

} // namespace almondwing
