// Read-only commands: status, explain, audit, coverage.

#pragma once

#include "ExitCode.h"
#include "ServerCall.h"

#include <functional>
#include <string>

namespace almondwing {

// Sends a GET request for `path` and prints the response, as JSON or as the text that `format` returns.
ExitCode showResponse(ClientOptions const &client, std::string const &path,
                      std::function<std::string(std::string const &json)> const &format);

} // namespace almondwing
