// Implements the shared manifests and change requests.

#include "ConfigurationChanges.h"

#include <LibCore/Verify.h>
#include <LibManifest/ManifestJson.h>

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace almondwing {

namespace {

constexpr std::uint64_t drainableTargetCount = 20;
// Unix time of 4 December 2026; the requests are one second apart.
constexpr std::int64_t firstSubmittedAt = 1'796'342'400;

ChangeRequest request(std::string_view idPrefix, std::uint64_t number, ConfigurationChange change)
{
    return ChangeRequest{.requestId = fmt::format("{}-{:032x}", idPrefix, number),
                         .operatorName = "example",
                         .submittedAt = firstSubmittedAt + static_cast<std::int64_t>(number),
                         .change = std::move(change)};
}

} // namespace

Manifest exampleManifest(std::string const &name)
{
    std::ifstream file(fmt::format("{}/{}.json", EXAMPLES_FOLDER, name));
    std::string const text(std::istreambuf_iterator<char>(file), {});
    auto const parsed = parseManifest(text);
    auto const *const proposal = std::get_if<ProposedManifest>(&parsed);
    VERIFY(proposal != nullptr);
    return proposal->manifest;
}

Manifest designSizeManifest()
{
    constexpr std::size_t domains = 5;
    constexpr std::size_t pools = 100;
    constexpr std::size_t services = 1100;
    Manifest manifest{.deployment = "design-size"};
    for (std::size_t index = 0; index < domains; ++index)
        manifest.failureDomains.push_back(FailureDomain{.name = fmt::format("domain-{}", index),
                                                        .region = fmt::format("region-{}", index % 2)});
    for (std::size_t index = 0; index < pools; ++index)
        manifest.pools.push_back(TargetPool{.name = fmt::format("pool-{}", index),
                                            .limits = {.slots = 2, .connections = 2000},
                                            .loadReporting = LoadReporting::ReportsLoad});
    for (std::size_t index = 0; index < services; ++index)
        manifest.services.push_back(Service{
            .name = fmt::format("service-{}", index),
            .address = Endpoint{.address = 0x7f000001, .port = static_cast<std::uint16_t>(7000 + index)},
            .pool = fmt::format("pool-{}", index % pools)});
    return manifest;
}

ChangeRequest applyRequest(Manifest const &manifest, std::uint64_t baseVersion)
{
    ChangeRequest result =
        request("app", baseVersion, ApplyManifest{.proposal = ProposedManifest{.manifest = manifest}});
    result.baseVersion = baseVersion;
    return result;
}

ChangeRequest drainRequest(std::uint64_t number)
{
    std::uint64_t const round = number / drainableTargetCount;
    return request("drn", number,
                   SetTargetDraining{.target = fmt::format("target-{}", number % drainableTargetCount),
                                     .state = round % 2 == 0 ? DrainState::Draining : DrainState::Active});
}

} // namespace almondwing
