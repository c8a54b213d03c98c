// The parts of MembershipController that run with time: probes, suspicion, lease and pauses.

#include <LibMembership/MembershipController.h>

#include <LibMembership/Dissemination.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace almondwing {

namespace {

bool isPresent(MemberRecord const &member)
{
    return member.state != MemberState::Dead;
}

} // namespace

void MembershipController::tick(Timestamp now)
{
    this->detectPause(now);
    this->ownContact.update([now](Contact contact) {
        contact.lastTick = std::max(contact.lastTick, now);
        return contact;
    });
    this->expireProbes(now);
    this->expireStates(now);
    this->sendDueProbes(now);
    this->probeControlInstances(now);
    this->confirmDigestDifference(now);
    this->updateOwnStatus(now);
}

// Each call from outside comes here first, because the first one after a pause may be a message that waited
// in the socket. The one caller that sets the time of the tick restarts the instance.
void MembershipController::detectPause(Timestamp now)
{
    bool wasPaused = false;
    if (now - this->ownContact.read()->lastTick <= pauseLimit)
        return;
    this->ownContact.update([&wasPaused, now](Contact const &contact) {
        wasPaused = now - contact.lastTick > pauseLimit;
        return wasPaused ? Contact{.joiningSince = now, .lastTick = now} : contact;
    });
    if (wasPaused)
        this->restartAfterPause(now);
}

void MembershipController::restartAfterPause(Timestamp now)
{
    this->dispatchUntil.store(0, std::memory_order_release);
    auto const status = this->blackboard.ownStatus.update([](OwnStatus next) {
        ++next.self.incarnation;
        next.lease = LeaseState::Expired;
        next.majorityContact = MajorityContact::Lost;
        if (next.phase != InstancePhase::Leaving)
            next.phase = InstancePhase::Joining;
        return next;
    });
    this->publishOwn(status->self);
    this->controlContacts.update(
        [](ControlContacts contacts) { return forgetEvidence(std::move(contacts)); });
    // Acks and timeouts from before the pause say nothing about the others.
    for (auto const &[nonce, probe] : this->probes.entries())
        this->probes.remove(nonce);
    for (auto const &[member, state] : this->statesSince.entries()) {
        this->statesSince.update(member, [now](std::optional<StateSince> const &current) {
            return current ? std::optional(StateSince{.state = current->state, .since = now}) : std::nullopt;
        });
    }
    this->outbox.report(Event::PauseDetected, fmt::format("incarnation is now {}", status->self.incarnation));
}

ProbeCandidates MembershipController::candidates() const
{
    auto const self = this->own();
    ProbeCandidates result;
    for (auto const &[id, member] : this->blackboard.members.entries()) {
        if (id == self.id)
            continue;
        if (!isPresent(member))
            result.absent.push_back(id);
        else if (member.failureDomain == self.failureDomain)
            result.ownDomain.push_back(id);
        else
            result.otherDomains.push_back(id);
    }
    std::ranges::sort(result.absent);
    std::ranges::sort(result.ownDomain);
    std::ranges::sort(result.otherDomains);
    return result;
}

void MembershipController::sendDueProbes(Timestamp now)
{
    if (!isProbeDue(*this->probeSchedule.read(), now))
        return;
    auto const members = this->candidates();
    auto const seed = this->randomSource();
    auto const interval = this->blackboard.ownStatus.read()->phase == InstancePhase::Joining
        ? absentProbeIntervalWhileJoining
        : absentProbeInterval;
    ProbePlan plan;
    this->probeSchedule.update([&](ProbeSchedule const &schedule) {
        plan = planProbes(schedule, members, interval, now, seed);
        return plan.schedule;
    });
    for (InstanceId const subject : plan.probes)
        this->sendPing(subject, Probe{.subject = subject, .sentAt = now}, now);
}

