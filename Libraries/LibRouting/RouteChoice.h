// Chooses the next hop of a caller's message as a pure function of the routing view and the key of the
// message.

#pragma once

#include <LibCore/Identifier.h>
#include <LibMessages/PeerMessages.h>
#include <LibMessages/Reason.h>
#include <LibState/RoutingView.h>

#include <cstdint>

namespace almondwing {

enum class RouteKind : std::uint8_t {
    DispatchHere, // This instance is the dispatcher of the target.
    ForwardToInstance, // Another instance is the dispatcher of the target.
    NoRoute, // No target or no dispatcher is available for the message.
    UnknownService,
};

struct Route
{
    RouteKind kind = RouteKind::UnknownService;
    TargetId target;
    InstanceId instance;
    Reason reason = Reason::None; // Set for NoRoute and UnknownService.

    friend bool operator==(Route const &, Route const &) = default;
};

struct MessageKey
{
    ServiceId service;
    std::uint64_t hash = 0;

    friend bool operator==(MessageKey const &, MessageKey const &) = default;
};

inline std::uint16_t bucketOfFlow(FlowKey const &key)
{
    return bucketOf(std::hash<FlowKey>{}(key));
}

// Returns the service of a message and the hash that selects its bucket.
MessageKey keyOf(CallerMessage const &message);

// Returns the route of a message to the target of its bucket.
Route chooseRoute(RoutingView const &view, InstanceId self, MessageKey key);

// Returns the route to the dispatcher of a given target, for forwarded messages.
Route chooseRouteToTarget(RoutingView const &view, InstanceId self, TargetId target);

// Bounds forwarding loops while instances have different routing views. 24 is searchBaseHops, for the way to
// the dispatcher, plus two searches of up to 8 candidates each. The sender of a spill checks no hop limit.
constexpr std::uint8_t maxHops = 24;

enum class ForwardDecisionKind : std::uint8_t { HandleLocally, Forward, Refuse, Drop };

// What to do with a caller's message that this instance received from the network fabric or from another
// instance.
struct ForwardDecision
{
    ForwardDecisionKind kind = ForwardDecisionKind::Drop;
    TargetId target; // Set for HandleLocally.
    InstanceId instance; // Set for Forward.
    Reason reason = Reason::None; // Set for Refuse and Drop.
    Forwarded forwarded; // The message as it is to be handled or forwarded.

    friend bool operator==(ForwardDecision const &, ForwardDecision const &) = default;
};

// A message from the fabric is a Forwarded with purpose Deliver. A Search or Spill goes to its first
// candidate that has a dispatcher. Each instance on the path looks any other message up in its own bucket
// table, so the dispatcher that handles it has the bucket assigned to one of its targets in its own table.
// While instances have different routing views, a message may be forwarded several times; it is refused after
// maxHops hops.
ForwardDecision decideForwarded(RoutingView const &view, InstanceId self, Forwarded forwarded);

} // namespace almondwing
