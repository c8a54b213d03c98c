// Implements the explanation of routes.

#include <LibInstance/Explanation.h>

#include <LibMessages/StateNames.h>
#include <LibRouting/ClaimController.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

std::string instanceName(Blackboard const &blackboard, InstanceId instance)
{
    auto const member = blackboard.members.read(instance);
    if (member)
        return member->value.name;
    auto const status = blackboard.ownStatus.read();
    return status->self.id == instance ? status->self.name : std::string();
}

void explainTarget(Blackboard const &blackboard, RoutedTarget const &target, Explanation &explanation)
{
    explanation.target = target.record.name;
    explanation.targetFailureDomain = target.record.failureDomain;
    explanation.dispatcher = instanceName(blackboard, target.dispatcher);
    explanation.reasons.push_back(fmt::format("The bucket table names target {} in failure domain {}; it is "
                                              "{} at ramp level {} with limits of {} slots and "
                                              "{} connections.",
                                              target.record.name, target.record.failureDomain,
                                              targetStateName(target.record.state), target.record.rampLevel,
                                              target.limits.slots, target.limits.connections));
    if (target.dispatcher.isNone())
        explanation.reasons.push_back(
            fmt::format("No instance of failure domain {} is alive, so nobody dispatches for the target.",
                        target.record.failureDomain));
    else
        explanation.reasons.push_back(fmt::format("Instance {} dispatches for the target: it is the first of "
                                                  "the rendezvous order over the live instances "
                                                  "of the failure domain.",
                                                  explanation.dispatcher));
}

} // namespace

Explanation explainRoute(Blackboard const &blackboard, std::string const &service, std::uint64_t hash)
{
    auto const view = blackboard.routingView.read();
    ServiceId const serviceId = ServiceId::fromName(service);
    Explanation explanation{
        .service = service, .bucket = bucketOf(hash), .configurationVersion = view->configurationVersion};
    ServiceRoutes const *const routes = view->findService(serviceId);
    if (routes == nullptr) {
        explanation.reasons.push_back(fmt::format("Service {} is not in configuration version {}.", service,
                                                  view->configurationVersion));
        return explanation;
    }
    RoutedTarget const *const target = routes->targetOfBucket(explanation.bucket);
    if (target == nullptr)
        explanation.reasons.push_back(fmt::format(
            "None of the {} known targets of the service takes new work.", routes->targets.size()));
    else
        explainTarget(blackboard, *target, explanation);
    TargetId const assignedTarget = target == nullptr ? TargetId{} : target->record.id;
    for (TargetId const holder :
         candidateTargets(blackboard, serviceId, explanation.bucket, assignedTarget)) {
        RoutedTarget const *const other = view->findTarget(holder);
        if (other == nullptr)
            continue;
        explanation.claimedBy.push_back(other->record.name);
        explanation.reasons.push_back(fmt::format("Target {} claims the bucket, so flows and requests opened "
                                                  "before the table changed are searched there.",
                                                  other->record.name));
    }
    return explanation;
}

} // namespace almondwing
