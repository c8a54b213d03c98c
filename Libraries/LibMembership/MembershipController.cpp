// Implements the parts of MembershipController that handle messages and records.

#include <LibMembership/MembershipController.h>

#include <LibCore/Verify.h>
#include <LibMembership/Dissemination.h>
#include <LibMembership/MemberRecords.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

ControlContacts contactsFor(std::vector<std::string> names)
{
    std::ranges::sort(names);
    ControlContacts contacts;
    for (std::string const &name : names)
        contacts.push_back({.instance = InstanceId::fromName(name), .lastContact = std::nullopt});
    return contacts;
}

// Returns whether two instances disagree on a member in a way that only the member itself can resolve: one
// considers it dead, and the other's record does not refute that with a higher incarnation.
bool isDisputed(MemberRecord const &received, MemberRecord const &known)
{
    bool const isReceivedDead = received.state == MemberState::Dead;
    bool const isKnownDead = known.state == MemberState::Dead;
    if (isReceivedDead)
        return !isKnownDead && received.incarnation >= known.incarnation;
    return isKnownDead && received.incarnation <= known.incarnation;
}

} // namespace

MembershipController::MembershipController(Blackboard &board, MembershipSettings const &settings,
                                           Outbox hooks, RandomSource random)
    : blackboard(board), outbox(std::move(hooks)), randomSource(std::move(random)),
      controlContacts(contactsFor(settings.controlInstances))
{
}

void MembershipController::start(MemberRecord self, std::span<MemberRecord const> seeds, Timestamp now)
{
    VERIFY(self.incarnation > 0);
    self.state = MemberState::Alive;
    std::vector<InstanceId> ids;
    for (MemberRecord seed : seeds) {
        if (seed.id == self.id)
            continue;
        seed.incarnation = 0;
        seed.state = MemberState::Dead;
        ids.push_back(seed.id);
        (void)this->blackboard.members.write(seed.id, seed, 0);
    }
    this->seedIds.update([&](std::vector<InstanceId> const &) { return ids; });
    this->blackboard.ownStatus.update([&](OwnStatus const &) {
        return OwnStatus{.self = self,
                         .phase = InstancePhase::Joining,
                         .lease = LeaseState::Expired,
                         .majorityContact = MajorityContact::Lost};
    });
    this->publishOwnRecord(self);
    this->ownConnectivity.update(
        [now](Connectivity const &) { return Connectivity{.joiningSince = now, .lastTick = now}; });
    for (InstanceId const seed : ids)
        this->sendPing(seed, Probe{.subject = seed, .sentAt = now}, now);
}

void MembershipController::leave(Timestamp now)
{
    this->detectPause(now);
    auto const status = this->blackboard.ownStatus.update([](OwnStatus next) {
        next.phase = InstancePhase::Leaving;
        next.self.state = MemberState::Leaving;
        return next;
    });
    this->publishOwnRecord(status->self);
    // Others stop choosing this instance as a dispatcher when they receive its record, so it is sent without
    // waiting for the next probes, to as many instances as an indirect probe.
    auto const members = this->probeCandidates();
    auto const receivers = shuffled(members.ownDomain, this->randomSource());
    for (std::size_t index = 0; index < std::min(receivers.size(), indirectProbeCount); ++index)
        this->sendBestEffortPing(receivers[index], now);
}

