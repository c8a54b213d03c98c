// Handles membership messages and records.

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
        contacts.push_back({.instance = InstanceId::fromName(name), .lastEvidence = std::nullopt});
    return contacts;
}

// Whether two instances disagree on a member in a way that only the member itself can settle: it is dead
// there and not here, or dead here and not there without having refuted it.
bool isContradiction(MemberRecord const &there, MemberRecord const &here)
{
    bool const isDeadThere = there.state == MemberState::Dead;
    bool const isDeadHere = here.state == MemberState::Dead;
    if (isDeadThere)
        return !isDeadHere && there.incarnation >= here.incarnation;
    return isDeadHere && there.incarnation <= here.incarnation;
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
    this->publishOwn(self);
    this->ownContact.update([now](Contact const &) { return Contact{.joiningSince = now, .lastTick = now}; });
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
    this->publishOwn(status->self);
    // Others stop choosing this instance as dispatcher when they hear it, so they are told at once.
    auto const members = this->candidates();
    auto const receivers = shuffled(members.ownDomain, this->randomSource());
    for (std::size_t index = 0; index < std::min(receivers.size(), indirectProbeCount); ++index)
        this->sendQuestion(receivers[index], now);
}

bool MembershipController::canDispatch(Timestamp now) const
{
    return now.time_since_epoch().count() < this->dispatchUntil.load(std::memory_order_acquire);
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ping const &ping,
                                             Timestamp now)
{
    this->detectPause(now);
    auto const view = this->absorb(from, fromEndpoint, ping.gossip, now);
    this->sendAck(from, Ack{.nonce = ping.nonce, .subject = this->own().id, .gossip = {}},
                  this->composeGossip(from, ping.gossip.incarnation, view, now));
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, Ack const &ack,
                                             Timestamp now)
{
    this->detectPause(now);
    auto const view = this->absorb(from, fromEndpoint, ack.gossip, now);
    // A ping of its own carries the record to a peer that has it outdated; its ack is not waited for.
    if (view == PeerView::Outdated) {
        auto gossip = this->composeGossip(from, ack.gossip.incarnation, view, now);
        this->send(from, Ping{.nonce = this->randomSource(), .gossip = gossip}, gossip);
    }
    auto const probe = this->probes.read(ack.nonce);
    if (!probe || probe->value.subject != ack.subject
        || this->probes.erase(ack.nonce, probe->version) == WriteOutcome::Conflict)
        return;
    this->noteAck(from, ack.gossip, probe->value.sentAt);
    if (probe->value.stage != ProbeStage::Relayed)
        return;
    this->sendAck(probe->value.requester,
                  Ack{.nonce = probe->value.requesterNonce, .subject = ack.subject, .gossip = {}},
                  this->composeGossip(probe->value.requester, 0, PeerView::Current, now));
}

void MembershipController::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, IndirectPing const &ping,
                                             Timestamp now)
{
    this->detectPause(now);
    this->absorb(from, fromEndpoint, ping.gossip, now);
    if (!this->blackboard.members.contains(ping.subject) || ping.subject == this->own().id)
        return;
    this->sendPing(ping.subject,
                   Probe{.subject = ping.subject,
                         .sentAt = now,
                         .stage = ProbeStage::Relayed,
                         .requester = from,
                         .requesterNonce = ping.nonce},
                   now);
}

