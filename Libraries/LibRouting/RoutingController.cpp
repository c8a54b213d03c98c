// Implements the building of routing views.

#include <LibRouting/RoutingController.h>

#include <LibRouting/BucketAssignment.h>
#include <LibState/RampLevel.h>
#include <LibState/Rendezvous.h>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondwing {

namespace {

using MembersByDomain = std::map<std::string, std::vector<MemberRecord>>;

MembersByDomain groupByDomain(std::vector<MemberRecord> const &members)
{
    MembersByDomain groups;
    for (MemberRecord const &member : members)
        groups[member.failureDomain].push_back(member);
    return groups;
}

// What the manifest says, indexed for the build of one view.
struct ManifestIndex
{
    std::unordered_map<ServiceId, Service const *> services;
    std::unordered_map<std::string, TargetPool const *> pools;
    std::unordered_map<std::string, FailureDomainState> domainStates;
};

ManifestIndex indexManifest(Manifest const &manifest)
{
    ManifestIndex index;
    for (Service const &service : manifest.services)
        index.services.emplace(ServiceId::fromName(service.name), &service);
    for (TargetPool const &pool : manifest.pools)
        index.pools.emplace(pool.name, &pool);
    for (FailureDomain const &domain : manifest.failureDomains)
        index.domainStates.emplace(domain.name, domain.state);
    return index;
}

RoutedTarget routeTarget(TargetRecord const &record, TargetLimits fullLimits, MembersByDomain const &members)
{
    RoutedTarget routed{.record = record,
                        .limits = limitsAtLevel(fullLimits, record.rampLevel),
                        .fullLimits = fullLimits,
                        .dispatcher = {},
                        .replicaGroup = {}};
    auto const group = members.find(record.failureDomain);
    if (group == members.end())
        return routed;
    routed.dispatcher = chooseDispatcher(record.id, record.failureDomain, group->second);
    routed.replicaGroup = chooseReplicaGroup(record.id, record.failureDomain, group->second);
    return routed;
}

bool takesNewWork(RoutedTarget const &target, Manifest const &manifest, ManifestIndex const &index)
{
    if (target.dispatcher.isNone())
        return false;
    if (target.record.state != TargetState::Starting && target.record.state != TargetState::Warm)
        return false;
    if (std::ranges::binary_search(manifest.drainingTargets, target.record.name))
        return false;
    auto const domain = index.domainStates.find(target.record.failureDomain);
    return domain != index.domainStates.end() && domain->second == FailureDomainState::InService;
}

std::vector<double> weighTargets(std::vector<RoutedTarget> const &targets, Manifest const &manifest,
                                 ManifestIndex const &index)
{
    std::vector<double> weights;
    weights.reserve(targets.size());
    for (RoutedTarget const &target : targets)
        weights.push_back(takesNewWork(target, manifest, index) ? target.limits.connections : 0);
    return weights;
}

BucketArray assignBucketsOf(ServiceRoutes const &routes)
{
    std::vector<WeightedTarget> weighted;
    weighted.reserve(routes.targets.size());
    for (std::size_t index = 0; index < routes.targets.size(); ++index)
        weighted.push_back(
            WeightedTarget{.id = routes.targets[index].record.id, .weight = routes.weights[index]});
    return assignBuckets(weighted);
}

// Whether the previous buckets can be kept, because the same targets have the same weights.
bool hasSameWeights(ServiceRoutes const &previous, ServiceRoutes const &next)
{
    auto const idOf = [](RoutedTarget const &target) { return target.record.id; };
    return previous.weights == next.weights
        && std::ranges::equal(previous.targets, next.targets, {}, idOf, idOf);
}

bool hasExpiredMoves(ServiceRoutes const &routes, Timestamp now)
{
    return std::ranges::any_of(routes.recentMoves,
                               [now](BucketMove const &move) { return now - move.at > bucketMoveRetention; });
}

TargetId targetIdOf(ServiceRoutes const &routes, std::size_t bucket)
{
    RoutedTarget const *const target = routes.targetOfBucket(static_cast<std::uint16_t>(bucket));
    return target == nullptr ? TargetId{} : target->record.id;
}

std::vector<BucketMove> movesBetween(ServiceRoutes const &previous, ServiceRoutes const &next, Timestamp now)
{
    std::vector<BucketMove> moves;
    for (BucketMove const &move : previous.recentMoves) {
        if (now - move.at <= bucketMoveRetention)
            moves.push_back(move);
    }
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        TargetId const before = targetIdOf(previous, bucket);
        if (before != targetIdOf(next, bucket) && !before.isNone())
            moves.push_back(
                BucketMove{.bucket = static_cast<std::uint16_t>(bucket), .previous = before, .at = now});
    }
    std::ranges::stable_sort(moves, {}, &BucketMove::bucket);
    return moves;
}

