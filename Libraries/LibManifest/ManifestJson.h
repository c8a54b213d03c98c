// The JSON form of manifests, for build pipelines, operators and the replicated log.

#pragma once

#include <LibManifest/InputError.h>
#include <LibManifest/ProposedManifest.h>

#include <string>
#include <variant>

namespace almondwing {

using ManifestResult = std::variant<ProposedManifest, InputErrors>;

// Reads and checks a manifest. Returns either all errors or a valid proposal.
ManifestResult parseManifest(std::string const &json);

// The result includes the states of all failure domains and the list of draining targets.
std::string formatManifest(Manifest const &manifest);

// The result includes only the states that the proposal specifies.
std::string formatProposedManifest(ProposedManifest const &proposal);

} // namespace almondwing
