// Requests and responses of HTTP as values, independent of the HTTP library.

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
    std::string bearerToken; // Of the Authorization header; empty if there is none.
    std::string body;

    // The value of a query parameter, or an empty text.
    std::string queryParameter(std::string const &name) const;

    friend bool operator==(HttpRequest const &, HttpRequest const &) = default;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location; // Where a redirect leads; empty if there is none.

    bool isSuccess() const { return this->status >= 200 && this->status < 300; }

    friend bool operator==(HttpResponse const &, HttpResponse const &) = default;
};

using HttpResponder = std::function<void(HttpResponse)>;

// Answers a request, at once or later; each request must be answered once.
using HttpHandler = std::function<void(HttpRequest const &, HttpResponder)>;

// Splits "path?name=value&..." into the path and its decoded parameters.
HttpRequest parseRequestTarget(std::string_view target);

std::string encodeQueryValue(std::string_view value);

} // namespace almondwing