// When the evidence from peers gets old, control instances are probed out of turn, round robin over those
// that are not known to be dead.
void MembershipController::probeControlInstances(Timestamp now)
{
    auto const contacts = this->controlContacts.read();
    auto const self = this->own().id;
    auto const age = isControlInstance(*contacts, self) ? controlProbeAgeOfControlInstance : controlProbeAge;
    if (hasMajorityWithin(*contacts, age, now) || now < this->probeSchedule.read()->controlDue)
        return;
    std::vector<InstanceId> subjects;
    for (ControlContact const &contact : *contacts) {
        auto const member = this->blackboard.members.read(contact.instance);
        if (member && contact.instance != self && member->value.state != MemberState::Dead)
            subjects.push_back(contact.instance);
    }
    std::optional<InstanceId> subject;
    this->probeSchedule.update([&](ProbeSchedule schedule) {
        subject = std::nullopt;
        if (subjects.empty() || now < schedule.controlDue)
            return schedule;
        schedule.controlDue = now + controlProbeInterval;
        schedule.controlNext = (schedule.controlNext + 1) % subjects.size();
        subject = subjects[schedule.controlNext];
        return schedule;
    });
    if (subject)
        this->sendPing(*subject, Probe{.subject = *subject, .sentAt = now}, now);
}

void MembershipController::confirmDigestDifference(Timestamp now)
{
    auto const digest = this->currentDigest(now);
    std::optional<InstanceId> peer;
    this->digestWatch.update([&](DigestWatch const &before) {
        auto const watch = noteOwnDigest(before, digest, now);
        peer = peerToAsk(watch, now);
        return peer ? noteQuestion(watch, now) : watch;
    });
    if (peer)
        this->sendQuestion(*peer, now);
}

void MembershipController::expireProbes(Timestamp now)
{
    for (auto const &[nonce, probe] : this->probes.entries()) {
        auto const limit = probe.stage == ProbeStage::Direct ? ackTimeout : 2 * ackTimeout;
        if (now - probe.sentAt < limit)
            continue;
        auto const current = this->probes.read(nonce);
        if (!current || current->value != probe)
            continue;
        if (probe.stage == ProbeStage::Direct) {
            auto next = probe;
            next.stage = ProbeStage::Indirect;
            if (this->probes.write(nonce, next, current->version) == WriteOutcome::Written)
                this->sendIndirectProbes(nonce, probe, now);
        } else if (this->probes.erase(nonce, current->version) == WriteOutcome::Written
                   && probe.stage == ProbeStage::Indirect) {
            this->handleProbeFailure(probe.subject, now);
        }
    }
}

void MembershipController::sendIndirectProbes(std::uint64_t nonce, Probe const &probe, Timestamp now)
{
    auto const subject = this->blackboard.members.read(probe.subject);
    if (!subject || !isPresent(subject->value))
        return;
    auto const members = this->candidates();
    auto relays = members.ownDomain;
    relays.insert(relays.end(), members.otherDomains.begin(), members.otherDomains.end());
    std::erase(relays, probe.subject);
    relays = shuffled(std::move(relays), this->randomSource());
    relays.resize(std::min(relays.size(), indirectProbeCount));
    for (InstanceId const relay : relays) {
        auto const gossip = this->composeGossip(relay, 0, PeerView::Current, now);
        this->send(relay, IndirectPing{.nonce = nonce, .subject = probe.subject, .gossip = gossip}, gossip);
    }
}

void MembershipController::handleProbeFailure(InstanceId subject, Timestamp now)
{
    auto const member = this->blackboard.members.read(subject);
    if (!member)
        return;
    // An instance that has announced its leaving has stopped.
    if (member->value.state == MemberState::Leaving)
        this->setMemberState(subject, MemberState::Leaving, MemberState::Dead, now);
    if (member->value.state != MemberState::Alive)
        return;
    this->setMemberState(subject, MemberState::Alive, MemberState::Suspect, now);
    // The suspected member learns of it from the ping and can refute.
    this->sendQuestion(subject, now);
}

void MembershipController::setMemberState(InstanceId member, MemberState from, MemberState to, Timestamp now)
{
    std::optional<MemberRecord> changed;
    this->blackboard.members.update(member, [&](std::optional<MemberRecord> const &known) {
        changed = known && known->state == from ? known : std::nullopt;
        if (changed)
            changed->state = to;
        return changed;
    });
    if (!changed)
        return;
    this->noteState(*changed, now);
    queueMember(this->blackboard, member, this->maximumTransmissions());
    this->outbox.report(to == MemberState::Dead ? Event::MemberDead : Event::MemberSuspected, changed->name);
}

