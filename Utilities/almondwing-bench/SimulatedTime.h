// Events in simulated time, for experiments whose parts keep different intervals.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace almondwing {

class SimulatedTime
{
public:
    using Work = std::function<void()>;

    Timestamp now() const { return this->current; }

    void after(Duration delay, Work work)
    {
        this->events.emplace(std::pair(this->current + delay, this->nextNumber++), std::move(work));
    }

    // Without an end: the work runs as long as the time does.
    void every(Duration first, Duration interval, Work const &work)
    {
        this->after(first, [this, interval, work] {
            work();
            this->every(interval, interval, work);
        });
    }

    void run(Duration duration)
    {
        Timestamp const end = this->current + duration;
        while (!this->events.empty() && this->events.begin()->first.first <= end)
            this->runNext();
        this->current = end;
    }

    // Returns whether the condition became true within the limit.
    bool runUntil(std::function<bool()> const &condition, Duration limit)
    {
        Timestamp const end = this->current + limit;
        while (!condition()) {
            if (this->events.empty() || this->events.begin()->first.first > end)
                return false;
            this->runNext();
        }
        return true;
    }

private:
    void runNext()
    {
        auto const event = this->events.extract(this->events.begin());
        this->current = event.key().first;
        event.mapped()();
    }

    Timestamp current{1000s};
    std::uint64_t nextNumber = 0; // Keeps the order of events of the same time.
    std::map<std::pair<Timestamp, std::uint64_t>, Work> events;
};

} // namespace almondwing
