// The third part of MembershipController: what goes out with each message between instances.

#include <LibMembership/MembershipController.h>

#include <LibMembership/Dissemination.h>

#include <utility>

namespace almondwing {

Gossip MembershipController::composeGossip(InstanceId receiver, std::uint64_t receiverIncarnation,
                                           PeerView view, Timestamp now)
{
    auto const self = this->own();
    this->controlContacts.update(
        [&](ControlContacts contacts) { return noteEvidence(std::move(contacts), self.id, now); });
    Gossip gossip{.from = self.id,
                  .incarnation = self.incarnation,
                  .configurationVersion = this->blackboard.configuration.read()->version,
                  .recordsDigest = this->currentDigest(now),
                  .controlContactAges = agesOf(*this->controlContacts.read(), now),
                  .members = {},
                  .targets = {}};
    auto const known = this->blackboard.members.read(receiver);
    bool const isAbsent = !known || known->value.state == MemberState::Dead;
    bool const isDoubted = known && known->value.state == MemberState::Suspect;
    if (known && (isAbsent || isDoubted || known->value.incarnation < receiverIncarnation))
        gossip.members.push_back(known->value);
    if (isAbsent || view == PeerView::Outdated)
        gossip.members.push_back(self);
    attachUpdates(this->blackboard, gossip, this->maximumTransmissions());
    return gossip;
}

void MembershipController::sendPing(InstanceId subject, Probe const &probe, Timestamp now)
{
    auto const nonce = this->randomSource();
    (void)this->probes.write(nonce, probe, 0);
    auto const gossip = this->composeGossip(subject, 0, PeerView::Current, now);
    this->send(subject, Ping{.nonce = nonce, .gossip = gossip}, gossip);
}

void MembershipController::sendQuestion(InstanceId subject, Timestamp now)
{
    this->sendPing(subject, Probe{.subject = subject, .sentAt = now, .stage = ProbeStage::Question}, now);
}

void MembershipController::sendAck(InstanceId receiver, Ack ack, Gossip gossip)
{
    ack.gossip = std::move(gossip);
    this->send(receiver, ack, ack.gossip);
}

void MembershipController::send(InstanceId receiver, PeerMessage const &message, Gossip const &gossip)
{
    this->totals.update([&gossip](MembershipCounters counters) {
        ++counters.messages;
        counters.memberRecords += gossip.members.size();
        counters.targetRecords += gossip.targets.size();
        return counters;
    });
    this->outbox.sendToInstance(receiver, message);
}

} // namespace almondwing
