// Implements the look-ups in the routing view.

#include <LibState/RoutingView.h>

#include <algorithm>

namespace almondwing {

bool ServiceRoutes::hasMovedWithin(std::uint16_t bucket, Duration window, Timestamp now) const
{
    auto move = std::ranges::lower_bound(this->recentMoves, bucket, {}, &BucketMove::bucket);
    for (; move != this->recentMoves.end() && move->bucket == bucket; ++move) {
        if (now - move->at < window)
            return true;
    }
    return false;
}

std::size_t ServiceRoutes::indexOfTarget(TargetId target, std::uint16_t bucket) const
{
    std::uint16_t const assigned = this->buckets[bucket];
    if (assigned < this->targets.size() && this->targets[assigned].record.id == target)
        return assigned;
    auto const found = std::ranges::lower_bound(this->targets, target, {},
                                                [](RoutedTarget const &routed) { return routed.record.id; });
    bool const isFound = found != this->targets.end() && found->record.id == target;
    return isFound ? static_cast<std::size_t>(found - this->targets.begin()) : this->targets.size();
}

RoutedTarget const *RoutingView::findTarget(ServiceId service, std::uint16_t bucket, TargetId target) const
{
    ServiceRoutes const *const routes = this->findService(service);
    if (routes == nullptr)
        return nullptr;
    std::size_t const index = routes->indexOfTarget(target, bucket);
    return index < routes->targets.size() ? &routes->targets[index] : nullptr;
}

RoutedTarget const *RoutingView::findTarget(TargetId target) const
{
    auto const service = this->serviceOfTarget.find(target);
    if (service == this->serviceOfTarget.end())
        return nullptr;
    auto const &targets = this->services.at(service->second)->targets;
    auto const found = std::ranges::lower_bound(targets, target, {},
                                                [](RoutedTarget const &routed) { return routed.record.id; });
    return found != targets.end() && found->record.id == target ? &*found : nullptr;
}

} // namespace almondwing
