// Look-ups in the routing view.

#include <LibState/RoutingView.h>

#include <algorithm>

namespace almondwing {

bool ServiceRoutes::hasMovedWithin(std::uint16_t bucket, Duration window, Timestamp now) const
{
    auto const moves = std::ranges::equal_range(this->recentMoves, bucket, {}, &BucketMove::bucket);
    return std::ranges::any_of(moves, [&](BucketMove const &move) { return now - move.at < window; });
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
