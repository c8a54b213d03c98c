// An HTTP server for the control surface of a process.

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

// The largest body is a snapshot part of the replicated log with its encoding, or a manifest.
constexpr std::size_t maxHttpBodyBytes = 4UL * 1024 * 1024;

// A client that sends nothing, or does not read its answer, is cut off after this time.
constexpr Duration httpIdleTimeout = 30s;

// Further connections are closed at once, so that a flood can't use up the memory of the process.
constexpr std::size_t maxHttpConnections = 512;

struct HttpServerLimits
{
    std::size_t connections = maxHttpConnections; // Further ones are closed at once.

    friend bool operator==(HttpServerLimits const &, HttpServerLimits const &) = default;
};

struct HttpServerHooks
{
    HttpHandler handle;
    // Called for input that is no HTTP, and for requests that are malformed or not allowed. A conflict or an
    // unavailable leader is no fault of the input.
    std::function<void(std::string const &)> reportRefusal;
};

struct HttpServerCounters
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // Answers with a status of 400 or more; not counted in `answered`.
    std::uint64_t malformed = 0; // Connections that were closed because of input that is no HTTP.
    std::uint64_t connectionsRefused = 0; // Over maxHttpConnections.

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
