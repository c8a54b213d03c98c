// Implements the periodic parts of MembershipController: probes, suspicion, the lease, and the detection of
// pauses of the process.

#include <LibMembership/MembershipController.h>

#include <LibMembership/Dissemination.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace almondwing {

namespace {

bool isNotDead(MemberRecord const &member)
{
    return member.state != MemberState::Dead;
}

} // namespace

void MembershipController::tick(Timestamp now)
{
    this->detectPause(now);
    this->ownConnectivity.update([now](Connectivity connectivity) {
        connectivity.lastTick = std::max(connectivity.lastTick, now);
        return connectivity;
    });
    this->expireProbes(now);
    this->expireTimedStates(now);
    this->sendDueProbes(now);
    this->probeControlInstances(now);
    this->confirmDigestDifference(now);
    this->updateOwnStatus(now);
}

// Ticks and messages call this first, because the first call after a pause may be for a message that waited
// in the socket. Of several threads, only the one that updates lastTick restarts the protocol.
void MembershipController::detectPause(Timestamp now)
{
    bool wasPaused = false;
    if (now - this->ownConnectivity.read()->lastTick <= maxTickGap)
        return;
    this->ownConnectivity.update([&wasPaused, now](Connectivity const &connectivity) {
        wasPaused = now - connectivity.lastTick > maxTickGap;
        return wasPaused ? Connectivity{.joiningSince = now, .lastTick = now} : connectivity;
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
    this->publishOwnRecord(status->self);
    this->controlContacts.update([](ControlContacts contacts) { return clearContacts(std::move(contacts)); });
    // Outstanding probes and running timeouts from before the pause say nothing about the other members.
    for (auto const &[nonce, probe] : this->probes.entries())
        this->probes.remove(nonce);
    for (auto const &[member, state] : this->timedStates.entries()) {
        this->timedStates.update(member, [now](std::optional<TimedState> const &current) {
            return current ? std::optional(TimedState{.state = current->state, .since = now}) : std::nullopt;
        });
    }
    this->outbox.report(Event::PauseDetected, fmt::format("incarnation is now {}", status->self.incarnation));
}

ProbeCandidates MembershipController::probeCandidates() const
{
    auto const self = this->ownRecord();
    ProbeCandidates result;
    for (auto const &[id, member] : this->blackboard.members.entries()) {
        if (id == self.id)
            continue;
        if (!isNotDead(member))
            result.dead.push_back(id);
        else if (member.failureDomain == self.failureDomain)
            result.ownDomain.push_back(id);
        else
            result.otherDomains.push_back(id);
    }
    std::ranges::sort(result.dead);
    std::ranges::sort(result.ownDomain);
    std::ranges::sort(result.otherDomains);
    return result;
}

void MembershipController::sendDueProbes(Timestamp now)
{
    if (!isProbeDue(*this->probeSchedule.read(), now))
        return;
    auto const members = this->probeCandidates();
    auto const seed = this->randomSource();
    auto const interval = this->blackboard.ownStatus.read()->phase == InstancePhase::Joining
        ? deadMemberProbeIntervalWhileJoining
        : deadMemberProbeInterval;
    ProbePlan plan;
    this->probeSchedule.update([&](ProbeSchedule const &schedule) {
        plan = planProbes(schedule, members, interval, now, seed);
        return plan.schedule;
    });
    for (InstanceId const subject : plan.probes)
        this->sendPing(subject, Probe{.subject = subject, .sentAt = now}, now);
}

// Probes a control instance outside of the regular rounds if the contact ages from peers are too old. Round
// robin over the control instances that are not known to be dead.
void MembershipController::probeControlInstances(Timestamp now)
{
    auto const contacts = this->controlContacts.read();
    auto const self = this->ownRecord().id;
    auto const threshold =
        isControlInstance(*contacts, self) ? controlProbeThresholdOfControlInstance : controlProbeThreshold;
    if (hasMajorityContact(*contacts, threshold, now) || now < this->probeSchedule.read()->controlProbeDue)
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
        if (subjects.empty() || now < schedule.controlProbeDue)
            return schedule;
        schedule.controlProbeDue = now + controlProbeInterval;
        schedule.lastControlIndex = (schedule.lastControlIndex + 1) % subjects.size();
        subject = subjects[schedule.lastControlIndex];
        return schedule;
    });
    if (subject)
        this->sendPing(*subject, Probe{.subject = *subject, .sentAt = now}, now);
}