bool MembershipController::canDispatch(Timestamp now) const
{
    return now.time_since_epoch().count() < this->dispatchUntil.load(std::memory_order_acquire);
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ping const &ping,
                                             Timestamp now)
{
    this->detectPause(now);
    auto const freshness = this->mergeGossip(from, fromEndpoint, ping.gossip, now);
    this->sendAck(from, Ack{.nonce = ping.nonce, .subject = this->ownRecord().id, .gossip = {}},
                  this->composeGossip(from, ping.gossip.incarnation, freshness, now));
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ack const &ack,
                                             Timestamp now)
{
    this->detectPause(now);
    auto const freshness = this->mergeGossip(from, fromEndpoint, ack.gossip, now);
    // An ack is not answered, so an additional ping carries the current record to a peer that holds an
    // outdated one. The ack of that ping is not tracked.
    if (freshness == RecordFreshness::Outdated) {
        auto gossip = this->composeGossip(from, ack.gossip.incarnation, freshness, now);
        this->send(from, Ping{.nonce = this->randomSource(), .gossip = gossip}, gossip);
    }
    auto const probe = this->probes.read(ack.nonce);
    if (!probe || probe->value.subject != ack.subject
        || this->probes.erase(ack.nonce, probe->version) == WriteOutcome::Conflict)
        return;
    this->recordAck(from, ack.gossip, probe->value.sentAt);
    if (probe->value.stage != ProbeStage::Relayed)
        return;
    this->sendAck(probe->value.requester,
                  Ack{.nonce = probe->value.requesterNonce, .subject = ack.subject, .gossip = {}},
                  this->composeGossip(probe->value.requester, 0, RecordFreshness::Current, now));
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, IndirectPing const &ping,
                                             Timestamp now)
{
    this->detectPause(now);
    this->mergeGossip(from, fromEndpoint, ping.gossip, now);
    if (!this->blackboard.members.contains(ping.subject) || ping.subject == this->ownRecord().id)
        return;
    this->sendPing(ping.subject,
                   Probe{.subject = ping.subject,
                         .sentAt = now,
                         .stage = ProbeStage::Relayed,
                         .requester = from,
                         .requesterNonce = ping.nonce},
                   now);
}

MembershipController::RecordFreshness
MembershipController::mergeGossip(InstanceId from, Endpoint fromEndpoint, Gossip const &gossip, Timestamp now)
{
    auto freshness = RecordFreshness::Current;
    auto const self = this->ownRecord().id;
    for (MemberRecord const &member : gossip.members) {
        if (member.id == self) {
            if (this->handleReceivedOwnRecord(member) == RecordFreshness::Outdated)
                freshness = RecordFreshness::Outdated;
        } else if (this->applyMemberRecord(member, now)) {
            queueMemberUpdate(this->blackboard, member.id, this->maxTransmissions());
        }
    }
    for (TargetRecord const &target : gossip.targets) {
        if (this->applyTargetRecord(target))
            queueTargetUpdate(this->blackboard, target.id, this->maxTransmissions());
    }
    // An unknown peer is added as a dead member, so that it can be answered. Its record arrives when it
    // learns from the answer that it is not known here.
    this->addUnknownPeer(from, fromEndpoint, now);
    this->reportedConfiguration.update([&](ReportedConfiguration const &seen) {
        return gossip.configurationVersion > seen.version
            ? ReportedConfiguration{.version = gossip.configurationVersion, .peer = from}
            : seen;
    });
    auto const digest = this->currentDigest(now);
    this->antiEntropy.update([&](AntiEntropyState const &state) {
        return updatePeerDigest(state, from, gossip.recordsDigest, digest, now);
    });
    if (digest == gossip.recordsDigest && this->blackboard.members.size() > 1)
        this->ownConnectivity.update([](Connectivity connectivity) {
            connectivity.hasRecords = true;
            return connectivity;
        });
    return freshness;
}

void MembershipController::addUnknownPeer(InstanceId peer, Endpoint endpoint, Timestamp now)
{
    MemberRecord const record{.id = peer,
                              .name = {},
                              .failureDomain = {},
                              .peerEndpoint = endpoint,
                              .httpEndpoint = {},
                              .incarnation = 0,
                              .state = MemberState::Dead};
    if (this->blackboard.members.write(peer, record, 0) == WriteOutcome::Written)
        this->trackTimedState(record, now);
}

