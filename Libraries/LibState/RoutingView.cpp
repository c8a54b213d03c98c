// Look-ups in the routing view.

#include <LibState/RoutingView.h>

#include <algorithm>

namespace almondwing {

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
