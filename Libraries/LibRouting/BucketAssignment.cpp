// Implements weighted rendezvous hashing with a cap on the share of each target. The weighting is the
// logarithmic method of Schindelhauer and Schomaker (2005).

#include <LibRouting/BucketAssignment.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace almondwing {

namespace {

// Maps the pair to a uniformly distributed number in (0, 1) that is the same on every instance.
double uniformValue(TargetId target, std::size_t bucket)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    std::uint64_t const bits = combineHashes(target.value, bucket) >> 11U;
    return (static_cast<double>(bits) + 0.5) * scale;
}

std::vector<std::size_t> bucketLimits(std::span<WeightedTarget const> targets, double totalWeight)
{
    std::vector<std::size_t> limits;
    limits.reserve(targets.size());
    for (WeightedTarget const &target : targets) {
        double const fairShare = static_cast<double>(bucketCount) * target.weight / totalWeight;
        limits.push_back(static_cast<std::size_t>(std::ceil(fairShare * shareCap)));
    }
    return limits;
}

// Returns the target with the highest score among those below their bucket limit. The limits add up to more
// than the number of buckets, so there always is one.
std::uint16_t bestTargetWithCapacity(std::span<WeightedTarget const> targets,
                                     std::span<std::size_t const> capacity, std::size_t bucket)
{
    std::uint16_t best = noTarget;
    double bestScore = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (capacity[index] == 0)
            continue;
        double const score = -targets[index].weight / std::log(uniformValue(targets[index].id, bucket));
        if (best == noTarget || score > bestScore) {
            best = static_cast<std::uint16_t>(index);
            bestScore = score;
        }
    }
    return best;
}

} // namespace

BucketArray assignBuckets(std::span<WeightedTarget const> targets)
{
    BucketArray buckets;
    buckets.fill(noTarget);
    double const totalWeight =
        std::accumulate(targets.begin(), targets.end(), 0.0,
                        [](double sum, WeightedTarget const &target) { return sum + target.weight; });
    if (totalWeight <= 0)
        return buckets;
    std::vector<std::size_t> capacity = bucketLimits(targets, totalWeight);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        std::uint16_t const index = bestTargetWithCapacity(targets, capacity, bucket);
        --capacity[index];
        buckets[bucket] = index;
    }
    return buckets;
}

} // namespace almondwing
