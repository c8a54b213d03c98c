// The JSON answers of the daemon's HTTP surface for operators.

#pragma once

#include "ControlNode.h"

#include <LibInstance/Explanation.h>
#include <LibInstance/Instance.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

// What this instance knows: itself, the members, the services with their targets, the replicated log.
std::string formatStatus(Instance const &instance, std::optional<ReplicationStatus> const &replication);

std::string formatExplanation(Explanation const &explanation);

// The newest entries of the audit trail, the newest last.
std::string formatAudit(ConfigurationState const &state, std::size_t limit);

// How far a configuration version has come: one entry for each known instance.
struct Coverage
{
    std::string instance;
    std::string failureDomain;
    std::optional<std::uint64_t> version; // Nothing if the instance did not answer.

    friend bool operator==(Coverage const &, Coverage const &) = default;
};

std::string formatCoverage(std::uint64_t version, std::vector<Coverage> const &coverage);

std::string formatVersion(std::uint64_t version);

// The version in the answer of formatVersion, or nothing.
std::optional<std::uint64_t> parseVersion(std::string const &text);

// {"error": text}
std::string formatError(std::string_view text);

} // namespace almondwing
