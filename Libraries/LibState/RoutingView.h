// An immutable snapshot of where each bucket of each service goes. Rebuilt when targets, members or the
// configuration change; packets only read it.

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

// 4096 buckets keep the rounding of shares under 1% for 15 targets, and a claim bitmap at 512 bytes.
constexpr std::size_t bucketCount = 4096;

// The bucket of a flow or request; `key` is the hash of its FlowKey or RequestKey.
constexpr std::uint16_t bucketOf(std::uint64_t key)
{
    return static_cast<std::uint16_t>(mixBits(key) % bucketCount);
}

// A target with what the view knows of it.
struct RoutedTarget
{
    TargetRecord record;
    TargetLimits limits; // Of the present ramp level.
    TargetLimits fullLimits; // Of a warm target, from the manifest.
    InstanceId dispatcher; // None while no instance of its failure domain is alive.
    std::vector<InstanceId> replicaGroup; // In rendezvous order.

    friend bool operator==(RoutedTarget const &, RoutedTarget const &) = default;
};

constexpr std::uint16_t noTarget = 0xffff;

// A bucket that got another target a short time ago.
struct BucketMove
{
    std::uint16_t bucket = 0;
    TargetId previous; // None if the bucket had no target.
    Timestamp at;

    friend bool operator==(BucketMove const &, BucketMove const &) = default;
};

// Moves are remembered this long: claims for the bucket have reached all dispatchers of the service by then.
constexpr Duration bucketMoveRetention = 10s;

struct ServiceRoutes
{
    ServiceId id;
    std::string name;
    Endpoint address;
    std::vector<RoutedTarget> targets; // Sorted by target id; all that are not gone.
    std::vector<double> weights; // Parallel to targets; the buckets were assigned by them.
    std::array<std::uint16_t, bucketCount> buckets{}; // Index into targets, or noTarget.
    std::vector<BucketMove> recentMoves; // Sorted by bucket; not older than bucketMoveRetention.

    RoutedTarget const *targetOfBucket(std::uint16_t bucket) const
    {
        std::uint16_t const index = this->buckets[bucket];
        return index == noTarget ? nullptr : &this->targets[index];
    }

    // The position of the target in `targets`, or the number of targets. The bucket is that of the flow which
    // the look-up is for: most flows are at the target that the table names, so the search is seldom needed.
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

    // The same for a target of a known service, with the bucket of the flow or request that it is for. Meant
    // for the path of packets.
    RoutedTarget const *findTarget(ServiceId service, std::uint16_t bucket, TargetId target) const;
};

} // namespace almondwing
