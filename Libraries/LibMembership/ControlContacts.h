// Tracks when each control instance (see MembershipSettings) was last known to be alive, from its own acks or
// through peers.
//
// An instance cannot probe all control instances, up to 7, within each majorityContactTimeout of 4 s in
// addition to its regular rounds, so each membership message carries the sender's contact ages: one byte for
// each control instance, at most 9 bytes with the field header. Only the ages in acks are used, and they are
// counted back from the time at which the acknowledged ping was sent. A contact is therefore never taken for
// more recent than it is, however long a packet was delayed.

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
    std::optional<Timestamp> lastContact;

    friend bool operator==(ControlContact const &, ControlContact const &) = default;
};

// Sorted by the names of the control instances, which is the order of the ages in messages.
using ControlContacts = std::vector<ControlContact>;

ControlContacts recordContact(ControlContacts contacts, InstanceId instance, Timestamp at);

// `sentAt` is the time at which the ping was sent whose ack carried the ages. A list of another length comes
// from a peer with different settings and is ignored.
ControlContacts mergeContactAges(ControlContacts contacts, std::span<std::uint8_t const> ages,
                                 Timestamp sentAt);

std::vector<std::uint8_t> contactAges(ControlContacts const &contacts, Timestamp now);

ControlContacts clearContacts(ControlContacts contacts);

bool isControlInstance(ControlContacts const &contacts, InstanceId instance);

// Returns whether the last contact with a majority is at most `maxAge` old, or there are no control
// instances.
bool hasMajorityContact(ControlContacts const &contacts, Duration maxAge, Timestamp now);

} // namespace almondwing