void MembershipController::expireStates(Timestamp now)
{
    for (auto const &[member, state] : this->statesSince.entries()) {
        auto const age = now - state.since;
        if (state.state == MemberState::Suspect && age >= suspicionQuestionAge)
            this->askSuspect(member, state, now);
        if (state.state == MemberState::Suspect && age >= suspicionPeriod)
            this->setMemberState(member, MemberState::Suspect, MemberState::Dead, now);
        else if (state.state == MemberState::Dead && age >= deadMemberKept)
            this->forgetMember(member);
    }
}

void MembershipController::askSuspect(InstanceId member, StateSince const &state, Timestamp now)
{
    if (state.stage == SuspicionStage::Asked)
        return;
    auto const current = this->statesSince.read(member);
    auto next = state;
    next.stage = SuspicionStage::Asked;
    if (current && current->value == state
        && this->statesSince.write(member, next, current->version) == WriteOutcome::Written)
        this->sendQuestion(member, now);
}

void MembershipController::forgetMember(InstanceId member)
{
    auto const current = this->blackboard.members.read(member);
    auto const seeds = this->seedIds.read();
    if (!current || current->value.state != MemberState::Dead || std::ranges::count(*seeds, member) > 0)
        return;
    if (this->blackboard.members.erase(member, current->version) == WriteOutcome::Written)
        this->statesSince.remove(member);
}

bool MembershipController::isAloneInOwnDomain(MemberRecord const &self) const
{
    auto const members = this->blackboard.members.entries();
    return std::ranges::none_of(members, [&self](auto const &entry) {
        MemberRecord const &member = entry.second;
        return member.id != self.id && member.failureDomain == self.failureDomain
            && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
    });
}

void MembershipController::updateOwnStatus(Timestamp now)
{
    auto const contact = *this->ownContact.read();
    auto const before = *this->blackboard.ownStatus.read();
    bool const isAckRecent = contact.ownDomainAck && now - *contact.ownDomainAck < leasePeriod;
    bool const isAlone = !isAckRecent && this->isAloneInOwnDomain(before.self);
    bool const isJoined = contact.hasRecords && (isAckRecent || (isAlone && contact.anyAck));
    auto const majority = hasMajorityWithin(*this->controlContacts.read(), majorityContactPeriod, now)
        ? MajorityContact::Recent
        : MajorityContact::Lost;
    auto const after = this->blackboard.ownStatus.update([&](OwnStatus status) {
        // Another thread has found a pause since the contact was read.
        if (status.self.incarnation != before.self.incarnation)
            return status;
        if (status.phase == InstancePhase::Joining && (isJoined || now - contact.joiningSince >= joinTimeout))
            status.phase = InstancePhase::Serving;
        bool const isLeaseHeld = status.phase != InstancePhase::Joining && (isAckRecent || isAlone);
        status.lease = isLeaseHeld ? LeaseState::Held : LeaseState::Expired;
        status.majorityContact = majority;
        return status;
    });
    auto until = contact.lastTick + pauseLimit;
    if (isAckRecent)
        until = std::min(until, *contact.ownDomainAck + leasePeriod);
    this->dispatchUntil.store(after->lease == LeaseState::Held ? until.time_since_epoch().count() : 0,
                              std::memory_order_release);
    this->reportChanges(before, *after);
}

void MembershipController::reportChanges(OwnStatus const &before, OwnStatus const &after) const
{
    if (before.phase == InstancePhase::Joining && after.phase == InstancePhase::Serving)
        this->outbox.report(Event::InstanceServing, after.self.name);
    if (before.lease == LeaseState::Held && after.lease == LeaseState::Expired)
        this->outbox.report(Event::LeaseExpired, after.self.name);
    if (before.majorityContact == MajorityContact::Recent && after.majorityContact == MajorityContact::Lost)
        this->outbox.report(Event::MajorityContactLost, after.self.name);
}

} // namespace almondwing
