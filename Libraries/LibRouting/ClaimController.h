// Publishes the claims of the targets that this instance dispatches for, and keeps the claims of others.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace almondwing {

// Names the buckets in which this instance holds request records of a target, in any order.
using RequestBuckets = std::function<std::vector<std::uint16_t>(TargetId)>;

// A Forwarded message has room for this many candidates. Flows of one bucket are rarely at more than three
// targets.
constexpr std::size_t maximumCandidates = 8;

// Other targets that may have a flow or request of the bucket: those that claim it, and those that had it a
// short time ago and may not have claimed it yet.
std::vector<TargetId> candidateTargets(Blackboard const &blackboard, ServiceId service, std::uint16_t bucket,
                                       TargetId except);

struct ClaimReceiver
{
    InstanceId instance;
    std::uint64_t incarnation = 0;

    friend bool operator==(ClaimReceiver const &, ClaimReceiver const &) = default;
};

class ClaimController
{
public:
    ClaimController(Blackboard &blackboard, Outbox outbox, RequestBuckets requestBuckets);

    void handleClaim(ClaimUpdate const &update);

    // Recomputes the claims when the routing view has changed, and once a second for flows that have ended.
    void tick(Timestamp now);

private:
    struct Published
    {
        std::vector<std::uint16_t> buckets;
        std::vector<ClaimReceiver> receivers;
        std::uint64_t epoch =
            0; // Receivers keep the claim with the highest epoch, so a new one is sent again.
        Timestamp lastSent;
        std::uint32_t repeats = 0; // Sends of the present content.
    };

    void publishIfNeeded(RoutedTarget const &target, ServiceRoutes const &routes,
                         std::vector<std::uint16_t> buckets, Timestamp now);
    void passOnClaims(RoutingView const &view, InstanceId self);
    bool isInheriting(TargetId target, Timestamp now) const;
    bool isBusy() const; // Whether a look is due soon. The mutex is held.
    void keepReturnedBuckets(TargetId target, ServiceRoutes const &routes,
                             std::vector<std::uint16_t> &buckets, Timestamp now) const;
    void addPossibleBuckets(RoutedTarget const &target, ServiceRoutes const &routes,
                            std::vector<std::uint16_t> &buckets) const;

    Blackboard &blackboard;
    Outbox outbox;
    RequestBuckets requestBuckets;
    mutable std::mutex mutex; // Guards the members below; not held during a send.
    std::shared_ptr<RoutingView const> lastView;
    std::uint64_t lastExceptions = 0;
    Timestamp lastComputed;
    std::uint64_t counter = 0;
    std::unordered_map<TargetId, Published> published;
    std::unordered_map<TargetId, std::uint32_t>
        passOnsLeft; // Of targets dispatched here now or a short time ago.
    bool hasInheriting = false; // A claim waits for what the former dispatcher knows.
};

} // namespace almondwing
