// Manifests and changes that the experiments on the configuration share.

#pragma once

#include <LibConfiguration/ChangeRequest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace almondwing {

// A manifest of docs/examples.
Manifest exampleManifest(std::string const &name);

// Five failure domains in two regions and 1,100 services.
Manifest designSizeManifest();

// Operators make requests with ids of the length of a UUID.
ChangeRequest applyRequest(Manifest const &manifest, std::uint64_t baseVersion);

// Drains one of 20 targets, or brings it back; each request changes the manifest.
ChangeRequest drainRequest(std::uint64_t number);

} // namespace almondwing
