// Time types. Only the code with the sockets and threads reads a clock; code that makes decisions gets the
// time as an argument.

#pragma once

#include <chrono>

namespace almondwing {

using Duration = std::chrono::microseconds;

// Monotonic time that also counts suspensions of the machine; steady_clock only tags the type. Not for
// messages.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

} // namespace almondwing