std::shared_ptr<ServiceRoutes const> buildRoutes(std::shared_ptr<ServiceRoutes const> const &previous,
                                                 Service const &service, std::vector<RoutedTarget> targets,
                                                 Manifest const &manifest, ManifestIndex const &index,
                                                 Timestamp now)
{
    auto routes = std::make_shared<ServiceRoutes>();
    routes->id = ServiceId::fromName(service.name);
    routes->name = service.name;
    routes->address = service.address;
    routes->targets = std::move(targets);
    std::ranges::sort(routes->targets, {}, [](RoutedTarget const &target) { return target.record.id; });
    routes->weights = weighTargets(routes->targets, manifest, index);
    if (previous == nullptr) {
        routes->buckets = assignBucketsOf(*routes);
        return routes;
    }
    bool const keepsBuckets = hasSameWeights(*previous, *routes);
    if (keepsBuckets && previous->targets == routes->targets && previous->address == routes->address
        && !hasExpiredMoves(*previous, now))
        return previous;
    routes->buckets = keepsBuckets ? previous->buckets : assignBucketsOf(*routes);
    routes->recentMoves = movesBetween(*previous, *routes, now);
    return routes;
}

} // namespace

RoutingView buildRoutingView(RoutingView const &previous, Configuration const &configuration,
                             std::vector<MemberRecord> const &members,
                             std::vector<TargetRecord> const &targets, Timestamp now)
{
    Manifest const &manifest = configuration.manifest;
    ManifestIndex const index = indexManifest(manifest);
    MembersByDomain const membersByDomain = groupByDomain(members);

    std::unordered_map<ServiceId, std::vector<RoutedTarget>> targetsByService;
    RoutingView view;
    view.configurationVersion = configuration.version;
    for (TargetRecord const &record : targets) {
        auto const service = index.services.find(record.service);
        if (service == index.services.end() || record.state == TargetState::Gone)
            continue;
        TargetPool const &pool = *index.pools.at(service->second->pool);
        targetsByService[record.service].push_back(routeTarget(record, pool.limits, membersByDomain));
        view.serviceOfTarget.emplace(record.id, record.service);
    }
    for (auto const &[id, service] : index.services) {
        auto const before = previous.services.find(id);
        view.services.emplace(id,
                              buildRoutes(before == previous.services.end() ? nullptr : before->second,
                                          *service, std::move(targetsByService[id]), manifest, index, now));
    }
    return view;
}

RoutingController::RoutingController(Blackboard &sharedBlackboard) : blackboard(sharedBlackboard) { }

RoutingController::InputGenerations RoutingController::currentGenerations() const
{
    return InputGenerations{.members = this->blackboard.members.generation(),
                            .targets = this->blackboard.targets.generation(),
                            .configurationVersion = this->blackboard.configuration.read()->version};
}

void RoutingController::refresh(Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    // The generations are read before the inputs: a change in between is seen again by the next call.
    InputGenerations const generations = this->currentGenerations();
    auto const previous = this->blackboard.routingView.read();
    bool const mustForget = std::ranges::any_of(
        previous->services, [now](auto const &entry) { return hasExpiredMoves(*entry.second, now); });
    if (generations == this->lastBuilt && !mustForget)
        return;

    std::vector<MemberRecord> members;
    for (auto &[id, member] : this->blackboard.members.entries())
        members.push_back(std::move(member));
    std::vector<TargetRecord> targets;
    for (auto &[id, target] : this->blackboard.targets.entries())
        targets.push_back(std::move(target));
    auto const configuration = this->blackboard.configuration.read();
    this->blackboard.routingView.update([&](RoutingView const &current) {
        return buildRoutingView(current, *configuration, members, targets, now);
    });
    this->lastBuilt = generations;
}

} // namespace almondwing
