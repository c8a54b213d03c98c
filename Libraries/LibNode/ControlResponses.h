// HTTP responses that several handlers of a control instance share.

#pragma once

#include <LibFrontEnd/HttpTypes.h>

#include <string>

namespace almondwing {

HttpResponse errorResponse(unsigned status, std::string const &reason);

// An acknowledgement whose body is an empty JSON object.
HttpResponse emptyResponse();

} // namespace almondwing
