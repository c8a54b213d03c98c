// Publishes the claims of the targets that this instance dispatches for, and stores the claims that it
// receives. A claim lists the buckets in which a target has flows or requests although the bucket table
// assigns these buckets to another target, so that dispatchers know where to search for a flow without a
// record.

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

// Returns the buckets in which this instance holds request records of a target, in any order.
using RequestBuckets = std::function<std::vector<std::uint16_t>(TargetId)>;

// A Forwarded message carries at most this many candidates. The flows of one bucket are rarely spread over
// more than three targets.
constexpr std::size_t maxSearchCandidates = 8;

// Returns at most maxSearchCandidates targets other than `except` that may have a flow or request of the
// bucket: those that claim it, and those that it was recently moved away from and may not claim yet.
std::vector<TargetId> candidateTargets(Blackboard const &blackboard, ServiceId service, std::uint16_t bucket,
                                       TargetId except);

// An instance that a claim was sent to, and the process of it that received the claim.
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

    // Recomputes the claims soon after a change of the routing view, after new exceptions and while claims
    // are still to be sent, and every few seconds otherwise, to withdraw buckets whose flows have ended.
    void tick(Timestamp now);

private:
    struct PublishedClaim
    {
        std::vector<std::uint16_t> buckets;
        std::vector<ClaimReceiver> receivers;
        // Receivers keep the claim with the highest epoch, so a claim is sent again under a new epoch.
        std::uint64_t epoch = 0;
        Timestamp lastSent;
        std::uint32_t sendCount = 0; // How often the current content was sent.
    };

    void publishIfNeeded(RoutedTarget const &target, ServiceRoutes const &routes,
                         std::vector<std::uint16_t> buckets, Timestamp now);
    void transferClaims(RoutingView const &view, InstanceId self);
    bool isAwaitingTransfer(TargetId target, Timestamp now) const;
    // Whether claims have to be sent again or transferred soon. Requires that the mutex is held.
    bool hasPendingSends() const;
    void keepReturnedBuckets(TargetId target, ServiceRoutes const &routes,
                             std::vector<std::uint16_t> &buckets, Timestamp now) const;
    void addPossibleBuckets(RoutedTarget const &target, ServiceRoutes const &routes,
                            std::vector<std::uint16_t> &buckets) const;

    Blackboard &blackboard;
    Outbox outbox;
    RequestBuckets requestBuckets;
    mutable std::mutex mutex; // Guards the members below; not held while a message is sent.
    std::shared_ptr<RoutingView const> lastView;
    std::uint64_t lastExceptions = 0;
    Timestamp lastComputed;
    std::uint64_t counter = 0;
    std::unordered_map<TargetId, PublishedClaim> published;
    // How often the claim of a target will be sent to a new dispatcher, for the targets that this instance
    // dispatches for or recently dispatched for.
    std::unordered_map<TargetId, std::uint32_t> transfersLeft;
    // Whether a claim is withheld until the previous dispatcher has transferred its claims.
    bool hasAwaitedTransfers = false;
};

} // namespace almondwing
