// Changes of a manifest as pure functions, which return the new manifest or the reason for the refusal. The
// texts of refusals are stored in the replicated state, so they must not differ between releases.

#pragma once

#include <LibManifest/Manifest.h>
#include <LibManifest/ProposedManifest.h>

#include <absl/status/statusor.h>

#include <string>

namespace almondwing {

// Taking out the last failure domain in service stops all services, so it must be forced explicitly.
enum class LastDomainPolicy : std::uint8_t { Refuse, Force };

enum class DrainState : std::uint8_t { Draining, Active };

// Returns false for a failure domain that is not in the manifest.
bool isTakenOut(Manifest const &manifest, std::string const &domain);

// Setting the state that a failure domain already has changes nothing and is not an error.
absl::StatusOr<Manifest> setFailureDomainState(Manifest const &manifest, std::string const &domain,
                                               FailureDomainState state, LastDomainPolicy policy);

// The target may be unknown: targets announce themselves, and a target can be drained before it starts.
absl::StatusOr<Manifest> setTargetDraining(Manifest const &manifest, std::string const &target,
                                           DrainState state);

// Merges a proposal with the states of the current manifest that it does not specify. Refuses a manifest of
// another deployment; one that omits a failure domain now in service, which has to be taken out first because
// its flows would break; and one with no failure domain in service, unless operators forced that before.
absl::StatusOr<Manifest> applyProposal(Manifest const &current, ProposedManifest const &proposal);

} // namespace almondwing
