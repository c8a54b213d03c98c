// The JSON form of manifests, for build pipelines, operators and the replicated log.

#pragma once

#include <LibManifest/InputError.h>
#include <LibManifest/ProposedManifest.h>

#include <string>
#include <variant>

namespace almondwing {

using ManifestResult = std::variant<ProposedManifest, InputErrors>;

// Reads and checks a manifest. All errors are reported at once; a proposal that is returned is valid.
ManifestResult parseManifest(std::string const &json);

// With all states of failure domains and the list of draining targets.
std::string formatManifest(Manifest const &manifest);

// With only the states that the proposal names.
std::string formatProposedManifest(ProposedManifest const &proposal);

} // namespace almondwing
