// Assigns the buckets of a service to targets. A pure function of the targets and their weights, so that
// instances with the same records build the same table without talking to each other.

#pragma once

#include <LibCore/Identifier.h>
#include <LibState/RoutingView.h>

#include <array>
#include <cstdint>
#include <span>

namespace almondwing {

struct WeightedTarget
{
    TargetId id;
    double weight = 0; // Zero takes no buckets.

    friend bool operator==(WeightedTarget const &, WeightedTarget const &) = default;
};

using BucketArray = std::array<std::uint16_t, bucketCount>;

// A target gets at most this multiple of its fair share of buckets. Plain rendezvous hashing spreads 4096
// buckets over 15 targets with a standard deviation of 6% and would exceed the imbalance of 1.25 with flows
// on top.
constexpr double shareCap = 1.1;

// Weighted rendezvous hashing with a cap. Entries are indexes into `targets`, or noTarget if no target has
// weight.
BucketArray assignBuckets(std::span<WeightedTarget const> targets);

} // namespace almondwing
