// Implements the choice of the next hop for a message.

#include <LibRouting/RouteChoice.h>

#include <utility>

namespace almondwing {

namespace {

Route routeTo(RoutedTarget const &target, InstanceId self)
{
    if (target.dispatcher.isNone())
        return Route{.kind = RouteKind::NoRoute,
                     .target = target.record.id,
                     .reason = Reason::FailureDomainUnreachable};
    return Route{.kind = target.dispatcher == self ? RouteKind::DispatchHere : RouteKind::ForwardToInstance,
                 .target = target.record.id,
                 .instance = target.dispatcher};
}

template<typename Key>
MessageKey messageKey(Key const &key)
{
    return MessageKey{.service = key.service, .hash = std::hash<Key>{}(key)};
}

} // namespace

MessageKey keyOf(CallerMessage const &message)
{
    return std::visit([](auto const &content) { return messageKey(content.key); }, message);
}

Route chooseRoute(RoutingView const &view, InstanceId self, MessageKey key)
{
    ServiceRoutes const *const routes = view.findService(key.service);
    if (routes == nullptr)
        return Route{.kind = RouteKind::UnknownService, .reason = Reason::UnknownService};
    RoutedTarget const *const target = routes->targetOfBucket(bucketOf(key.hash));
    if (target == nullptr)
        return Route{.kind = RouteKind::NoRoute, .reason = Reason::NoTarget};
    return routeTo(*target, self);
}

Route chooseRouteToTarget(RoutingView const &view, InstanceId self, TargetId target)
{
    RoutedTarget const *const routed = view.findTarget(target);
    if (routed == nullptr)
        return Route{.kind = RouteKind::NoRoute, .target = target, .reason = Reason::TargetLost};
    return routeTo(*routed, self);
}

namespace {

// Returns the route to the first candidate that has a dispatcher, or else to the target of the message's
// bucket. Removes the candidates before it.
Route nextRoute(RoutingView const &view, InstanceId self, Forwarded &forwarded)
{
    bool const isSearchOrSpill =
        forwarded.purpose == ForwardPurpose::Search || forwarded.purpose == ForwardPurpose::Spill;
    while (isSearchOrSpill && !forwarded.candidates.empty()) {
        Route const route = chooseRouteToTarget(view, self, forwarded.candidates.front());
        if (route.kind == RouteKind::DispatchHere || route.kind == RouteKind::ForwardToInstance)
            return route;
        forwarded.candidates.erase(forwarded.candidates.begin());
        forwarded.hasSkippedCandidate = true;
    }
    return chooseRoute(view, self, keyOf(forwarded.message));
}

} // namespace

ForwardDecision decideForwarded(RoutingView const &view, InstanceId self, Forwarded original)
{
    ForwardDecision decision{.target = {}, .instance = {}, .forwarded = std::move(original)};
    Forwarded &forwarded = decision.forwarded;
    bool const hadCandidates = !forwarded.candidates.empty();
    Route const route = nextRoute(view, self, forwarded);
    // A search or spill without a reachable candidate is decided by the dispatcher of the bucket's target.
    if (hadCandidates && forwarded.candidates.empty())
        forwarded.purpose = ForwardPurpose::SearchEnded;
    decision.reason = route.reason;
    switch (route.kind) {
    case RouteKind::UnknownService:
        decision.kind = ForwardDecisionKind::Drop;
        break;
    case RouteKind::NoRoute:
        decision.kind = ForwardDecisionKind::Refuse;
        break;
    case RouteKind::DispatchHere:
        decision.kind = ForwardDecisionKind::HandleLocally;
        decision.target = route.target;
        if (!forwarded.candidates.empty())
            forwarded.candidates.erase(forwarded.candidates.begin());
        break;
    case RouteKind::ForwardToInstance:
        if (forwarded.hops >= maxHops) {
            decision.kind = ForwardDecisionKind::Refuse;
            decision.reason = Reason::RouteUnsettled;
            break;
        }
        decision.kind = ForwardDecisionKind::Forward;
        decision.instance = route.instance;
        ++forwarded.hops;
        break;
    }
    return decision;
}

} // namespace almondwing
