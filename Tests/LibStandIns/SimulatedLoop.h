// A queue of scheduled actions in simulated time, so that tests don't depend on a clock.

#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <map>
#include <utility>

namespace almondwing {

class SimulatedLoop
{
public:
    void schedule(Duration delay, std::function<void()> action)
    {
        this->actions.emplace(this->time + delay, std::move(action));
    }

    Timestamp now() const { return this->time; }

    void runFor(Duration duration)
    {
        Timestamp const end = this->time + duration;
        while (!this->actions.empty() && this->actions.begin()->first <= end) {
            auto const action = this->actions.extract(this->actions.begin());
            this->time = action.key();
            action.mapped()();
        }
        this->time = end;
    }

private:
    Timestamp time{1h}; // Not zero, so that tests detect time points that were never set.
    std::multimap<Timestamp, std::function<void()>> actions; // Actions of equal time run in insertion order.
};

} // namespace almondwing
