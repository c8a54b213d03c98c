// Keeps how long ago there was evidence of each control instance, first-hand or through peers.
//
// An instance cannot probe up to 7 control instances every 4 s on top of its rounds, so each membership
// message carries the ages of the sender's evidence: one byte for each control instance, at most 9 bytes with
// the field header. Only acks count, and their ages are added to the whole time since the own ping was sent.
// Evidence is therefore never taken for younger than it is, however long a packet was delayed.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibState/OwnStatus.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace almondwing {

constexpr Duration contactAgeUnit = 25ms;

struct ControlContact
{
    InstanceId instance;
    std::optional<Timestamp> lastEvidence;

    friend bool operator==(ControlContact const &, ControlContact const &) = default;
};

// In the order of the names in the settings, which is the order of the ages in messages.
using ControlContacts = std::vector<ControlContact>;

ControlContacts noteEvidence(ControlContacts contacts, InstanceId instance, Timestamp at);

// `sentAt` is when the ping was sent whose ack carried the ages. Ages of another number of control instances
// come from a peer with other settings and are left out.
ControlContacts mergeAges(ControlContacts contacts, std::span<std::uint8_t const> ages, Timestamp sentAt);

std::vector<std::uint8_t> agesOf(ControlContacts const &contacts, Timestamp now);

ControlContacts forgetEvidence(ControlContacts contacts);

bool isControlInstance(ControlContacts const &contacts, InstanceId instance);

// Whether a majority has evidence that is at most this old.
bool hasMajorityWithin(ControlContacts const &contacts, Duration age, Timestamp now);

} // namespace almondwing
