// Time types. Only the code with the sockets and threads reads a clock; code that makes decisions gets the
// time as an argument.

#pragma once

#include <chrono>

namespace almondwing {

using Duration = std::chrono::microseconds;

// Monotonic time of one process. It is never sent to another process; messages carry durations.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

} // namespace almondwing
