// The membership of the cluster as one instance sees it: probes, suspicion, the lease, and the dissemination
// of member and target records.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002) with incarnation numbers. All methods may be called from
// several threads. Shared state is on the blackboard; state that only this controller needs is kept in
// private fields of the same container types. The decisions are pure functions in the other files of this
// library.

#pragma once

#include <LibMembership/AntiEntropy.h>
#include <LibMembership/ControlContacts.h>
#include <LibMembership/MembershipSettings.h>
#include <LibMembership/ProbeSchedule.h>
#include <LibMessages/Outbox.h>
#include <LibState/Blackboard.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace almondwing {

// What this instance has sent for membership since it started. Bytes are counted where messages are
// encoded.
struct MembershipCounters
{
    std::uint64_t messages = 0;
    std::uint64_t memberRecords = 0;
    std::uint64_t targetRecords = 0;

    friend bool operator==(MembershipCounters const &, MembershipCounters const &) = default;
};

// The highest configuration version that any peer has reported, and the peer that reported it.
struct ReportedConfiguration
{
    std::uint64_t version = 0;
    InstanceId peer;

    friend bool operator==(ReportedConfiguration const &, ReportedConfiguration const &) = default;
};

class MembershipController
{
public:
    // `random` is called on the threads that call this controller.
    MembershipController(Blackboard &board, MembershipSettings const &settings, Outbox hooks,
                         RandomSource random);

    // `self` must have an incarnation of at least 1 and above that of any earlier process of this name. Seeds
    // are members from the start, but are not alive until they answer.
    void start(MemberRecord self, std::span<MemberRecord const> seeds, Timestamp now);

    // Announces that this instance is leaving. It remains reachable until its process stops.
    void leave(Timestamp now);

    // Must be called at least every 100 ms. A gap above `maxTickGap` counts as a pause of the process.
    void tick(Timestamp now);

    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ping const &ping, Timestamp now);
    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ack const &ack, Timestamp now);
    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, IndirectPing const &ping, Timestamp now);

    // Returns whether this instance may open flows and start requests. The permission has an end time that
    // each call checks, so it also expires during a pause of the process. Costs one atomic load.
    bool canDispatch(Timestamp now) const;

    // Returns the peer whose records have to be fetched over HTTP now, if a fetch is due. Once `hasRecords`
    // is set, a due fetch waits while updates are queued, for up to maxDifferenceDuration. The call itself
    // counts as the start of the fetch, so the next fetch is due only after the backoff.
    std::optional<InstanceId> startDueRecordFetch(Timestamp now);

    // Merges the records that were fetched from a peer.
    void mergeRecords(std::span<MemberRecord const> members, std::span<TargetRecord const> targets,
                      Timestamp now);

    std::uint64_t recordsDigest() const;
    ReportedConfiguration highestReportedConfiguration() const;
    MembershipCounters counters() const;

