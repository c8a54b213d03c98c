// Checks whether a process listens at a TCP endpoint, without a request.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/IoRuntime.h>

#include <cstdint>
#include <functional>

namespace almondwing {

enum class ListenerState : std::uint8_t {
    Accepted,
    Refused, // The machine answers that nothing listens there, so the process has ended.
    NoAnswer, // No answer in time; says nothing about the process.
};

void checkListener(IoRuntime &runtime, Endpoint endpoint, Duration timeout,
                   std::function<void(ListenerState)> result);

} // namespace almondwing
