// Encodes messages into datagrams and decodes them. The envelope has a separate body type for each
// direction, so that a message that arrives at the wrong socket is rejected.

#pragma once

#include <LibMessages/PeerMessages.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Fits into an Ethernet frame together with tunnel headers, so that IP never fragments a datagram.
constexpr std::size_t maxDatagramBytes = 1400;

// Limit of the payload of one message. The message with the most overhead is a Forwarded request, which adds
// up to 194 bytes with 8 candidates.
constexpr std::size_t maxMessagePayloadBytes = 1200;

// The encoder clamps durations to this maximum and the decoder rejects longer ones, so that a peer can't
// cause an overflow in time arithmetic.
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