private:
    enum class ProbeStage : std::uint8_t {
        Direct,
        Indirect,
        Relayed,
        BestEffort, // Delivers gossip or asks for it; a missing ack has no consequences.
    };

    struct Probe
    {
        InstanceId subject;
        Timestamp sentAt;
        ProbeStage stage = ProbeStage::Direct;
        // Of a relayed probe: the instance that asked for it, and the nonce under which that instance sent
        // it.
        InstanceId requester{};
        std::uint64_t requesterNonce = 0;

        friend bool operator==(Probe const &, Probe const &) = default;
    };

    enum class SuspicionStage : std::uint8_t { Waiting, Pinged };

    // A member state that ends by a timeout, and since when the member is in it.
    struct TimedState
    {
        MemberState state = MemberState::Suspect;
        Timestamp since;
        SuspicionStage stage = SuspicionStage::Waiting;

        friend bool operator==(TimedState const &, TimedState const &) = default;
    };

    // When this instance was last in contact with others. Decides on the lease and the end of joining.
    struct Connectivity
    {
        Timestamp joiningSince;
        Timestamp lastTick;
        // The times at which the latest acknowledged pings were sent: to an instance of the same failure
        // domain, and to any instance.
        std::optional<Timestamp> lastOwnDomainAck{};
        std::optional<Timestamp> lastAck{};
        bool hasRecords = false; // Whether the records of a peer were merged or had the same digest.

        friend bool operator==(Connectivity const &, Connectivity const &) = default;
    };

    struct CachedDigest
    {
        std::optional<Timestamp> computedAt;
        std::uint64_t digest = 0;

        friend bool operator==(CachedDigest const &, CachedDigest const &) = default;
    };

    // Whether the sender of a message holds the current record of this instance, as far as the message shows.
    enum class RecordFreshness : std::uint8_t { Current, Outdated };

    MemberRecord ownRecord() const { return this->blackboard.ownStatus.read()->self; }
    std::uint32_t maxTransmissions() const;

    void detectPause(Timestamp now);
    void restartAfterPause(Timestamp now);
    void publishOwnRecord(MemberRecord const &record);

    RecordFreshness mergeGossip(InstanceId from, Endpoint fromEndpoint, Gossip const &gossip, Timestamp now);
    RecordFreshness handleReceivedOwnRecord(MemberRecord const &received);
    void addUnknownPeer(InstanceId peer, Endpoint endpoint, Timestamp now);
    // These two return whether the record was new; if so, it has to be queued for dissemination.
    bool applyMemberRecord(MemberRecord const &received, Timestamp now);
    bool applyTargetRecord(TargetRecord const &received);
    void queueFetchedRecords(std::span<InstanceId const> members, std::span<TargetId const> targets);
    void trackTimedState(MemberRecord const &record, Timestamp now);
    void recordAck(InstanceId from, Gossip const &gossip, Timestamp sentAt);

    Gossip composeGossip(InstanceId receiver, std::uint64_t receiverIncarnation, RecordFreshness freshness,
                         Timestamp now);
    void sendPing(InstanceId subject, Probe const &probe, Timestamp now);
    void sendBestEffortPing(InstanceId subject, Timestamp now);
    void sendAck(InstanceId receiver, Ack ack, Gossip gossip);
    void send(InstanceId receiver, PeerMessage const &message, Gossip const &gossip);

    void sendDueProbes(Timestamp now);
    void probeControlInstances(Timestamp now);
    void confirmDigestDifference(Timestamp now);
    void expireProbes(Timestamp now);
    void sendIndirectProbes(std::uint64_t nonce, Probe const &probe, Timestamp now);
    void handleProbeFailure(InstanceId subject, Timestamp now);
    void expireTimedStates(Timestamp now);
    void pingSuspect(InstanceId member, TimedState const &state, Timestamp now);
    void removeMember(InstanceId member);
    void setMemberState(InstanceId member, MemberState from, MemberState to, Timestamp now);
    void updateOwnStatus(Timestamp now);
    bool isAloneInOwnDomain(MemberRecord const &self) const;
    void reportChanges(OwnStatus const &before, OwnStatus const &after) const;
    ProbeCandidates probeCandidates() const;
    std::uint64_t currentDigest(Timestamp now);

    Blackboard &blackboard;
    Outbox outbox;
    RandomSource randomSource;

    ShardedTable<std::uint64_t, Probe, 8> probes; // Keyed by nonce.
    ShardedTable<InstanceId, TimedState, 8> timedStates; // Suspected and dead members only.
    Cell<std::vector<InstanceId>> seedIds; // Never removed, so that the cluster can be found again.
    Cell<ProbeSchedule> probeSchedule;
    Cell<Connectivity> ownConnectivity;
    Cell<ControlContacts> controlContacts;
    Cell<AntiEntropyState> antiEntropy;
    Cell<CachedDigest> digestCache;
    Cell<ReportedConfiguration> reportedConfiguration;
    Cell<MembershipCounters> totals;
    // The time of the steady clock, in microseconds, until which dispatching is allowed; 0 if it is not. Each
    // tick computes it from `ownConnectivity`, so that packet handling can read it without a lock.
    std::atomic<std::int64_t> dispatchUntil{0};
};

} // namespace almondwing
