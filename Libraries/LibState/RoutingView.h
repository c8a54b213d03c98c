// An immutable snapshot of the targets, their dispatchers and the bucket table, which assigns each bucket of
// each service to a target. It is rebuilt when targets, members or the configuration change, or when a recent
// bucket move expires; the packet path only reads it.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibManifest/Manifest.h>
#include <LibMessages/PeerMessages.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondwing {

// With 4096 buckets the rounding error of shares is below 1% for 15 targets, and a bitmap of claims has 512
// bytes.
constexpr std::size_t bucketCount = 4096;

// Returns the bucket of a flow or request, given the hash of its FlowKey or RequestKey.
constexpr std::uint16_t bucketOf(std::uint64_t hash)
{
    return static_cast<std::uint16_t>(mixBits(hash) % bucketCount);
}

// A target with its routing data.
struct RoutedTarget
{
    TargetRecord record;
    TargetLimits limits; // At the current ramp level.
    TargetLimits fullLimits; // At the highest ramp level, from the manifest.
    InstanceId dispatcher; // None if no instance of its failure domain is alive or suspected.
    std::vector<InstanceId> replicaGroup; // In rendezvous order.

    friend bool operator==(RoutedTarget const &, RoutedTarget const &) = default;
};

constexpr std::uint16_t noTarget = 0xffff;

// A bucket that was recently assigned to another target.
struct BucketMove
{
    std::uint16_t bucket = 0;
    TargetId previous; // Never none: a bucket without a target has no flows to search for.
    Timestamp at;

    friend bool operator==(BucketMove const &, BucketMove const &) = default;
};

// How long a move counts as recent. After this time, claims for the bucket have reached all dispatchers of
// the service.
constexpr Duration bucketMoveRetention = 10s;

struct ServiceRoutes
{
    ServiceId id;
    std::string name;
    Endpoint address;
    std::vector<RoutedTarget> targets; // All targets that are not gone, sorted by id.
    std::vector<double> weights; // Parallel to targets; the buckets were assigned in proportion to them.
    std::array<std::uint16_t, bucketCount> buckets{}; // Indexes into targets, or noTarget.
    std::vector<BucketMove> recentMoves; // Sorted by bucket; none is older than bucketMoveRetention.

    RoutedTarget const *targetOfBucket(std::uint16_t bucket) const
    {
        std::uint16_t const index = this->buckets[bucket];
        return index == noTarget ? nullptr : &this->targets[index];
    }

    // Returns the index of the target in `targets`, or the number of targets if it is not there. `bucket` is
    // the bucket of the flow or request. Most flows are at the target of their bucket, which makes the binary
    // search in `targets` unnecessary.
    std::size_t indexOfTarget(TargetId target, std::uint16_t bucket) const;

    // Whether this instance moved the bucket to another target within the window before `now`.
    bool hasMovedWithin(std::uint16_t bucket, Duration window, Timestamp now) const;

    friend bool operator==(ServiceRoutes const &, ServiceRoutes const &) = default;
};

struct RoutingView
{
    std::uint64_t configurationVersion = 0;
    std::unordered_map<ServiceId, std::shared_ptr<ServiceRoutes const>> services;
    std::unordered_map<TargetId, ServiceId> serviceOfTarget;

    ServiceRoutes const *findService(ServiceId service) const
    {
        auto const found = this->services.find(service);
        return found == this->services.end() ? nullptr : found->second.get();
    }

    RoutedTarget const *findTarget(TargetId target) const;

    // A faster look-up for the packet path, which needs the service of the target and the bucket of the flow
    // or request.
    RoutedTarget const *findTarget(ServiceId service, std::uint16_t bucket, TargetId target) const;
};

} // namespace almondwing
