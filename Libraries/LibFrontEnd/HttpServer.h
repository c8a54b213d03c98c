// An HTTP server for the control surface of a process.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>

namespace almondwing {

// The largest body is a snapshot part of the replicated log with its encoding, or a manifest.
constexpr std::size_t largestHttpBody = 4UL * 1024 * 1024;

// A client that sends nothing, or does not read its answer, is cut off after this time.
constexpr Duration httpIdleTimeout = 30s;

// Further connections are closed at once, so that a flood can't use up the memory of the process.
constexpr std::size_t maximumHttpConnections = 512;

class HttpServer
{
public:
    static absl::StatusOr<std::shared_ptr<HttpServer>> open(IoRuntime &runtime, Endpoint local,
                                                            HttpHandler handler);

    ~HttpServer();
    HttpServer(HttpServer const &) = delete;
    HttpServer &operator=(HttpServer const &) = delete;

    Endpoint localEndpoint() const;
    void close();

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> opened);

    std::shared_ptr<State> state;
};

} // namespace almondwing
