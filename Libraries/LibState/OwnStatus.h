// The status of this instance.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/PeerMessages.h>

#include <cstdint>

namespace almondwing {

enum class InstancePhase : std::uint8_t {
    // Serves no traffic until it has the records of its peers and a recent acknowledgement, or until
    // `joinTimeout` has passed.
    Joining,
    Serving,
    Leaving, // Shuts down gracefully: finishes its work and accepts no new work.
};

// Whether another instance of the failure domain has recently acknowledged a message of this one, or no other
// instance of it is alive or suspected. Without the lease, other instances may already have taken over the
// targets of this instance, so it starts no work. A joining instance has no lease.
enum class LeaseState : std::uint8_t { Held, Expired };

// Whether there is recent evidence that a majority of the control instances is alive, received from them or
// through peers.
enum class MajorityContact : std::uint8_t { Recent, Lost };

struct OwnStatus
{
    MemberRecord self;
    InstancePhase phase = InstancePhase::Joining;
    LeaseState lease = LeaseState::Expired;
    MajorityContact majorityContact = MajorityContact::Recent;

    friend bool operator==(OwnStatus const &, OwnStatus const &) = default;
};

} // namespace almondwing
