// Spreads the registry of targets between control instances: changes at once, heartbeats about once a second,
// each as differences to what the peer has confirmed.

#pragma once

#include <LibFrontEnd/HttpConnection.h>
#include <LibNode/ActivityBoard.h>
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

struct SpreaderSettings
{
    Endpoint self;
    std::string failureDomain;
    std::uint64_t boot = 0; // Of this process.
    Duration heartbeatRound = 1s; // A peer gets the heartbeats of targets this often.
    Duration callTimeout =
        400ms; // Links between failure domains take 0.5 ms; the rest is for a slow process.
    Duration peerLifetime = 1500ms; // A peer counts as heard for so long after its latest sign of life.
    // Further changes follow with the next call. So many take about 30 KB, which a slow process reads within
    // the timeout also when all its peers send as much.
    std::size_t targetsInExchange = 250;

    friend bool operator==(SpreaderSettings const &, SpreaderSettings const &) = default;
};

class RegistrySpreader
{
public:
    RegistrySpreader(IoRuntime &ioRuntime, SpreaderSettings spreaderSettings, TargetRegistry &targetRegistry,
                     PeerDirectory &peerDirectory, ActivityBoard &activityBoard,
                     std::function<Cell<GroupFlows>::Snapshot()> ownFlowsHook);

    // Sends what is due; called several times a second, and at once after a change.
    void spread(Timestamp now);

    RegistryExchangeReply handle(RegistryExchange const &exchange, Timestamp now);

    // Calls `done` when the peers that were heard lately have the registry as it is now, with how many of the
    // control instances do, this one included.
    struct SpreadResult
    {
        std::size_t holders = 1;
        std::size_t known = 1; // Control instances that were heard lately, this one included.

        friend bool operator==(SpreadResult const &, SpreadResult const &) = default;
    };
    void whenSpread(Timestamp deadline, std::function<void(SpreadResult)> done);

private:
    // The state of one peer; all under its own lock.
    struct PeerLink
    {
        explicit PeerLink(IoRuntime &runtime, Endpoint endpoint) : link(runtime, endpoint) { }

        HttpConnection link;
        std::mutex mutex;
        std::uint64_t boot = 0; // Of the peer's process, as it said last.
        std::uint64_t confirmed = 0; // Changes up to this generation have reached that process.
        std::uint64_t heardConfirmed = 0; // Heartbeats likewise.
        bool isCalling = false;
        Timestamp lastRound;
        std::vector<Endpoint> hears;
    };

    struct Waiting
    {
        std::uint64_t generation = 0;
        Timestamp deadline;
        std::function<void(SpreadResult)> done;
    };

    std::shared_ptr<PeerLink> linkTo(Endpoint peer);
    void spreadTo(ControlPeer const &peer, Timestamp now);
    RegistryExchange exchangeFor(PeerLink const &link, RegistryChanges changes, bool isRound,
                                 Timestamp now) const;
    void noteReply(Endpoint peer, PeerLink &link, std::uint64_t sentUpTo, bool wasRound,
                   absl::StatusOr<HttpResponse> const &response);
    void resolveWaiting(Timestamp now);
    bool isHeard(ControlPeer const &peer, Timestamp now) const;

    IoRuntime &runtime;
    SpreaderSettings settings;
    TargetRegistry &registry;
    PeerDirectory &directory;
    ActivityBoard &activity;
    std::function<Cell<GroupFlows>::Snapshot()> ownFlows;

    std::mutex linksMutex; // Guards links.
    std::map<Endpoint, std::shared_ptr<PeerLink>> links;
    std::mutex waitingMutex; // Guards waiting.
    std::vector<Waiting> waiting;
};

} // namespace almondwing
