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

struct RepeatedCheck
{
    Duration timeout = 120ms; // Of the whole check.
    Duration retryInterval = 40ms; // Another connection is tried after each such interval without a result.

    friend bool operator==(RepeatedCheck const &, RepeatedCheck const &) = default;
};

// Calls `result` once: with the first result other than NoAnswer of several overlapping checks, or with
// NoAnswer after the timeout.
void checkListenerRepeatedly(IoRuntime &runtime, Endpoint endpoint, RepeatedCheck check,
                             std::function<void(ListenerState)> result);

} // namespace almondwing
