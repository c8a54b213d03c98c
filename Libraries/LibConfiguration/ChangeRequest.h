// A request to change the configuration, as an operator submits it and as the replicated log stores it.

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

// Long enough for a UUID with a prefix. The length is limited because every replica keeps thousands of ids.
constexpr std::size_t maxRequestIdLength = 64;

constexpr std::string_view requestIdRule = "1 to 64 letters, digits and the characters -_.:";

bool isValidRequestId(std::string_view requestId);

struct ChangeRequest
{
    std::string requestId; // Chosen by the operator's program; the same for each resend.
    std::string operatorName; // Set by the instance that verified the operator's token.
    // The version that the change is based on. Without it the change applies to whatever version is current,
    // which is allowed only for changes of a single setting, because they do not depend on the rest of the
    // configuration.
    std::optional<std::uint64_t> baseVersion = {};
    // In Unix seconds, by the clock of the proposing instance. Used only for the audit trail.
    std::int64_t submittedAt = 0;
    ConfigurationChange change = {};

    friend auto operator<=>(ChangeRequest const &, ChangeRequest const &) = default;
};

// A description in one line, for the audit trail.
std::string describeChange(ConfigurationChange const &change);

// Distinguishes a resend from another change with the same request id. The submission time is not included,
// because each proposing instance sets its own. The hash is the same on every replica and in every build.
std::uint64_t contentHash(ChangeRequest const &request);

} // namespace almondwing
