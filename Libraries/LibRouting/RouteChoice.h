// Where an instance sends a message of a caller next: a pure function of the routing view and of the
// message's key.

#pragma once

#include <LibCore/Identifier.h>
#include <LibMessages/PeerMessages.h>
#include <LibMessages/Reason.h>
#include <LibState/RoutingView.h>

#include <cstdint>

namespace almondwing {

enum class RouteKind : std::uint8_t {
    DispatchHere, // This instance is the dispatcher of the target.
    ForwardToInstance, // Another instance is.
    NoRoute, // The service exists, but nobody can take the message now.
    UnknownService,
};

struct Route
{
    RouteKind kind = RouteKind::UnknownService;
    TargetId target;
    InstanceId instance;
    Reason reason = Reason::None; // For NoRoute.

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

// The service and the hash that selects the bucket of a message.
MessageKey keyOf(CallerMessage const &message);

// The route of a message that came from a caller.
Route chooseRoute(RoutingView const &view, InstanceId self, MessageKey key);

// The route to the dispatcher of a given target, for forwarded messages.
Route chooseRouteToTarget(RoutingView const &view, InstanceId self, TargetId target);

// Bounds forwarding loops while instances have different views: two searches of up to 8 candidates, the way
// to the dispatcher and spills.
constexpr std::uint8_t maxHops = 24;

enum class ForwardDecisionKind : std::uint8_t { HandleHere, Forward, Refuse, Drop };

// What to do with a message of a caller that arrived at this instance, from the fabric or from another
// instance.
struct ForwardDecision
{
    ForwardDecisionKind kind = ForwardDecisionKind::Drop;
    TargetId target; // For HandleHere.
    InstanceId instance; // For Forward.
    Reason reason = Reason::None; // For Refuse and Drop.
    Forwarded forwarded; // As it is to be handled or sent on.

    friend bool operator==(ForwardDecision const &, ForwardDecision const &) = default;
};

// A message from the fabric is a Forwarded with purpose Deliver. Each instance on its way looks it up in its
// own table, so that the dispatcher that opens a flow agrees that the bucket is its own. While instances have
// different views, a message may be passed on several times; it is refused after maxHops.
ForwardDecision decideForwarded(RoutingView const &view, InstanceId self, Forwarded forwarded);

} // namespace almondwing
