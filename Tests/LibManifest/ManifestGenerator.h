// Generates valid manifests for property tests.

#pragma once

#include <LibManifest/ManifestOperations.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

inline Manifest makeManifest(std::uint32_t domainCount, std::uint32_t poolCount, std::uint32_t serviceCount)
{
    Manifest manifest{.deployment = "sk-central"};
    for (std::uint32_t index = 0; index < domainCount; ++index)
        manifest.failureDomains.push_back({.name = fmt::format("zone-{}", index), .region = "sk"});
    for (std::uint32_t index = 0; index < poolCount; ++index)
        manifest.pools.push_back({.name = fmt::format("pool-{}", index),
                                  .limits = {.slots = 2 + index, .connections = 2000},
                                  .loadReporting = LoadReporting::ReportsLoad});
    for (std::uint32_t index = 0; index < serviceCount; ++index)
        manifest.services.push_back(
            {.name = fmt::format("service-{}", index),
             .address = {.address = 0x7f000001U, .port = static_cast<std::uint16_t>(7000 + index)},
             .pool = fmt::format("pool-{}", index % poolCount)});
    return manifest;
}

// Returns a manifest with at least one failure domain in service.
inline Manifest arbitraryManifest()
{
    auto const count = rc::gen::inRange<std::uint32_t>(1, 5);
    Manifest manifest = makeManifest(*count, *count, *count);
    for (std::size_t index = 1; index < manifest.failureDomains.size(); ++index)
        manifest.failureDomains[index].state =
            *rc::gen::element(FailureDomainState::InService, FailureDomainState::TakenOut);
    auto const drainingCount = *rc::gen::inRange(0, 4);
    for (int index = 0; index < drainingCount; ++index)
        manifest.drainingTargets.push_back(fmt::format("target-{}", index));
    return manifest;
}

} // namespace almondwing
