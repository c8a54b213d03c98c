// The JSON responses of the daemon's HTTP API for operators.

#pragma once

#include "ControlReplica.h"

#include <LibInstance/Explanation.h>
#include <LibInstance/Instance.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

// Formats the state of this instance, the members, the services with their targets, and the replicated log.
std::string formatStatus(Instance const &instance, std::optional<ReplicationStatus> const &replication);

std::string formatExplanation(Explanation const &explanation);

// Formats the newest `limit` entries of the audit trail, the newest last.
std::string formatAudit(ConfigurationState const &state, std::size_t limit);

// The configuration version that is in force on one instance.
struct InstanceVersion
{
    std::string instance;
    std::string failureDomain;
    std::optional<std::uint64_t> version; // Empty if the instance did not respond.

    friend bool operator==(InstanceVersion const &, InstanceVersion const &) = default;
};

std::string formatCoverage(std::uint64_t version, std::vector<InstanceVersion> const &versions);

std::string formatVersion(std::uint64_t version);

// Parses the output of formatVersion(). Returns nothing if the text is invalid.
std::optional<std::uint64_t> parseVersion(std::string const &text);

// Formats an error response: {"error": text}.
std::string formatError(std::string_view text);

} // namespace almondwing
