// The JSON form of configurations, audit entries and the whole state, for instances that fetch a newer
// configuration, for operators, and for snapshots of the replicated log.

#pragma once

#include <LibConfiguration/ConfigurationState.h>
#include <LibManifest/InputError.h>

#include <string>
#include <variant>

namespace almondwing {

std::string formatConfiguration(Configuration const &configuration);

std::variant<Configuration, InputErrors> parseConfiguration(std::string const &json);

std::string formatAuditEntry(AuditEntry const &entry);

std::variant<AuditEntry, InputErrors> parseAuditEntry(std::string const &json);

// A line of JSON for the configuration and one for each known request and audit entry, so that neither side
// needs memory for a tree of the whole text. A text that is cut or breaks an invariant is refused.
std::string formatConfigurationState(ConfigurationState const &state);

std::variant<ConfigurationState, InputErrors> parseConfigurationState(std::string const &json);

} // namespace almondwing