MembershipController::PeerView MembershipController::absorb(InstanceId from, Endpoint fromEndpoint,
                                                            Gossip const &gossip, Timestamp now)
{
    auto view = PeerView::Current;
    auto const self = this->own().id;
    for (MemberRecord const &member : gossip.members) {
        if (member.id == self) {
            if (this->learnOwn(member) == PeerView::Outdated)
                view = PeerView::Outdated;
        } else if (this->learnMember(member, now)) {
            queueMember(this->blackboard, member.id, this->maximumTransmissions());
        }
    }
    for (TargetRecord const &target : gossip.targets) {
        if (this->learnTarget(target))
            queueTarget(this->blackboard, target.id, this->maximumTransmissions());
    }
    // A peer that is not known yet is kept as a member that may be answered; it has to send its record.
    this->addUnknownPeer(from, fromEndpoint, now);
    this->configurationSeen.update([&](ReportedConfiguration const &seen) {
        return gossip.configurationVersion > seen.version
            ? ReportedConfiguration{.version = gossip.configurationVersion, .peer = from}
            : seen;
    });
    auto const digest = this->currentDigest(now);
    this->digestWatch.update([&](DigestWatch const &watch) {
        return notePeerDigest(watch, from, gossip.recordsDigest, digest, now);
    });
    if (digest == gossip.recordsDigest && this->blackboard.members.size() > 1)
        this->ownContact.update([](Contact contact) {
            contact.hasRecords = true;
            return contact;
        });
    return view;
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
        this->noteState(record, now);
}

// Answers what others believe of this instance: a later record is refuted with a higher incarnation, an
// earlier one is corrected.
MembershipController::PeerView MembershipController::learnOwn(MemberRecord const &received)
{
    auto const before = this->own();
    if (received == before)
        return PeerView::Current;
    auto const after = this->blackboard.ownStatus.update([&received](OwnStatus status) {
        status.self = refute(status.self, received).value_or(status.self);
        return status;
    });
    if (after->self.incarnation != before.incarnation) {
        this->publishOwn(after->self);
        this->outbox.report(
            Event::SuspicionRefuted,
            fmt::format("incarnation {} replaces {}", after->self.incarnation, received.incarnation));
    }
    return isNewer(after->self, received) ? PeerView::Outdated : PeerView::Current;
}

void MembershipController::publishOwn(MemberRecord const &record)
{
    this->blackboard.members.update(record.id, [&record](std::optional<MemberRecord> const &known) {
        return !known || isNewer(record, *known) || known->incarnation == 0 ? std::optional(record)
                                                                            : std::nullopt;
    });
    queueMember(this->blackboard, record.id, this->maximumTransmissions());
}

bool MembershipController::learnMember(MemberRecord const &received, Timestamp now)
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
    this->noteState(*merged, now);
    // The member learns of the report from the ping and can refute it in time.
    if (received.state == MemberState::Dead && before == MemberState::Alive)
        this->sendQuestion(merged->id, now);
    if (merged->state == MemberState::Alive && before != MemberState::Alive)
        this->outbox.report(Event::MemberAlive, merged->name);
    if (merged->state == MemberState::Dead)
        this->outbox.report(Event::MemberDead, merged->name);
    return true;
}

bool MembershipController::learnTarget(TargetRecord const &received)
{
    auto const self = this->own().id;
    bool isChanged = false;
    this->blackboard.targets.update(received.id, [&](std::optional<TargetRecord> const &known) {
        auto merged = mergeTarget(known, received, self);
        isChanged = merged.has_value();
        return merged;
    });
    return isChanged;
}

void MembershipController::noteState(MemberRecord const &record, Timestamp now)
{
    this->statesSince.remove(record.id);
    if (record.state == MemberState::Suspect || record.state == MemberState::Dead)
        (void)this->statesSince.write(record.id, StateSince{.state = record.state, .since = now}, 0);
}

// The time of the ping counts, not that of its ack: an ack may have waited in a socket for a long time.
void MembershipController::noteAck(InstanceId from, Gossip const &gossip, Timestamp sentAt)
{
    auto const sender = this->blackboard.members.read(from);
    bool const isOwnDomain = sender && sender->value.failureDomain == this->own().failureDomain;
    this->ownContact.update([isOwnDomain, sentAt](Contact contact) {
        contact.anyAck = std::max(contact.anyAck, std::optional(sentAt));
        if (isOwnDomain)
            contact.ownDomainAck = std::max(contact.ownDomainAck, std::optional(sentAt));
        return contact;
    });
    this->controlContacts.update([&](ControlContacts contacts) {
        return mergeAges(noteEvidence(std::move(contacts), from, sentAt), gossip.controlContactAges, sentAt);
    });
}

