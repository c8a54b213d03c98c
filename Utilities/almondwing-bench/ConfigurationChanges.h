// Manifests and change requests that the parts of the configuration experiment share.

#pragma once

#include <LibConfiguration/ChangeRequest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace almondwing {

// Reads a manifest from docs/examples.
Manifest exampleManifest(std::string const &name);

// A manifest of the design size, the largest deployment that almondwing is designed for: 680 instances, about
// 4,500 targets, five failure domains in two regions, and 1,100 services. Instances and targets are not part
// of the manifest.
Manifest designSizeManifest();

// The ids of these requests are as long as UUIDs, which operators use.
ChangeRequest applyRequest(Manifest const &manifest, std::uint64_t baseVersion);

// With ascending numbers, the requests drain 20 targets one by one, then undrain them one by one, and so on,
// so that each request changes the manifest.
ChangeRequest drainRequest(std::uint64_t number);

} // namespace almondwing
