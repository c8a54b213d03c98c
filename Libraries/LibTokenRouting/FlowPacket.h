// The input and the result of the routing decision for one packet. Adapters encode and decode packets.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Hash.h>
#include <LibCore/Time.h>
#include <LibRegistry/RegisteredTarget.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <variant>

namespace almondwing {

// Identifies a target in the packets of a flow; caller and target include it in each packet.
struct TargetToken
{
    std::uint32_t value = 0;

    bool isNone() const { return this->value == 0; }

    friend constexpr auto operator<=>(TargetToken, TargetToken) = default;
};

// Derived only from the number of the target, so every instance computes the same token.
constexpr TargetToken tokenOf(TargetNumber number)
{
    auto const folded = static_cast<std::uint32_t>(mixBits(number.value) >> 32U);
    return TargetToken{folded == 0 ? 1 : folded};
}

struct ConnectionKey
{
    Endpoint caller;
    Endpoint service; // The address at which the caller opened the flow; see FlowRoute.

    friend constexpr auto operator<=>(ConnectionKey const &, ConnectionKey const &) = default;
};

enum class PacketKind : std::uint8_t {
    Open, // Requests a new flow; may be a retransmission.
    Data, // Any later packet of the caller.
    Close, // Ends the flow.
    NotFromCaller, // A packet that no caller may send.
};

struct FlowPacket
{
    ConnectionKey flow;
    PacketKind kind = PacketKind::Data;
    TargetToken token; // None in the first packets of a flow.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0; // In an Open, it holds the number of earlier transmissions instead.
    std::uint32_t length = 0; // The number of data bytes.

    friend bool operator==(FlowPacket const &, FlowPacket const &) = default;
};

enum class ResetReason : std::uint8_t { NoRoute, NoTarget, TargetEnded, TargetUnreachable };
enum class DropReason : std::uint8_t { NotFromCaller, UnknownFlow };

struct ForwardPacket
{
    TargetNumber target;
    Endpoint endpoint;
    TargetToken token; // Written into the packet.
    // For an opening: call TokenRouter::examineLateOpening() after this time; 0 if it isn't needed.
    Duration lateAfter = 0ms;

    friend bool operator==(ForwardPacket const &, ForwardPacket const &) = default;
};

struct ResetFlow
{
    ResetReason reason = ResetReason::NoRoute;

    friend bool operator==(ResetFlow const &, ResetFlow const &) = default;
};

// The instance does not have the state for a decision yet. The decision is repeated when the state changes.
struct HoldPacket
{
    friend bool operator==(HoldPacket const &, HoldPacket const &) = default;
};

struct DropPacket
{
    DropReason reason = DropReason::NotFromCaller;

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
