// What a routing decision needs to know of a packet, and what it decides. Encodings are the adapter's.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Hash.h>
#include <LibRegistry/RegisteredTarget.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <variant>

namespace almondwing {

// Stands for a target in the packets of a flow; both ends repeat it.
struct TargetToken
{
    std::uint32_t value = 0;

    bool isNone() const { return this->value == 0; }

    friend constexpr auto operator<=>(TargetToken, TargetToken) = default;
};

// Depends on the number of the target alone, so every instance computes the same token.
constexpr TargetToken tokenOf(TargetNumber number)
{
    auto const folded = static_cast<std::uint32_t>(mixBits(number.value) >> 32U);
    return TargetToken{folded == 0 ? 1 : folded};
}

struct ConnectionKey
{
    Endpoint caller;
    Endpoint service;

    friend constexpr auto operator<=>(ConnectionKey const &, ConnectionKey const &) = default;
};

enum class PacketKind : std::uint8_t {
    Open, // Asks for a new flow, or repeats that.
    Data, // Any later packet of the caller.
    Close, // Ends the flow.
    Foreign, // Nothing that a caller may send.
};

struct FlowPacket
{
    ConnectionKey flow;
    PacketKind kind = PacketKind::Data;
    TargetToken token; // None on the first packets of a flow.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0; // On an Open: how many copies were sent before.
    std::uint32_t length = 0; // Bytes of data.

    friend bool operator==(FlowPacket const &, FlowPacket const &) = default;
};

enum class ResetReason : std::uint8_t { NoRoute, NoTarget, TargetEnded, TargetUnreachable };
enum class DropReason : std::uint8_t { Foreign, UnknownFlow };

struct ForwardPacket
{
    TargetNumber target;
    Endpoint endpoint;
    TargetToken token; // Written into the packet.

    friend bool operator==(ForwardPacket const &, ForwardPacket const &) = default;
};

struct ResetFlow
{
    ResetReason reason = ResetReason::NoRoute;

    friend bool operator==(ResetFlow const &, ResetFlow const &) = default;
};

// The instance lacks the state to decide; the packet is decided again when the state changes.
struct HoldPacket
{
    friend bool operator==(HoldPacket const &, HoldPacket const &) = default;
};

struct DropPacket
{
    DropReason reason = DropReason::Foreign;

    friend bool operator==(DropPacket const &, DropPacket const &) = default;
};

using PacketDecision = std::variant<ForwardPacket, ResetFlow, HoldPacket, DropPacket>;

std::string_view nameOf(ResetReason reason);
std::string_view nameOf(DropReason reason);

} // namespace almondwing

template<>
struct std::hash<almondwing::ConnectionKey>
{
    std::size_t operator()(almondwing::ConnectionKey const &key) const noexcept
    {
        auto const packed = [](almondwing::Endpoint endpoint) {
            return (std::uint64_t{endpoint.address} << 16U) | endpoint.port;
        };
        return almondwing::combineHashes(packed(key.caller), packed(key.service));
    }
};

template<>
struct std::hash<almondwing::TargetToken>
{
    std::size_t operator()(almondwing::TargetToken token) const noexcept
    {
        return almondwing::mixBits(token.value);
    }
};
