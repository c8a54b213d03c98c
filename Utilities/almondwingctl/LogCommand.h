// The command that explains what happened to the flows of a caller, from saved logs.

#pragma once

#include "ExitCode.h"

#include <LibFrontEnd/LogExplanation.h>

#include <string>
#include <vector>

namespace almondwing {

enum class LogOutput : std::uint8_t { Text, Json };

// Returns ExitCode::Rejected if no log line contains the caller.
ExitCode explainSavedLogs(std::vector<std::string> const &files, LogQuery const &query, LogOutput output);

} // namespace almondwing
