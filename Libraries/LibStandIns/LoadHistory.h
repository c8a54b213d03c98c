// The load of a target over time, so that its load report can lag behind the current load.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <mutex>

namespace almondwing {

struct TargetLoad
{
    // Slots in use. A run uses a slot from its start until the last burst of its answer, or until it ends
    // without an answer.
    std::uint32_t running = 0;
    std::uint32_t openFlows = 0;

    friend bool operator==(TargetLoad const &, TargetLoad const &) = default;
};

class LoadHistory
{
public:
    void add(Timestamp now, TargetLoad load);

    // Returns the load at the given time, or the oldest known load if the history does not reach that far
    // back.
    TargetLoad at(Timestamp time) const;

private:
    struct Sample
    {
        Timestamp time;
        TargetLoad load;
    };

    mutable std::mutex mutex;
    std::deque<Sample> samples; // Sorted by time; guarded by the mutex.
};

} // namespace almondwing
