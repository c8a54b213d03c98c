// Hands an error up to the caller at once. TRY unwraps an absl::StatusOr, TRY_STATUS checks an absl::Status.

#pragma once

#include <absl/status/statusor.h>

// Uses the statement expression extension of g++ and clang, so that the value can be used in place.
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
