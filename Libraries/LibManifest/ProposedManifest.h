// A manifest as an operator's build pipeline generates it, together with what it leaves to the operators.

#pragma once

#include <LibManifest/Manifest.h>

#include <string>
#include <vector>

namespace almondwing {

enum class DrainingList : std::uint8_t { Unnamed, Named };

// A pipeline knows services and pools, but not which failure domain an operator took out an hour ago. What it
// does not name is kept from the current manifest when the proposal is applied.
struct ProposedManifest
{
    Manifest manifest; // Unnamed states are in service, an unnamed draining list is empty.
    // Failure domains whose state is named, in the order of the manifest.
    std::vector<std::string> domainsWithState = {};
    DrainingList drainingList = DrainingList::Unnamed;

    // A proposal that names everything, so that applying it gives exactly this manifest.
    static ProposedManifest withAllStates(Manifest manifest);

    friend auto operator<=>(ProposedManifest const &, ProposedManifest const &) = default;
};

} // namespace almondwing
