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
    // Limit for the call. With callHttp() it includes opening the connection; HttpConnection starts it once
    // the connection is open.
    Duration timeout = 5s;
    // Limit for opening a connection, used by HttpConnection only; if `timeout` is shorter, `timeout`
    // applies.
    Duration connectTimeout = 5s;
    // Used by HttpConnection only. If it is longer than `timeout`, it limits the call, and `timeout` limits
    // each wait for further bytes of the response. A long response over a slow link then is not abandoned
    // while it arrives, and a link that has gone silent is still detected after `timeout`.
    Duration transferTimeout{0};

    friend bool operator==(HttpCall const &, HttpCall const &) = default;
};

using HttpCallback = std::function<void(absl::StatusOr<HttpResponse>)>;

// Calls the server over a new connection. The callback runs on a thread of the runtime. It gets Unavailable
// if no connection was opened, also after the timeout; the server has then not received the request. Later it
// gets DeadlineExceeded after the timeout or Aborted after another error; the server may have acted on it.
void callHttp(IoRuntime &runtime, HttpCall const &call, HttpCallback callback);

} // namespace almondwing
