// Macros that return early with an error. TRY unwraps an absl::StatusOr, TRY_STATUS checks an absl::Status.

#pragma once

#include <absl/status/statusor.h>

// A statement expression, an extension of g++ and clang, lets the unwrapped value be used in an expression.
#define TRY(expression)                                                                                      \
    __extension__({                                                                                          \
        auto statusOrValue = (expression);                                                                   \
        if (!statusOrValue.ok()) [[unlikely]]                                                                \
            return statusOrValue.status();                                                                   \
        std::move(statusOrValue).value();                                                                    \
    })

#define TRY_STATUS(expression)                                                                               \
    do {                                                                                                     \
        if (absl::Status tryStatus = (expression); !tryStatus.ok()) [[unlikely]]                             \
            return tryStatus;                                                                                \
    } while (false)
