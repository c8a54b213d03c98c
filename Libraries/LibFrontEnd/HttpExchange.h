// Helpers of all HTTP calls: they build the request message, convert the response to a value and map a
// failure to a status. For the implementation files of this library only.

#pragma once

#include <LibFrontEnd/IoContext.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

#include <LibFrontEnd/HttpClient.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Whether the connection is closed after the response or kept for further calls.
enum class ConnectionUse : std::uint8_t { SingleCall, Persistent };

// Progress of a call. Once connected, the server may have received the request.
enum class CallPhase : std::uint8_t { Connecting, Connected };

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

// Header with the number of a call on its connection. HttpServer repeats it in the response, so that a late
// second copy of an earlier response is not taken for the response of the present call.
constexpr std::string_view callNumberHeader = "Call";

HttpRequestMessage makeRequestMessage(HttpCall const &call, std::string const &host, ConnectionUse use);

// Moves the body out of the message.
HttpResponse takeResponse(HttpResponseMessage &message);

// Maps a failure to the status codes that callHttp() documents.
absl::Status failureStatus(HttpCall const &call, std::string const &host, CallPhase phase,
                           boost::beast::error_code error);

} // namespace almondwing
