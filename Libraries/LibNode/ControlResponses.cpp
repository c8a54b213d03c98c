// Implements the shared HTTP responses.

#include <LibNode/ControlResponses.h>

#include <nlohmann/json.hpp>

namespace almondwing {

HttpResponse errorResponse(unsigned status, std::string const &reason)
{
    // The reason may quote bytes of the caller that are no UTF-8.
    constexpr int noIndent = -1;
    return HttpResponse{.status = status,
                        .body = nlohmann::json{{"error", reason}}.dump(
                            noIndent, ' ', false, nlohmann::json::error_handler_t::replace)};
}

HttpResponse emptyResponse()
{
    return HttpResponse{.body = "{}"};
}

} // namespace almondwing
