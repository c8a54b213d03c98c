// The rules that every manifest keeps, whichever way it came in.

#pragma once

#include <LibManifest/InputError.h>
#include <LibManifest/Manifest.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// Upper limits, several times the design scale of 5 failure domains, 1,100 services and 4,500 targets. They
// bound the memory of an instance and catch typing errors.
constexpr std::size_t maxFailureDomains = 64;
constexpr std::size_t maxPools = 1000;
constexpr std::size_t maxServices = 10000;
constexpr std::size_t maxDrainingTargets = 20000;
constexpr std::uint32_t maxSlots = 10000;
constexpr std::uint32_t maxConnections = 1000000;

// All errors, in the order of the document; empty if the manifest is valid.
InputErrors checkManifest(Manifest const &manifest);

} // namespace almondwing
