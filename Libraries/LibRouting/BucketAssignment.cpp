// Implements weighted rendezvous hashing with a cap on the share of a target.
// The weighting is the logarithmic method of Schindelhauer and Schomaker (2005).

#include <LibRouting/BucketAssignment.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace almondwing {

namespace {

// A uniform number in (0, 1) for the pair, the same on every instance.
double uniformOf(TargetId target, std::size_t bucket)
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

// The target with the highest score that has room; the limits add up to more than all buckets, so there is
// one.
std::uint16_t bestWithRoom(std::span<WeightedTarget const> targets, std::span<std::size_t const> room,
                           std::size_t bucket)
{
    std::uint16_t best = noTarget;
    double bestScore = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (room[index] == 0)
            continue;
        double const score = -targets[index].weight / std::log(uniformOf(targets[index].id, bucket));
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
    std::vector<std::size_t> room = bucketLimits(targets, totalWeight);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        std::uint16_t const index = bestWithRoom(targets, room, bucket);
        --room[index];
        buckets[bucket] = index;
    }
    return buckets;
}

} // namespace almondwing
