// Implements calls to instances.

#include "ServerCall.h"

#include <LibFrontEnd/IoRuntime.h>

namespace almondwing {

absl::StatusOr<HttpResponse> callServers(ClientOptions const &options, HttpCall call)
{
    absl::StatusOr<HttpResponse> result = absl::UnavailableError("no instance was given; use --server");
    call.bearerToken = options.token;
    for (Endpoint const server : options.servers) {
        call.server = server;
        IoRuntime runtime;
        callHttp(runtime, call, [&](absl::StatusOr<HttpResponse> response) {
            result = std::move(response);
            runtime.stop();
        });
        runtime.run(1);
        if (!absl::IsUnavailable(result.status()))
            return result;
    }
    return result;
}

} // namespace almondwing
