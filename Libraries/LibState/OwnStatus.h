// The status of this instance.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/PeerMessages.h>

#include <cstdint>

namespace almondwing {

enum class InstancePhase : std::uint8_t {
    Joining, // Has not received a message from a peer yet and serves no traffic.
    Serving,
    Leaving, // Shuts down gracefully: finishes its work and accepts no new work.
};

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
