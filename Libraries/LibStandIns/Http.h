// HTTP server and client of the stand-ins. Beast stays out of this header.

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
    Query query; // Values are taken as they are; nothing here needs percent encoding.
    std::string body;

    // Splits a target such as "/cut?instance=127.0.0.1:7101".
    static HttpRequest parse(std::string_view target, std::string body);

    friend bool operator==(HttpRequest const &, HttpRequest const &) = default;
};

struct HttpAnswer
{
    unsigned status = 200;
    std::string body; // JSON.

    friend bool operator==(HttpAnswer const &, HttpAnswer const &) = default;
};

// nullopt leaves the client without an answer, as a frozen process does.
using HttpHandler = std::function<std::optional<HttpAnswer>(HttpRequest const &)>;

class HttpServer
{
public:
    static absl::StatusOr<std::unique_ptr<HttpServer>> open(EventLoop &loop, Endpoint local,
                                                            HttpHandler handler);

    HttpServer(HttpServer const &) = delete;
    HttpServer &operator=(HttpServer const &) = delete;
    ~HttpServer();

    Endpoint localEndpoint() const;

private:
    struct Implementation;

    explicit HttpServer(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> implementation;
};

// Sends one request on a connection of its own. `done` gets the body of a 2xx answer.
void postJson(EventLoop &loop, Endpoint server, std::string const &path, std::string body, Duration timeout,
              std::function<void(absl::StatusOr<std::string>)> done);

} // namespace almondwing
