// Implements what HTTP calls share.

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
    // Instances know what they send each other, and the header would be 32 bytes of each heartbeat.
    if (use == ConnectionUse::Once)
        message.set(http::field::content_type, "application/json");
    if (!call.bearerToken.empty())
        message.set(http::field::authorization, "Bearer " + call.bearerToken);
    message.keep_alive(use == ConnectionUse::Kept);
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

absl::Status callFailure(HttpCall const &call, std::string const &host, CallPhase phase,
                         boost::beast::error_code error)
{
    std::string const text = fmt::format("HTTP call to {}{}: {}", host, call.target, error.message());
    if (phase == CallPhase::Connecting)
        return absl::UnavailableError(text);
    return error == boost::beast::error::timeout ? absl::DeadlineExceededError(text)
                                                 : absl::AbortedError(text);
}

} // namespace almondwing
