// The command that explains flows from saved logs.

#pragma once

#include "ExitCode.h"

#include <LibFrontEnd/LogExplanation.h>

#include <string>
#include <vector>

namespace almondwing {

enum class LogOutput : std::uint8_t { Text, Json };

// Rejected: no line names the caller.
ExitCode explainSavedLogs(std::vector<std::string> const &files, LogQuery const &question, LogOutput output);

} // namespace almondwing
