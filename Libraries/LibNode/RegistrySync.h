// Synchronizes the registry of targets between control instances. Changes are sent at once and heartbeats
// about once a second, both as deltas to what the peer has confirmed. A peer that lacks the record of a
// heartbeat, because the record expired there during a partition, asks for it with its reply.

#pragma once

#include <LibFrontEnd/HttpConnection.h>
#include <LibNode/ActivityBlackboard.h>
#include <LibNode/NodeWire.h>
#include <LibRegistry/PeerDirectory.h>
#include <LibRegistry/TargetRegistry.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace almondwing {

struct RegistrySyncSettings
{
    Endpoint self;
    std::string failureDomain;
    std::uint64_t bootId = 0; // Identifies this process.
    Duration heartbeatRoundInterval = 1s; // Interval at which a peer is sent the heartbeats of targets.
    // The latency between failure domains is 0.5 ms; the rest of the time is for a slow process.
    Duration callTimeout = 400ms;
    Duration peerTimeout = 1500ms; // A peer counts as alive for this time after the latest contact.
    // A call has at most this many changed targets; the rest follows with the next call. 250 targets take
    // about 30 KB, which a slow process reads within the timeout even if all its peers send as much.
    std::size_t maxTargetsPerExchange = 250;

    friend bool operator==(RegistrySyncSettings const &, RegistrySyncSettings const &) = default;
};

class RegistrySync
{
public:
    RegistrySync(IoRuntime &ioRuntime, RegistrySyncSettings syncSettings, TargetRegistry &targetRegistry,
                 PeerDirectory &peerDirectory, ActivityBlackboard &activityBlackboard,
                 std::function<Cell<GroupFlows>::Snapshot()> localFlowsHook);

    // Sends the changes and heartbeats that are due. Call it several times a second and after each change.
    void sync(Timestamp now);

    RegistryExchangeReply handle(RegistryExchange const &exchange, Timestamp now);

    // Both counts include this instance.
    struct SyncResult
    {
        std::size_t holders = 1; // Control instances that have the registry as of the call.
        std::size_t alive = 1; // Control instances that are alive.

        friend bool operator==(SyncResult const &, SyncResult const &) = default;
    };
    // Calls `done` once all live peers have confirmed the changes of the registry made before the call, or at
    // the deadline.
    void whenSynced(Timestamp deadline, std::function<void(SyncResult)> done);

private:
    // The state of the synchronization with one peer, guarded by its own mutex.
    struct PeerLink
    {
        explicit PeerLink(IoRuntime &runtime, Endpoint endpoint) : connection(runtime, endpoint) { }

        HttpConnection connection;
        std::mutex mutex;
        std::uint64_t bootId = 0; // Of the peer's process, by its latest reply.
        std::uint64_t confirmedGeneration = 0; // The process has the changes up to this generation.
        // The process has the heartbeats up to this generation.
        std::uint64_t confirmedHeartbeatGeneration = 0;
        bool isCallPending = false;
        Timestamp lastHeartbeatRound;
        std::vector<TargetNumber> missing; // Records that the process lacks, by its replies.
        std::vector<Endpoint> reachablePeers; // As reported by the peer.
    };

    struct Waiter
    {
        std::uint64_t generation = 0;
        Timestamp deadline;
        std::function<void(SyncResult)> done;
    };

    std::shared_ptr<PeerLink> linkTo(Endpoint peer);
    void syncPeer(ControlPeer const &peer, Timestamp now);
    RegistryExchange exchangeFor(PeerLink const &link, RegistryChanges changes, bool isHeartbeatRound,
                                 Timestamp now) const;
    // Adds the records that the peer lacks, as far as they fit into one call, and returns the others.
    std::vector<TargetNumber> addMissing(std::vector<RegisteredTarget> &targets,
                                         std::vector<TargetNumber> const &missing) const;
    void handleReply(Endpoint peer, PeerLink &link, std::uint64_t sentGeneration, bool wasHeartbeatRound,
                     absl::StatusOr<HttpResponse> const &response);
    void resolveWaiters(Timestamp now);
    bool isAlive(ControlPeer const &peer, Timestamp now) const;

    IoRuntime &runtime;
    RegistrySyncSettings settings;
    TargetRegistry &registry;
    PeerDirectory &directory;
    ActivityBlackboard &activity;
    std::function<Cell<GroupFlows>::Snapshot()> localFlows;

    std::mutex linksMutex; // Guards links.
    std::map<Endpoint, std::shared_ptr<PeerLink>> links;
    std::mutex waitersMutex; // Guards waiters.
    std::vector<Waiter> waiters;
};

} // namespace almondwing
