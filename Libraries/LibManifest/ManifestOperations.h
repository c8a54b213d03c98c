// Changes of a manifest as pure functions: the new manifest, or the reason why the change is refused.

#pragma once

#include <LibManifest/Manifest.h>
#include <LibManifest/ProposedManifest.h>

#include <absl/status/statusor.h>

#include <string>

namespace almondwing {

// Taking out the last failure domain in service stops all services, so it has to be asked for explicitly.
enum class LastDomainPolicy : std::uint8_t { Refuse, Force };

enum class DrainState : std::uint8_t { Draining, Active };

// False for a failure domain that the manifest does not name.
bool isTakenOut(Manifest const &manifest, std::string const &domain);

// Setting the state that a failure domain already has changes nothing and is no error.
absl::StatusOr<Manifest> setFailureDomainState(Manifest const &manifest, std::string const &domain,
                                               FailureDomainState state, LastDomainPolicy policy);

// The target may be unknown: targets announce themselves, and one that is about to start can be drained.
absl::StatusOr<Manifest> setTargetDraining(Manifest const &manifest, std::string const &target,
                                           DrainState state);

// The proposal with the states of the current manifest wherever it names none. Refused are a manifest of
// another deployment, one without a failure domain that is still in service (its flows would break; it has to
// be taken out first), and one that leaves no failure domain in service, unless operators forced that before.
absl::StatusOr<Manifest> applyProposal(Manifest const &current, ProposedManifest const &proposal);

} // namespace almondwing
