// Calls the HTTP surface of an instance and waits for the answer.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/HttpClient.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace almondwing {

// Where to call and how to show the answer; the same for all commands.
struct ClientOptions
{
    std::vector<Endpoint> servers; // Tried in order.
    std::string token;
    bool isJsonOutput = false;
};

// Tries the servers in order until one answers. A server that was reached and gave no answer ends the tries,
// because it may have done what was asked.
absl::StatusOr<HttpResponse> callServers(ClientOptions const &options, HttpCall call);

} // namespace almondwing
