// What all HTTP calls share: the request of a call, its response as a value, and the status of a failure. For
// the implementation files of this library only.

#pragma once

#include <LibFrontEnd/IoContext.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

#include <LibFrontEnd/HttpClient.h>

#include <cstdint>
#include <string>

namespace almondwing {

// What becomes of the connection after the response.
enum class ConnectionUse : std::uint8_t { Once, Kept };

// How far a call came. From Connected on the server may have got the request.
enum class CallPhase : std::uint8_t { Connecting, Connected };

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

HttpRequestMessage makeRequestMessage(HttpCall const &call, std::string const &host, ConnectionUse use);

// Takes the body out of the message.
HttpResponse takeResponse(HttpResponseMessage &message);

// See callHttp for the codes.
absl::Status callFailure(HttpCall const &call, std::string const &host, CallPhase phase,
                         boost::beast::error_code error);

} // namespace almondwing
