// Implements the shared HTTP responses.

#include <LibNode/ControlResponses.h>

#include <nlohmann/json.hpp>

namespace almondwing {

HttpResponse errorResponse(unsigned status, std::string const &reason)
{
    return HttpResponse{.status = status, .body = nlohmann::json{{"error", reason}}.dump()};
}

HttpResponse emptyResponse()
{
    return HttpResponse{.body = "{}"};
}

} // namespace almondwing