// If `received` is later than the own record, publishes the own record with a higher incarnation. Returns
// Outdated if `received` is earlier, so that the sender gets the current record.
MembershipController::RecordFreshness
MembershipController::handleReceivedOwnRecord(MemberRecord const &received)
{
    auto const before = this->ownRecord();
    if (received == before)
        return RecordFreshness::Current;
    auto const after = this->blackboard.ownStatus.update([&received](OwnStatus status) {
        status.self = refute(status.self, received).value_or(status.self);
        return status;
    });
    if (after->self.incarnation != before.incarnation) {
        this->publishOwnRecord(after->self);
        this->outbox.report(
            Event::SuspicionRefuted,
            fmt::format("incarnation {} replaces {}", after->self.incarnation, received.incarnation));
    }
    return isNewer(after->self, received) ? RecordFreshness::Outdated : RecordFreshness::Current;
}

void MembershipController::publishOwnRecord(MemberRecord const &record)
{
    this->blackboard.members.update(record.id, [&record](std::optional<MemberRecord> const &known) {
        return !known || isNewer(record, *known) || known->incarnation == 0 ? std::optional(record)
                                                                            : std::nullopt;
    });
    queueMemberUpdate(this->blackboard, record.id, this->maxTransmissions());
}

bool MembershipController::applyMemberRecord(MemberRecord const &received, Timestamp now)
{
    std::optional<MemberRecord> merged;
    std::optional<MemberState> before;
    this->blackboard.members.update(received.id, [&](std::optional<MemberRecord> const &known) {
        before = known ? std::optional(known->state) : std::nullopt;
        merged = mergeMember(known, received);
        return merged;
    });
    if (!merged)
        return false;
    this->trackTimedState(*merged, now);
    // The ping carries the Suspect record to the member, so that it can refute it in time.
    if (received.state == MemberState::Dead && before == MemberState::Alive)
        this->sendBestEffortPing(merged->id, now);
    if (merged->state == MemberState::Alive && before != MemberState::Alive)
        this->outbox.report(Event::MemberAlive, merged->name);
    if (merged->state == MemberState::Dead)
        this->outbox.report(Event::MemberDead, merged->name);
    return true;
}

bool MembershipController::applyTargetRecord(TargetRecord const &received)
{
    auto const self = this->ownRecord().id;
    bool isChanged = false;
    this->blackboard.targets.update(received.id, [&](std::optional<TargetRecord> const &known) {
        auto merged = mergeTarget(known, received, self);
        isChanged = merged.has_value();
        return merged;
    });
    return isChanged;
}

void MembershipController::trackTimedState(MemberRecord const &record, Timestamp now)
{
    this->timedStates.remove(record.id);
    if (record.state == MemberState::Suspect || record.state == MemberState::Dead)
        (void)this->timedStates.write(record.id, TimedState{.state = record.state, .since = now}, 0);
}

// The time at which the ping was sent counts, since the ack may have waited in a socket for a long time.
void MembershipController::recordAck(InstanceId from, Gossip const &gossip, Timestamp sentAt)
{
    auto const sender = this->blackboard.members.read(from);
    bool const isOwnDomain = sender && sender->value.failureDomain == this->ownRecord().failureDomain;
    this->ownConnectivity.update([isOwnDomain, sentAt](Connectivity connectivity) {
        connectivity.lastAck = std::max(connectivity.lastAck, std::optional(sentAt));
        if (isOwnDomain)
            connectivity.lastOwnDomainAck = std::max(connectivity.lastOwnDomainAck, std::optional(sentAt));
        return connectivity;
    });
    this->controlContacts.update([&](ControlContacts contacts) {
        return mergeContactAges(recordContact(std::move(contacts), from, sentAt), gossip.controlContactAges,
                                sentAt);
    });
}

