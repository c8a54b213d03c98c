// Synchronous calls to the HTTP API of an instance.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/HttpClient.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace almondwing {

// The options that all commands share.
struct ClientOptions
{
    std::vector<Endpoint> servers; // Tried in order.
    std::string token;
    bool isJsonOutput = false;
};

// Tries the servers in order until one responds. Stops at a server that was reached but did not respond,
// because it may have carried out the request.
absl::StatusOr<HttpResponse> callServers(ClientOptions const &options, HttpCall call);

} // namespace almondwing
