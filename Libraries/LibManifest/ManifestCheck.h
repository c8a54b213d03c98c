// Validation rules for manifests from all sources.

#pragma once

#include <LibManifest/InputError.h>
#include <LibManifest/Manifest.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// Upper limits, several times the design scale of 5 failure domains, 1,100 services and 4,500 targets. They
// limit the memory of an instance and catch typing errors.
constexpr std::size_t maxFailureDomains = 64;
constexpr std::size_t maxPools = 1000;
constexpr std::size_t maxServices = 10000;
constexpr std::size_t maxDrainingTargets = 20000;
constexpr std::uint32_t maxSlots = 10000;
constexpr std::uint32_t maxConnections = 1000000;

// Returns up to maxInputErrors errors and a note if there are more; empty if the manifest is valid. The texts
// of errors are stored in the replicated state, so they must not differ between releases.
InputErrors checkManifest(Manifest const &manifest);

} // namespace almondwing