std::optional<InstanceId> MembershipController::startDueRecordFetch(Timestamp now)
{
    auto const digest = this->currentDigest(now);
    bool const isNew = !this->ownConnectivity.read()->hasRecords;
    bool const hasQueuedUpdates =
        this->blackboard.memberUpdates.size() + this->blackboard.targetUpdates.size() > 0;
    std::optional<InstanceId> peer;
    this->antiEntropy.update([&](AntiEntropyState const &before) {
        auto const state = updateOwnDigest(before, digest, now);
        peer = peerToFetch(state, isNew ? FetchUrgency::Immediate : FetchUrgency::Normal, now);
        // The queued updates may end the difference without a fetch. A new instance does not wait for them.
        if (peer && hasQueuedUpdates && !isNew && now - state.difference->firstSeen <= maxDifferenceDuration)
            peer = std::nullopt;
        return peer ? stateAfterFetch(state, now) : state;
    });
    return peer;
}

void MembershipController::mergeRecords(std::span<MemberRecord const> members,
                                        std::span<TargetRecord const> targets, Timestamp now)
{
    auto const self = this->ownRecord().id;
    std::vector<InstanceId> disputed;
    std::vector<InstanceId> newMembers;
    std::vector<TargetId> newTargets;
    for (MemberRecord const &member : members) {
        if (member.incarnation == 0)
            continue;
        auto const known = this->blackboard.members.read(member.id);
        if (member.id == self)
            this->handleReceivedOwnRecord(member);
        else if (known && isDisputed(member, known->value))
            disputed.push_back(member.id);
        else if (this->applyMemberRecord(member, now))
            newMembers.push_back(member.id);
    }
    for (TargetRecord const &target : targets) {
        if (this->applyTargetRecord(target))
            newTargets.push_back(target.id);
    }
    this->queueFetchedRecords(newMembers, newTargets);
    // Where the two instances disagree whether a member is dead, a probe of that member decides.
    this->probeSchedule.update([&](ProbeSchedule schedule) {
        schedule.disputed = shuffled(disputed, this->randomSource());
        return schedule;
    });
    this->ownConnectivity.update([](Connectivity connectivity) {
        connectivity.hasRecords = true;
        return connectivity;
    });
    auto const result =
        newMembers.empty() && newTargets.empty() ? FetchResult::NothingNew : FetchResult::NewRecords;
    this->antiEntropy.update(
        [result](AntiEntropyState const &state) { return stateAfterFetchResult(state, result); });
}

// A record whose updates were all lost is queued again, so that not every instance has to fetch it.
void MembershipController::queueFetchedRecords(std::span<InstanceId const> members,
                                               std::span<TargetId const> targets)
{
    if (members.size() + targets.size() > maxFetchedRecordsToGossip)
        return;
    for (InstanceId const member : members)
        queueMemberUpdate(this->blackboard, member, this->maxTransmissions());
    for (TargetId const target : targets)
        queueTargetUpdate(this->blackboard, target, this->maxTransmissions());
}

std::uint64_t MembershipController::recordsDigest() const
{
    std::uint64_t digest = 0;
    for (auto const &[id, member] : this->blackboard.members.entries())
        digest += digestOf(member);
    for (auto const &[id, target] : this->blackboard.targets.entries())
        digest += digestOf(target);
    return digest;
}

// Computing the digest copies all records, so a computed digest is used for digestCacheLifetime.
std::uint64_t MembershipController::currentDigest(Timestamp now)
{
    constexpr Duration digestCacheLifetime = 250ms;
    auto const cached = this->digestCache.read();
    if (cached->computedAt && now - *cached->computedAt < digestCacheLifetime)
        return cached->digest;
    auto const digest = this->recordsDigest();
    this->digestCache.update(
        [digest, now](CachedDigest const &) { return CachedDigest{.computedAt = now, .digest = digest}; });
    return digest;
}

ReportedConfiguration MembershipController::highestReportedConfiguration() const
{
    return *this->reportedConfiguration.read();
}

MembershipCounters MembershipController::counters() const
{
    return *this->totals.read();
}

std::uint32_t MembershipController::maxTransmissions() const
{
    return transmissionLimit(this->blackboard.members.size());
}

} // namespace almondwing
