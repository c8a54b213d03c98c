// Implements the read-only commands.

#include "QueryCommand.h"

#include "TextTables.h"

#include <fmt/format.h>

namespace almondwing {

ExitCode showResponse(ClientOptions const &client, std::string const &path,
                      std::function<std::string(std::string const &json)> const &format)
{
    auto const response = callServers(client, HttpCall{.target = path});
    if (!response.ok()) {
        fmt::print(stderr, "almondwingctl: {}\n", std::string(response.status().message()));
        return ExitCode::Unavailable;
    }
    if (!response->isSuccess()) {
        fmt::print(stderr, "almondwingctl: {}\n", errorText(response->body));
        return ExitCode::Usage;
    }
    fmt::print("{}", client.isJsonOutput ? response->body + "\n" : format(response->body));
    return ExitCode::Success;
}

} // namespace almondwing
