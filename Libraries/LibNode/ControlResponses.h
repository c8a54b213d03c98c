// Answers that several calls of a control instance give.

#pragma once

#include <LibFrontEnd/HttpTypes.h>

#include <string>

namespace almondwing {

HttpResponse errorResponse(unsigned status, std::string const &reason);

// An acknowledgement without content.
HttpResponse emptyResponse();

} // namespace almondwing
