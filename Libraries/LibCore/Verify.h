// Checks invariants, in debug and release builds alike. A violated invariant aborts the process; every other
// failure is returned as a value.

#pragma once

#include <cstdio>
#include <cstdlib>

namespace almondwing {

[[noreturn]] inline void failVerification(char const *expression, char const *file, int line)
{
    std::fprintf(stderr, "VERIFY(%s) failed at %s:%d\n", expression, file, line);
    std::abort();
}

} // namespace almondwing

#define VERIFY(expression)                                                                                   \
    do {                                                                                                     \
        if (!(expression)) [[unlikely]]                                                                      \
            ::almondwing::failVerification(#expression, __FILE__, __LINE__);                                 \
    } while (false)
