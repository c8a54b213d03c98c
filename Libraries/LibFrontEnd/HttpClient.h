// Sends HTTP requests to other processes.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace almondwing {

struct HttpCall
{
    Endpoint server;
    HttpMethod method = HttpMethod::Get;
    std::string target; // Path and query.
    std::string body;
    std::string bearerToken;
    Duration timeout = 5s; // For the whole call.
    // For opening the connection, of a kept one only; it is part of the timeout.
    Duration connectTimeout = 5s;

    friend bool operator==(HttpCall const &, HttpCall const &) = default;
};

using HttpCallback = std::function<void(absl::StatusOr<HttpResponse>)>;

// Calls the server over a connection of its own. The result comes on some thread of the runtime. Unavailable:
// the server could not be reached and has not got the request. DeadlineExceeded after the timeout, and
// Aborted when the connection is lost: the server may have acted on the request.
void callHttp(IoRuntime &runtime, HttpCall const &call, HttpCallback result);

} // namespace almondwing
