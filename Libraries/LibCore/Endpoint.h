// An IPv4 address and port as a plain value, independent of any network library.

#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondwing {

struct Endpoint
{
    std::uint32_t address = 0; // Host byte order.
    std::uint16_t port = 0;

    // Accepts "a.b.c.d:port" with a port from 1 to 65535.
    static absl::StatusOr<Endpoint> parse(std::string_view text);

    std::string toString() const;
    std::string addressText() const;

    friend constexpr auto operator<=>(Endpoint, Endpoint) = default;
};

} // namespace almondwing

template<>
struct std::hash<almondwing::Endpoint>
{
    std::size_t operator()(almondwing::Endpoint endpoint) const noexcept;
};
