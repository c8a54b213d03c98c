// A scheduler of events in simulated time, for experiments whose components run at different intervals.

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
    using Task = std::function<void()>;

    Timestamp now() const { return this->current; }

    void schedule(Duration delay, Task task)
    {
        this->events.emplace(std::pair(this->current + delay, this->nextSequence++), std::move(task));
    }

    // The task repeats for as long as the simulation runs; it cannot be cancelled.
    void scheduleRepeating(Duration firstDelay, Duration interval, Task const &task)
    {
        this->schedule(firstDelay, [this, interval, task] {
            task();
            this->scheduleRepeating(interval, interval, task);
        });
    }

    void run(Duration duration)
    {
        Timestamp const end = this->current + duration;
        while (!this->events.empty() && this->events.begin()->first.first <= end)
            this->runNext();
        this->current = end;
    }

    // Runs events until the condition holds. Returns false if it does not hold within the limit.
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
    // Orders events with the same time by when they were scheduled.
    std::uint64_t nextSequence = 0;
    std::map<std::pair<Timestamp, std::uint64_t>, Task> events;
};

} // namespace almondwing
