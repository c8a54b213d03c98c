// A change of the configuration as an operator asks for it and as the replicated log carries it.

#pragma once

#include <LibManifest/ManifestOperations.h>
#include <LibManifest/ProposedManifest.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace almondwing {

struct ApplyManifest
{
    ProposedManifest proposal;

    friend auto operator<=>(ApplyManifest const &, ApplyManifest const &) = default;
};

struct SetFailureDomainState
{
    std::string failureDomain;
    FailureDomainState state = FailureDomainState::InService;
    LastDomainPolicy policy = LastDomainPolicy::Refuse;

    friend auto operator<=>(SetFailureDomainState const &, SetFailureDomainState const &) = default;
};

struct SetTargetDraining
{
    std::string target;
    DrainState state = DrainState::Active;

    friend auto operator<=>(SetTargetDraining const &, SetTargetDraining const &) = default;
};

using ConfigurationChange = std::variant<ApplyManifest, SetFailureDomainState, SetTargetDraining>;

// Long enough for a UUID with a prefix; every replica keeps thousands of them.
constexpr std::size_t maxRequestIdLength = 64;

constexpr std::string_view allowedRequestIds = "1 to 64 letters, digits and the characters -_.:";

bool isValidRequestId(std::string_view requestId);

struct ChangeRequest
{
    std::string requestId; // Chosen by the operator's program, the same for each resend.
    std::string operatorName; // Filled by the instance that checked the operator's token.
    // The version that the operator saw. Without it the change applies to any current version, which is
    // allowed for changes that do not depend on the rest of the configuration.
    std::optional<std::uint64_t> baseVersion = {};
    std::int64_t submittedAt = 0; // Unix seconds by the clock of the proposing instance; only for the audit.
    ConfigurationChange change = {};

    friend auto operator<=>(ChangeRequest const &, ChangeRequest const &) = default;
};

// One line for the audit trail.
std::string describeChange(ConfigurationChange const &change);

// Tells a resend from another change under the same request id. Leaves out the submission time, because each
// proposing instance fills in its own. The same on every replica and build.
std::uint64_t contentHash(ChangeRequest const &request);

} // namespace almondwing
