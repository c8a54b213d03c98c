// Checks by a TCP connection, without a request, whether a process listens at an endpoint.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/IoRuntime.h>

#include <cstdint>
#include <functional>

namespace almondwing {

enum class ListenerState : std::uint8_t {
    Accepted,
    Refused, // The host refuses the connection, so no process listens at the endpoint.
    NoAnswer, // A timeout or another network error, which says nothing about the process.
};

void checkListener(IoRuntime &runtime, Endpoint endpoint, Duration timeout,
                   std::function<void(ListenerState)> result);

} // namespace almondwing
