// HTTP server and client of the stand-ins. Neither of them uses LibFrontEnd. The header does not include
// Beast.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibStandIns/EventLoop.h>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondwing {

using Query = std::map<std::string, std::string>;

struct HttpRequest
{
    std::string path;
    Query query; // Values are not percent-decoded, because no parameter needs percent encoding.
    std::string body;

    // Splits a request target such as "/cut?instance=127.0.0.1:7101".
    static HttpRequest parse(std::string_view pathAndQuery, std::string body);

    friend bool operator==(HttpRequest const &, HttpRequest const &) = default;
};

struct HttpReply
{
    unsigned status = 200;
    std::string body; // JSON text.

    friend bool operator==(HttpReply const &, HttpReply const &) = default;
};

// If the handler returns nullopt, the client gets no response, as from a frozen process.
using HttpHandler = std::function<std::optional<HttpReply>(HttpRequest const &)>;

class StandInHttpServer
{
public:
    static absl::StatusOr<std::unique_ptr<StandInHttpServer>> open(EventLoop &loop, Endpoint local,
                                                                   HttpHandler handler);

    StandInHttpServer(StandInHttpServer const &) = delete;
    StandInHttpServer &operator=(StandInHttpServer const &) = delete;
    ~StandInHttpServer();

    Endpoint localEndpoint() const;

private:
    struct Implementation;

    explicit StandInHttpServer(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> implementation;
};

// Sends one POST request on a new connection. `done` receives the body of a 2xx response.
void postJson(EventLoop &loop, Endpoint server, std::string const &path, std::string body, Duration timeout,
              std::function<void(absl::StatusOr<std::string>)> done);

} // namespace almondwing
