// Commands that change the configuration: each is one change request with a request id of its own, kept over
// resends.

#pragma once

#include "ExitCode.h"
#include "ServerCall.h"

#include <LibConfiguration/ChangeRequest.h>

#include <chrono>
#include <optional>
#include <string>

namespace almondwing {

struct ChangeOptions
{
    std::string requestId; // Empty: a random one is made.
    std::optional<std::uint64_t> baseVersion;
    std::optional<std::chrono::seconds> wait; // How long to wait until the change is in force everywhere.
};

ExitCode submitChange(ClientOptions const &client, ChangeOptions const &options,
                      ConfigurationChange const &change);

// Reads the manifest file and applies it. Without a base version the current one is asked for first.
ExitCode applyManifestFile(ClientOptions const &client, ChangeOptions options, std::string const &path);

} // namespace almondwing
