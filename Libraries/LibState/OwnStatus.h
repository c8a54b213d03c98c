// What an instance knows of itself.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/PeerMessages.h>

#include <cstdint>

namespace almondwing {

enum class InstancePhase : std::uint8_t {
    Joining, // Has not heard from a peer yet; serves nothing.
    Serving,
    Leaving, // Graceful shutdown: finishes its work, takes no new one.
};

enum class LeaseState : std::uint8_t { Held, Expired };

// Whether a majority of the control instances has been heard of recently, directly or through peers.
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
