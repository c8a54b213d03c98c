// The load of a target over time, so that its report can lag behind the truth.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <mutex>

namespace almondwing {

// Invariant: running is the number of tries in state Running or Answering, openFlows the number of flows.
struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint32_t openFlows = 0;

    friend bool operator==(TargetLoad const &, TargetLoad const &) = default;
};

class LoadHistory
{
public:
    void add(Timestamp now, TargetLoad load);

    // The load as it stood at that time; the oldest known one if that is further back.
    TargetLoad at(Timestamp time) const;

private:
    struct Sample
    {
        Timestamp time;
        TargetLoad load;
    };

    mutable std::mutex mutex;
    std::deque<Sample> samples; // In ascending order of time; guarded by the mutex.
};

} // namespace almondwing
