// Encodes messages into datagrams and back. Each socket has its own body in the envelope, so that a message
// that belongs to another socket is refused.

#pragma once

#include <LibMessages/PeerMessages.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Fits into an Ethernet frame with room for the headers of a tunnel, so that IP never fragments a datagram.
constexpr std::size_t maxDatagramBytes = 1400;

// Limit of the payload of one message. The largest message around a payload is a Forwarded request, which
// takes 172 bytes of its own with 8 candidates (measured).
constexpr std::size_t maxMessagePayloadBytes = 1200;

// Durations on the wire are cut to this range; a peer can't cause an overflow in sums of times.
constexpr Duration maxWireDuration = 24h;

struct PeerDatagram
{
    InstanceId from;
    PeerMessage message;

    friend bool operator==(PeerDatagram const &, PeerDatagram const &) = default;
};

// Encoding fails with ResourceExhausted if the payload or the datagram would exceed its limit, and with
// InvalidArgument if the buckets of a claim are not in ascending order below `bucketCount`. Decoding fails
// with InvalidArgument.
struct WireCodec
{
    std::uint64_t clusterId = 0;

    static WireCodec forCluster(std::string_view clusterName);

    absl::StatusOr<std::string> encode(CallerMessage const &message) const;
    absl::StatusOr<std::string> encode(CallerReply const &message) const;
    absl::StatusOr<std::string> encode(TargetCommand const &message) const;
    absl::StatusOr<std::string> encode(TargetMessage const &message) const;
    absl::StatusOr<std::string> encode(PeerDatagram const &datagram) const;

    absl::StatusOr<CallerMessage> decodeCallerMessage(std::string_view datagram) const;
    absl::StatusOr<CallerReply> decodeCallerReply(std::string_view datagram) const;
    absl::StatusOr<TargetCommand> decodeTargetCommand(std::string_view datagram) const;
    absl::StatusOr<TargetMessage> decodeTargetMessage(std::string_view datagram) const;
    absl::StatusOr<PeerDatagram> decodePeerDatagram(std::string_view datagram) const;

    friend bool operator==(WireCodec, WireCodec) = default;
};

} // namespace almondwing