// A peer that is not alive here is told so, and gets the own record, because it may hold the same view of
// this instance. A peer with a record that is outdated here is told as well, so that it sends its present
// one.
std::optional<InstanceId> MembershipController::startDueRecordFetch(Timestamp now)
{
    auto const digest = this->currentDigest(now);
    bool const isNew = !this->ownContact.read()->hasRecords;
    bool const isSpreading =
        this->blackboard.memberUpdates.size() + this->blackboard.targetUpdates.size() > 0;
    std::optional<InstanceId> peer;
    this->digestWatch.update([&](DigestWatch const &before) {
        auto const watch = noteOwnDigest(before, digest, now);
        peer = peerToFetch(watch, isNew ? FetchUrgency::AtOnce : FetchUrgency::Normal, now);
        if (peer && isSpreading && !isNew && now - watch.difference->firstSeen <= digestUnrestLimit)
            peer = std::nullopt;
        return peer ? noteFetch(watch, now) : watch;
    });
    return peer;
}

void MembershipController::mergeRecords(std::span<MemberRecord const> members,
                                        std::span<TargetRecord const> targets, Timestamp now)
{
    auto const self = this->own().id;
    std::vector<InstanceId> contradicted;
    std::vector<InstanceId> newMembers;
    std::vector<TargetId> newTargets;
    for (MemberRecord const &member : members) {
        if (member.incarnation == 0)
            continue;
        auto const known = this->blackboard.members.read(member.id);
        if (member.id == self)
            this->learnOwn(member);
        else if (known && isContradiction(member, known->value))
            contradicted.push_back(member.id);
        else if (this->learnMember(member, now))
            newMembers.push_back(member.id);
    }
    for (TargetRecord const &target : targets) {
        if (this->learnTarget(target))
            newTargets.push_back(target.id);
    }
    this->spreadFetched(newMembers, newTargets);
    // Whether a member is dead is found out by probing it, not by believing one of two sides.
    this->probeSchedule.update([&](ProbeSchedule schedule) {
        schedule.contradicted = shuffled(contradicted, this->randomSource());
        return schedule;
    });
    this->ownContact.update([](Contact contact) {
        contact.hasRecords = true;
        return contact;
    });
    auto const result =
        newMembers.empty() && newTargets.empty() ? FetchResult::NothingNew : FetchResult::NewRecords;
    this->digestWatch.update([result](DigestWatch const &watch) { return noteFetchResult(watch, result); });
}

// A record that all its updates have missed is spread again, so that not every instance has to fetch it.
void MembershipController::spreadFetched(std::span<InstanceId const> members,
                                         std::span<TargetId const> targets)
{
    if (members.size() + targets.size() > mostFetchedRecordsToSpread)
        return;
    for (InstanceId const member : members)
        queueMember(this->blackboard, member, this->maximumTransmissions());
    for (TargetId const target : targets)
        queueTarget(this->blackboard, target, this->maximumTransmissions());
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

// Computing the digest copies all records, so messages share one that is at most this old.
std::uint64_t MembershipController::currentDigest(Timestamp now)
{
    constexpr Duration digestKept = 250ms;
    auto const cached = this->digestCache.read();
    if (cached->computedAt && now - *cached->computedAt < digestKept)
        return cached->digest;
    auto const digest = this->recordsDigest();
    this->digestCache.update(
        [digest, now](CachedDigest const &) { return CachedDigest{.computedAt = now, .digest = digest}; });
    return digest;
}

ReportedConfiguration MembershipController::highestReportedConfiguration() const
{
    return *this->configurationSeen.read();
}

MembershipCounters MembershipController::counters() const
{
    return *this->totals.read();
}

std::uint32_t MembershipController::maximumTransmissions() const
{
    return transmissionCount(this->blackboard.members.size());
}

} // namespace almondwing
