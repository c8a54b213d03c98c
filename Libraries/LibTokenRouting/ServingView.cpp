// Implements the construction of serving views and the look-ups in them.

#include <LibTokenRouting/ServingView.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// Marks the targets that are Gone and whose endpoint belongs to a target of a defined service that started
// later.
void markEnded(std::vector<ViewTarget> &targets, std::set<std::string> const &definedServices)
{
    absl::flat_hash_map<Endpoint, std::int64_t> latestStarts; // Only at endpoints of targets that are Gone.
    for (ViewTarget const &target : targets) {
        if (target.target.state == RegisteredState::Gone)
            latestStarts.emplace(target.target.endpoint, 0);
    }
    if (latestStarts.empty())
        return;
    for (ViewTarget const &target : targets) {
        auto const latest = latestStarts.find(target.target.endpoint);
        if (latest != latestStarts.end() && definedServices.contains(target.target.service))
            latest->second = std::max(latest->second, target.target.reportVersion.startUnixMilliseconds);
    }
    for (ViewTarget &target : targets)
        target.hasEnded = target.target.state == RegisteredState::Gone
            && latestStarts.at(target.target.endpoint) > target.target.reportVersion.startUnixMilliseconds;
}

} // namespace

std::string_view nameOf(ResetReason reason)
{
    switch (reason) {
    case ResetReason::NoRoute:
        return "no-route";
    case ResetReason::NoTarget:
        return "no-target";
    case ResetReason::TargetEnded:
        return "target-ended";
    case ResetReason::TargetUnreachable:
        return "target-unreachable";
    }
    return "";
}

std::string_view nameOf(DropReason reason)
{
    switch (reason) {
    case DropReason::NotFromCaller:
        return "foreign";
    case DropReason::UnknownFlow:
        return "unknown-flow";
    }
    return "";
}

FlowRoute const *ServingView::routeTo(Endpoint endpoint) const
{
    auto const entry = this->routes.find(endpoint);
    return entry == this->routes.end() ? nullptr : &entry->second;
}

ViewTarget const *ServingView::targetOf(TargetToken token) const
{
    auto const entry = this->targets.find(token);
    return entry == this->targets.end() ? nullptr : &entry->second;
}

bool ServingView::hasStoppedHeartbeats(ViewTarget const &target) const
{
    return target.target.state == RegisteredState::Gone
        || (target.isOverdue && this->overdueTargets * 2 < this->liveTargets);
}

ServingView makeServingView(FlowConfiguration const &configuration, std::vector<ViewTarget> targets,
                            std::set<std::string> domainsTakenOut)
{
    ServingView view{.configurationVersion = configuration.version,
                     .domainsTakenOut = std::move(domainsTakenOut),
                     .idleTimeout = configuration.idleTimeout};
    for (FlowRoute const &route : configuration.routes)
        view.routes.emplace(route.endpoint, route);
    markEnded(targets, configuration.services);
    // A target whose token is used by a target that started earlier gets no flows.
    std::ranges::sort(targets, {}, [](ViewTarget const &target) {
        return std::pair(target.target.reportVersion.startUnixMilliseconds, target.target.number);
    });
    for (ViewTarget &target : targets) {
        target.token = tokenOf(target.target.number);
        if (!view.targets.emplace(target.token, target).second)
            continue;
        view.tokensOfService[target.target.service].push_back(target.token);
        if (target.target.state == RegisteredState::Gone
            || !configuration.services.contains(target.target.service))
            continue;
        ++view.liveTargets;
        if (target.isOverdue)
            ++view.overdueTargets;
    }
    return view;
}

} // namespace almondwing
