// Implements the helpers of all HTTP calls.

#include <LibFrontEnd/HttpExchange.h>

#include <fmt/format.h>

#include <utility>

namespace almondwing {

namespace http = boost::beast::http;

HttpRequestMessage makeRequestMessage(HttpCall const &call, std::string const &host, ConnectionUse use)
{
    HttpRequestMessage message;
    message.method(call.method == HttpMethod::Post ? http::verb::post : http::verb::get);
    message.target(call.target);
    message.version(11);
    message.set(http::field::host, host);
    // Persistent connections are used between instances, which know the content type; the header would add 32
    // bytes to each heartbeat.
    if (use == ConnectionUse::SingleCall)
        message.set(http::field::content_type, "application/json");
    if (!call.bearerToken.empty())
        message.set(http::field::authorization, "Bearer " + call.bearerToken);
    message.keep_alive(use == ConnectionUse::Persistent);
    message.body() = call.body;
    message.prepare_payload();
    return message;
}

HttpResponse takeResponse(HttpResponseMessage &message)
{
    auto const type = message[http::field::content_type];
    return HttpResponse{.status = message.result_int(),
                        .contentType = std::string(type.data(), type.size()),
                        .body = std::move(message.body())};
}

absl::Status failureStatus(HttpCall const &call, std::string const &host, CallPhase phase,
                           boost::beast::error_code error)
{
    std::string const text = fmt::format("HTTP call to {}{}: {}", host, call.target, error.message());
    if (phase == CallPhase::Connecting)
        return absl::UnavailableError(text);
    return error == boost::beast::error::timeout ? absl::DeadlineExceededError(text)
                                                 : absl::AbortedError(text);
}

} // namespace almondwing
