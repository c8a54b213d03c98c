// A manifest as a build pipeline of an operator generates it, which may leave some states unspecified.

#pragma once

#include <LibManifest/Manifest.h>

#include <string>
#include <vector>

namespace almondwing {

// Whether a proposal specifies the list of draining targets.
enum class DrainingList : std::uint8_t { Absent, Present };

// A pipeline knows services and pools, but not which failure domains operators have taken out. States that it
// does not specify are kept from the current manifest when the proposal is applied.
struct ProposedManifest
{
    Manifest manifest; // Unspecified states are InService, and an unspecified draining list is empty.
    // Failure domains whose state is specified, in the order of the manifest.
    std::vector<std::string> domainsWithState = {};
    DrainingList drainingList = DrainingList::Absent;

    // Returns a proposal that specifies all states, so that applying it results in exactly this manifest.
    static ProposedManifest withAllStates(Manifest manifest);

    friend auto operator<=>(ProposedManifest const &, ProposedManifest const &) = default;
};

} // namespace almondwing
