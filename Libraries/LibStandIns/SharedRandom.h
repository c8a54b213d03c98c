// A seeded random source that several threads can share.

#pragma once

#include <LibMessages/Outbox.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>

namespace almondwing {

struct LockedGenerator
{
    std::mutex mutex;
    std::mt19937_64 generator;
};

inline RandomSource makeSharedRandom(std::uint64_t seed)
{
    auto const locked = std::make_shared<LockedGenerator>();
    locked->generator.seed(seed);
    return [locked] {
        std::scoped_lock const lock(locked->mutex);
        return locked->generator();
    };
}

// Returns true with the given probability.
inline bool sampleBernoulli(double probability, RandomSource const &random)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(random()) < probability * range;
}

} // namespace almondwing
