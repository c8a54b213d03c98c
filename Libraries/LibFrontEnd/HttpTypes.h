// HTTP requests and responses as values, independent of the HTTP library.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace almondwing {

enum class HttpMethod : std::uint8_t { Get, Post };

struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    std::string path; // Without the query.
    std::map<std::string, std::string> query;
    std::string bearerToken; // From the Authorization header; empty if there is none.
    std::string body;

    // The value of a query parameter, or an empty string if it is absent.
    std::string queryParameter(std::string const &name) const;

    friend bool operator==(HttpRequest const &, HttpRequest const &) = default;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location; // The URL of a redirect; empty if there is none.

    bool isSuccess() const { return this->status >= 200 && this->status < 300; }

    friend bool operator==(HttpResponse const &, HttpResponse const &) = default;
};

using HttpResponder = std::function<void(HttpResponse)>;

// Handles a request. It must call the responder exactly once, immediately or later.
using HttpHandler = std::function<void(HttpRequest const &, HttpResponder)>;

// Splits "path?name=value&..." into the path and its decoded parameters.
HttpRequest parseRequestTarget(std::string_view target);

std::string encodeQueryValue(std::string_view value);

} // namespace almondwing
