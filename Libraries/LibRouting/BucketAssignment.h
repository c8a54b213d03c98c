// Assigns the buckets of a service to its targets. The assignment is a pure function of the targets and their
// weights, so instances with the same target records build the same bucket table without coordination.

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
    double weight = 0; // A target with weight 0 gets no buckets.

    friend bool operator==(WeightedTarget const &, WeightedTarget const &) = default;
};

using BucketArray = std::array<std::uint16_t, bucketCount>;

// A target gets at most this multiple of its fair share of buckets. Uncapped rendezvous hashing of 4096
// buckets over 15 targets has a standard deviation of 6%, which together with the variance of flows per
// bucket would give some target more than 1.25 times its fair share of flows, the permitted maximum.
constexpr double shareCap = 1.1;

// Assigns each bucket by weighted rendezvous hashing with a cap on the share of each target. Entries are
// indexes into `targets`; all are noTarget if no target has a positive weight.
BucketArray assignBuckets(std::span<WeightedTarget const> targets);

} // namespace almondwing
