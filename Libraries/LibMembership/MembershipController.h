// The membership of the cluster as one instance sees it: probes, suspicion, lease and the spreading of
// records.
//
// Follows SWIM (Das, Gupta, Motivala, 2002) with incarnation numbers. All methods may be called from several
// threads. Shared state is on the blackboard; state that only membership needs is kept below in the same kind
// of containers, and decisions on it are pure functions in the other files of this library.

#pragma once

#include <LibMembership/ControlContacts.h>
#include <LibMembership/DigestWatch.h>
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

// Totals of what this instance has sent for membership; the codec counts bytes.
struct MembershipCounters
{
    std::uint64_t messages = 0;
    std::uint64_t memberRecords = 0;
    std::uint64_t targetRecords = 0;

    friend bool operator==(MembershipCounters const &, MembershipCounters const &) = default;
};

// The highest configuration version that a peer has reported, and that peer.
struct ReportedConfiguration
{
    std::uint64_t version = 0;
    InstanceId peer;

    friend bool operator==(ReportedConfiguration const &, ReportedConfiguration const &) = default;
};

class MembershipController
{
public:
    // `random` is called from the threads that call this controller.
    MembershipController(Blackboard &board, MembershipSettings const &settings, Outbox hooks,
                         RandomSource random);

    // `self` carries an incarnation above that of any earlier process of this name, and at least 1. Seeds
    // count as known, but not as alive until they are heard.
    void start(MemberRecord self, std::span<MemberRecord const> seeds, Timestamp now);

    // Spreads that this instance leaves. It stays reachable until it stops.
    void leave(Timestamp now);

    // To be called at least every 100 ms; a gap above `pauseLimit` counts as a pause of the process.
    void tick(Timestamp now);

    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ping const &ping, Timestamp now);
    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ack const &ack, Timestamp now);
    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, IndirectPing const &ping, Timestamp now);

    // Whether this instance may open flows and start requests. Also right after the process was paused and
    // before the next tick, because the permission ends by itself. Costs one atomic load.
    bool canDispatch(Timestamp now) const;

    // The peer whose records have to be fetched over HTTP now. The answer counts as the begin of the fetch,
    // so the next one is given only after a pause.
    std::optional<InstanceId> startDueRecordFetch(Timestamp now);

    // Merges the fetched records of a peer.
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
        Question, // Tells or asks the member something; a missing answer means nothing.
    };

    struct Probe
    {
        InstanceId subject;
        Timestamp sentAt;
        ProbeStage stage = ProbeStage::Direct;
        // Of a probe for another instance: that instance, and its number for the probe.
        InstanceId requester{};
        std::uint64_t requesterNonce = 0;

        friend bool operator==(Probe const &, Probe const &) = default;
    };

    enum class SuspicionStage : std::uint8_t { Waiting, Asked };

    // How long a member has been in a state that ends by itself.
    struct StateSince
    {
        MemberState state = MemberState::Suspect;
        Timestamp since;
        SuspicionStage stage = SuspicionStage::Waiting;

        friend bool operator==(StateSince const &, StateSince const &) = default;
    };

    // What this instance knows of its own contact with others.
    struct Contact
    {
        Timestamp joiningSince;
        Timestamp lastTick;
        std::optional<Timestamp> ownDomainAck{}; // When the last answered ping was sent.
        std::optional<Timestamp> anyAck{};
        bool hasRecords = false; // The records of a peer were merged, or were equal.

        friend bool operator==(Contact const &, Contact const &) = default;
    };

    struct CachedDigest
    {
        std::optional<Timestamp> computedAt;
        std::uint64_t digest = 0;

        friend bool operator==(CachedDigest const &, CachedDigest const &) = default;
    };

    // Whether a message has shown that its sender holds an outdated record of this instance.
    enum class PeerView : std::uint8_t { Current, Outdated };

    MemberRecord own() const { return this->blackboard.ownStatus.read()->self; }
    std::uint32_t maximumTransmissions() const;

    void detectPause(Timestamp now);
    void restartAfterPause(Timestamp now);
    void publishOwn(MemberRecord const &record);

    PeerView absorb(InstanceId from, Endpoint fromEndpoint, Gossip const &gossip, Timestamp now);
    PeerView learnOwn(MemberRecord const &received);
    void addUnknownPeer(InstanceId peer, Endpoint endpoint, Timestamp now);
    bool learnMember(MemberRecord const &received, Timestamp now);
    // Both return whether the record was news; the caller queues it for spreading.
    bool learnTarget(TargetRecord const &received);
    void spreadFetched(std::span<InstanceId const> members, std::span<TargetId const> targets);
    void noteState(MemberRecord const &record, Timestamp now);
    void noteAck(InstanceId from, Gossip const &gossip, Timestamp sentAt);

    Gossip composeGossip(InstanceId receiver, std::uint64_t receiverIncarnation, PeerView view,
                         Timestamp now);
    void sendPing(InstanceId subject, Probe const &probe, Timestamp now);
    void sendQuestion(InstanceId subject, Timestamp now);
    void sendAck(InstanceId receiver, Ack ack, Gossip gossip);
    void send(InstanceId receiver, PeerMessage const &message, Gossip const &gossip);

    void sendDueProbes(Timestamp now);
    void probeControlInstances(Timestamp now);
    void confirmDigestDifference(Timestamp now);
    void expireProbes(Timestamp now);
    void sendIndirectProbes(std::uint64_t nonce, Probe const &probe, Timestamp now);
    void handleProbeFailure(InstanceId subject, Timestamp now);
    void expireStates(Timestamp now);
    void askSuspect(InstanceId member, StateSince const &state, Timestamp now);
    void forgetMember(InstanceId member);
    void setMemberState(InstanceId member, MemberState from, MemberState to, Timestamp now);
    void updateOwnStatus(Timestamp now);
    bool isAloneInOwnDomain(MemberRecord const &self) const;
    void reportChanges(OwnStatus const &before, OwnStatus const &after) const;
    ProbeCandidates candidates() const;
    std::uint64_t currentDigest(Timestamp now);

    Blackboard &blackboard;
    Outbox outbox;
    RandomSource randomSource;

    ShardedTable<std::uint64_t, Probe, 8> probes; // Keyed by nonce.
    ShardedTable<InstanceId, StateSince, 8> statesSince; // Suspected and dead members only.
    Cell<std::vector<InstanceId>> seedIds; // Never forgotten, so that the cluster can be found again.
    Cell<ProbeSchedule> probeSchedule;
    Cell<Contact> ownContact;
    Cell<ControlContacts> controlContacts;
    Cell<DigestWatch> digestWatch;
    Cell<CachedDigest> digestCache;
    Cell<ReportedConfiguration> configurationSeen;
    Cell<MembershipCounters> totals;
    // Microseconds of the steady clock until which dispatching is allowed; 0 when it is not. Set by each tick
    // from the contact, so that packets do not need a lock to look at it.
    std::atomic<std::int64_t> dispatchUntil{0};
};

} // namespace almondwing
