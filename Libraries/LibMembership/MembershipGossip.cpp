// Implements the parts of MembershipController that compose and send messages to other instances.

#include <LibMembership/MembershipController.h>

#include <LibMembership/Dissemination.h>

#include <utility>

namespace almondwing {

// A receiver that is suspected or dead here gets the record that this instance holds of it, so that it can
// refute it. A dead or unknown receiver also gets the record of this instance, because it may consider this
// instance dead as well; so does one that holds an outdated record of it (`freshness`). A receiver whose
// incarnation is outdated here gets the outdated record, so that it sends its current one.
Gossip MembershipController::composeGossip(InstanceId receiver, std::uint64_t receiverIncarnation,
                                           RecordFreshness freshness, Timestamp now)
{
    auto const self = this->ownRecord();
    this->controlContacts.update(
        [&](ControlContacts contacts) { return recordContact(std::move(contacts), self.id, now); });
    Gossip gossip{.from = self.id,
                  .incarnation = self.incarnation,
                  .configurationVersion = this->blackboard.configuration.read()->version,
                  .recordsDigest = this->currentDigest(now),
                  .controlContactAges = contactAges(*this->controlContacts.read(), now),
                  .members = {},
                  .targets = {}};
    auto const known = this->blackboard.members.read(receiver);
    bool const isUnknownOrDead = !known || known->value.state == MemberState::Dead;
    bool const isSuspected = known && known->value.state == MemberState::Suspect;
    if (known && (isUnknownOrDead || isSuspected || known->value.incarnation < receiverIncarnation))
        gossip.members.push_back(known->value);
    if (isUnknownOrDead || freshness == RecordFreshness::Outdated)
        gossip.members.push_back(self);
    attachUpdates(this->blackboard, gossip, this->maxTransmissions());
    return gossip;
}

void MembershipController::sendPing(InstanceId subject, Probe const &probe, Timestamp now)
{
    auto const nonce = this->randomSource();
    (void)this->probes.write(nonce, probe, 0);
    auto const gossip = this->composeGossip(subject, 0, RecordFreshness::Current, now);
    this->send(subject, Ping{.nonce = nonce, .gossip = gossip}, gossip);
}

void MembershipController::sendBestEffortPing(InstanceId subject, Timestamp now)
{
    this->sendPing(subject, Probe{.subject = subject, .sentAt = now, .stage = ProbeStage::BestEffort}, now);
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
