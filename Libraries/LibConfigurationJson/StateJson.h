// The JSON form of configurations, audit entries and the whole configuration state, for instances that fetch
// a newer configuration, for operators, and for snapshots of the replicated log.

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

// The state is one line of JSON for the configuration and one for each known request and audit entry, so that
// neither formatting nor parsing holds a JSON tree of the whole state in memory. A truncated text and a state
// that violates an invariant are rejected.
std::string formatConfigurationState(ConfigurationState const &state);

std::variant<ConfigurationState, InputErrors> parseConfigurationState(std::string const &json);

} // namespace almondwing
