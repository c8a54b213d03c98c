// Fuzzes the parser of manifests.

#include "FuzzSeeds.h"

#include <LibCore/Verify.h>
#include <LibManifest/ManifestCheck.h>
#include <LibManifest/ManifestJson.h>

#include <array>
#include <string>

namespace {

constexpr std::array<std::string_view, 3> seeds{
    R"({"deployment": "a", "failureDomains": [{"name": "z", "region": "r"}],
        "pools": [{"name": "p", "slots": 2, "connections": 2000, "reportsLoad": true}],
        "services": [{"name": "s", "address": "127.0.0.1:7101", "pool": "p"}]})",
    R"({"deployment": "a", "failureDomains": [{"name": "y", "region": "r", "state": "in-service"},
        {"name": "z", "region": "r", "state": "taken-out"}],
        "pools": [{"name": "p", "slots": 1, "connections": 1, "reportsLoad": false}],
        "services": [{"name": "s", "address": "127.0.0.1:1", "pool": "p"}], "drainingTargets": ["t", "u"]})",
    R"({"deployment": 1, "deployment": "\u0000", "failureDomains": [[]], "pools": {}, "services": [{}]})"};

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maximumSize,
                                               unsigned random)
{
    return almondwing::mutateFromSeeds(seeds, {data, maximumSize}, size, random);
}

// Guards against crashes, against accepted manifests that break a rule, and against manifests that change
// when they are formatted and parsed again.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    using namespace almondwing;
    ManifestResult const result = parseManifest(std::string(data, data + size));
    if (auto const *const errors = std::get_if<InputErrors>(&result)) {
        VERIFY(!errors->empty());
        return 0;
    }
    auto const &proposal = std::get<ProposedManifest>(result);
    VERIFY(checkManifest(proposal.manifest).empty());
    VERIFY(parseManifest(formatProposedManifest(proposal)) == result);
    return 0;
}
