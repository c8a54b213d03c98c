// An HTTP server that passes all requests to one handler.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace almondwing {

// The largest bodies are encoded snapshot parts of the replicated log, and manifests.
constexpr std::size_t maxHttpBodyBytes = 4UL * 1024 * 1024;

// Limit for receiving a complete request and for sending its response; the connection is then closed.
constexpr Duration httpIdleTimeout = 30s;

// Further connections are closed at once, so that a flood of them can't exhaust the memory of the process.
constexpr std::size_t maxHttpConnections = 512;

struct HttpServerLimits
{
    std::size_t connections = maxHttpConnections;

    friend bool operator==(HttpServerLimits const &, HttpServerLimits const &) = default;
};

struct HttpServerHooks
{
    HttpHandler handle;
    // Called for input that is not HTTP and for requests that are malformed or not allowed. It isn't called
    // for a conflict or a server error, such as an unavailable leader, because the input is not at fault.
    std::function<void(std::string const &)> reportInvalidInput;
};

struct HttpServerCounters
{
    std::uint64_t answered = 0;
    std::uint64_t errorResponses = 0; // Responses with status 400 or above; not counted in `answered`.
    std::uint64_t malformed = 0; // Connections closed because of input that is not a complete HTTP request.
    std::uint64_t connectionsOverLimit = 0; // Connections closed because too many were open.

    friend bool operator==(HttpServerCounters const &, HttpServerCounters const &) = default;
};

class HttpServer
{
public:
    static absl::StatusOr<std::shared_ptr<HttpServer>>
    open(IoRuntime &runtime, Endpoint local, HttpServerHooks hooks, HttpServerLimits limits = {});

    ~HttpServer();
    HttpServer(HttpServer const &) = delete;
    HttpServer &operator=(HttpServer const &) = delete;

    Endpoint localEndpoint() const;
    HttpServerCounters counters() const;
    void close();

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> opened);

    std::shared_ptr<State> state;
};

} // namespace almondwing
