// Commands that only ask: status, explain, audit, coverage.

#pragma once

#include "ExitCode.h"
#include "ServerCall.h"

#include <functional>
#include <string>

namespace almondwing {

// Asks for the target and shows the answer, as JSON or as readable text made by `format`.
ExitCode showAnswer(ClientOptions const &client, std::string const &target,
                    std::function<std::string(std::string const &json)> const &format);

} // namespace almondwing
