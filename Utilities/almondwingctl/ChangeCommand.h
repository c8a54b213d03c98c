// Commands that change the configuration. Each command sends one change request, whose request id stays the
// same over retries.

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
    std::string requestId; // A random one is generated if empty.
    std::optional<std::uint64_t> baseVersion;
    std::optional<std::chrono::seconds> wait; // How long to wait until the change is in force everywhere.
};

ExitCode submitChange(ClientOptions const &client, ChangeOptions const &options,
                      ConfigurationChange const &change);

// Reads the manifest file and applies it. Without a base version, uses the current version of the cluster.
ExitCode applyManifestFile(ClientOptions const &client, ChangeOptions options, std::string const &path);

} // namespace almondwing