void MembershipController::confirmDigestDifference(Timestamp now)
{
    auto const digest = this->currentDigest(now);
    std::optional<InstanceId> peer;
    this->antiEntropy.update([&](AntiEntropyState const &before) {
        auto const state = updateOwnDigest(before, digest, now);
        peer = peerToPing(state, now);
        return peer ? stateAfterPing(state, now) : state;
    });
    if (peer)
        this->sendBestEffortPing(*peer, now);
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
    if (!subject || !isNotDead(subject->value))
        return;
    auto const members = this->probeCandidates();
    auto relays = members.ownDomain;
    relays.insert(relays.end(), members.otherDomains.begin(), members.otherDomains.end());
    std::erase(relays, probe.subject);
    relays = shuffled(std::move(relays), this->randomSource());
    relays.resize(std::min(relays.size(), indirectProbeCount));
    for (InstanceId const relay : relays) {
        auto const gossip = this->composeGossip(relay, 0, RecordFreshness::Current, now);
        this->send(relay, IndirectPing{.nonce = nonce, .subject = probe.subject, .gossip = gossip}, gossip);
    }
}

void MembershipController::handleProbeFailure(InstanceId subject, Timestamp now)
{
    auto const member = this->blackboard.members.read(subject);
    if (!member)
        return;
    // A leaving member that no longer answers has stopped, so there is no need to suspect it first.
    if (member->value.state == MemberState::Leaving)
        this->setMemberState(subject, MemberState::Leaving, MemberState::Dead, now);
    if (member->value.state != MemberState::Alive)
        return;
    this->setMemberState(subject, MemberState::Alive, MemberState::Suspect, now);
    // The ping carries the Suspect record to the member, so that it can refute it.
    this->sendBestEffortPing(subject, now);
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
    this->trackTimedState(*changed, now);
    queueMemberUpdate(this->blackboard, member, this->maxTransmissions());
    this->outbox.report(to == MemberState::Dead ? Event::MemberDead : Event::MemberSuspected, changed->name);
}

void MembershipController::expireTimedStates(Timestamp now)
{
    for (auto const &[member, state] : this->timedStates.entries()) {
        auto const age = now - state.since;
        if (state.state == MemberState::Suspect && age >= suspectPingDelay)
            this->pingSuspect(member, state, now);
        if (state.state == MemberState::Suspect && age >= suspicionTimeout)
            this->setMemberState(member, MemberState::Suspect, MemberState::Dead, now);
        else if (state.state == MemberState::Dead && age >= deadMemberRetention)
            this->removeMember(member);
    }
}

void MembershipController::pingSuspect(InstanceId member, TimedState const &state, Timestamp now)
{
    if (state.stage == SuspicionStage::Pinged)
        return;
    auto const current = this->timedStates.read(member);
    auto next = state;
    next.stage = SuspicionStage::Pinged;
    if (current && current->value == state
        && this->timedStates.write(member, next, current->version) == WriteOutcome::Written)
        this->sendBestEffortPing(member, now);
}

void MembershipController::removeMember(InstanceId member)
{
    auto const current = this->blackboard.members.read(member);
    auto const seeds = this->seedIds.read();
    if (!current || current->value.state != MemberState::Dead || std::ranges::count(*seeds, member) > 0)
        return;
    if (this->blackboard.members.erase(member, current->version) == WriteOutcome::Written)
        this->timedStates.remove(member);
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
    auto const connectivity = *this->ownConnectivity.read();
    auto const before = *this->blackboard.ownStatus.read();
    bool const isAckRecent =
        connectivity.lastOwnDomainAck && now - *connectivity.lastOwnDomainAck < leaseDuration;
    bool const isAlone = !isAckRecent && this->isAloneInOwnDomain(before.self);
    bool const isJoined = connectivity.hasRecords && (isAckRecent || (isAlone && connectivity.lastAck));
    auto const majority = hasMajorityContact(*this->controlContacts.read(), majorityContactTimeout, now)
        ? MajorityContact::Recent
        : MajorityContact::Lost;
    auto const after = this->blackboard.ownStatus.update([&](OwnStatus status) {
        // Another thread has detected a pause or refuted a record since `ownConnectivity` was read.
        if (status.self.incarnation != before.self.incarnation)
            return status;
        if (status.phase == InstancePhase::Joining
            && (isJoined || now - connectivity.joiningSince >= joinTimeout))
            status.phase = InstancePhase::Serving;
        bool const isLeaseHeld = status.phase != InstancePhase::Joining && (isAckRecent || isAlone);
        status.lease = isLeaseHeld ? LeaseState::Held : LeaseState::Expired;
        status.majorityContact = majority;
        return status;
    });
    auto until = connectivity.lastTick + maxTickGap;
    if (isAckRecent)
        until = std::min(until, *connectivity.lastOwnDomainAck + leaseDuration);
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
