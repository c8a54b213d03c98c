// Explains to which target this instance would currently route a flow or request, and why.

#pragma once

#include <LibCore/Identifier.h>
#include <LibState/Blackboard.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

struct Explanation
{
    std::string service;
    std::uint16_t bucket = 0;
    std::string target; // Empty if no target is assigned to the bucket.
    std::string targetFailureDomain;
    std::string dispatcher; // Empty if no instance of that failure domain is alive.
    std::uint64_t configurationVersion = 0;
    std::vector<std::string> claimedBy; // Other targets that may have the flow or request.
    std::vector<std::string> reasons; // A sentence for each decision, in order.

    friend bool operator==(Explanation const &, Explanation const &) = default;
};

// `hash` is the hash of the FlowKey or RequestKey.
Explanation explainRoute(Blackboard const &blackboard, std::string const &service, std::uint64_t hash);

} // namespace almondwing
