// Implements the envelope of all messages and its validation.

#include <LibWire/WireCodec.h>

#include <LibCore/Hash.h>
#include <LibCore/Try.h>
#include <LibWire/FieldReader.h>
#include <LibWire/FlowAndRequestConversion.h>
#include <LibWire/PeerConversion.h>

#include <Wire.pb.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

constexpr std::uint32_t wireVersion = 1;

template<typename Message>
std::size_t payloadBytes(Message const &message)
{
    if constexpr (requires { message.payload; })
        return message.payload.size();
    return 0;
}

std::size_t payloadBytes(Forwarded const &message)
{
    return std::visit([](auto const &inner) { return payloadBytes(inner); }, message.message);
}

template<typename Variant>
absl::Status checkPayload(Variant const &message)
{
    std::size_t const bytes = std::visit([](auto const &inner) { return payloadBytes(inner); }, message);
    if (bytes <= maxMessagePayloadBytes)
        return absl::OkStatus();
    return absl::ResourceExhaustedError(
        fmt::format("the payload has {} bytes, limit {}", bytes, maxMessagePayloadBytes));
}

absl::StatusOr<std::string> serialize(wire::Envelope &envelope, std::uint64_t clusterId)
{
    envelope.set_version(wireVersion);
    envelope.set_cluster(clusterId);
    std::size_t const bytes = envelope.ByteSizeLong();
    if (bytes > maxDatagramBytes)
        return absl::ResourceExhaustedError(
            fmt::format("the datagram has {} bytes, limit {}", bytes, maxDatagramBytes));
    return envelope.SerializeAsString();
}

absl::StatusOr<wire::Envelope> parse(std::string_view datagram, std::uint64_t clusterId,
                                     wire::Envelope::BodyCase expectedBody)
{
    if (datagram.empty())
        return absl::InvalidArgumentError("the datagram is empty");
    if (datagram.size() > maxDatagramBytes)
        return absl::InvalidArgumentError("the datagram is too large");
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return absl::InvalidArgumentError("the datagram is malformed");
    if (!envelope.has_version() || envelope.version() != wireVersion)
        return absl::InvalidArgumentError("the wire version is missing or not supported");
    if (!envelope.has_cluster() || envelope.cluster() != clusterId)
        return absl::InvalidArgumentError("the datagram belongs to another cluster");
    if (envelope.body_case() != expectedBody)
        return absl::InvalidArgumentError("the message does not belong to this socket");
    return envelope;
}

template<typename Message>
absl::StatusOr<Message> checked(Message message, FieldReader const &reader)
{
    TRY_STATUS(reader.status());
    return message;
}

} // namespace

WireCodec WireCodec::forCluster(std::string_view clusterName)
{
    return WireCodec{.clusterId = hashText(clusterName)};
}

absl::StatusOr<std::string> WireCodec::encode(CallerMessage const &message) const
{
    TRY_STATUS(checkPayload(message));
    wire::Envelope envelope;
    writeCallerMessage(message, *envelope.mutable_caller_message());
    return serialize(envelope, this->clusterId);
}

absl::StatusOr<std::string> WireCodec::encode(CallerReply const &message) const
{
    TRY_STATUS(checkPayload(message));
    wire::Envelope envelope;
    writeCallerReply(message, *envelope.mutable_caller_reply());
    return serialize(envelope, this->clusterId);
}

absl::StatusOr<std::string> WireCodec::encode(TargetCommand const &message) const
{
    TRY_STATUS(checkPayload(message));
    wire::Envelope envelope;
    writeTargetCommand(message, *envelope.mutable_target_command());
    return serialize(envelope, this->clusterId);
}

absl::StatusOr<std::string> WireCodec::encode(TargetMessage const &message) const
{
    TRY_STATUS(checkPayload(message));
    wire::Envelope envelope;
    writeTargetMessage(message, *envelope.mutable_target_message());
    return serialize(envelope, this->clusterId);
}

absl::StatusOr<std::string> WireCodec::encode(PeerDatagram const &datagram) const
{
    TRY_STATUS(checkPayload(datagram.message));
    wire::Envelope envelope;
    envelope.set_from(datagram.from.value);
    TRY_STATUS(writePeerMessage(datagram.message, *envelope.mutable_peer_message()));
    return serialize(envelope, this->clusterId);
}

absl::StatusOr<CallerMessage> WireCodec::decodeCallerMessage(std::string_view datagram) const
{
    auto const envelope = TRY(parse(datagram, this->clusterId, wire::Envelope::kCallerMessage));
    FieldReader reader;
    auto message = readCallerMessage(envelope.caller_message(), reader);
    return checked(std::move(message), reader);
}

absl::StatusOr<CallerReply> WireCodec::decodeCallerReply(std::string_view datagram) const
{
    auto const envelope = TRY(parse(datagram, this->clusterId, wire::Envelope::kCallerReply));
    FieldReader reader;
    auto message = readCallerReply(envelope.caller_reply(), reader);
    return checked(std::move(message), reader);
}

absl::StatusOr<TargetCommand> WireCodec::decodeTargetCommand(std::string_view datagram) const
{
    auto const envelope = TRY(parse(datagram, this->clusterId, wire::Envelope::kTargetCommand));
    FieldReader reader;
    auto message = readTargetCommand(envelope.target_command(), reader);
    return checked(std::move(message), reader);
}

absl::StatusOr<TargetMessage> WireCodec::decodeTargetMessage(std::string_view datagram) const
{
    auto const envelope = TRY(parse(datagram, this->clusterId, wire::Envelope::kTargetMessage));
    FieldReader reader;
    auto message = readTargetMessage(envelope.target_message(), reader);
    return checked(std::move(message), reader);
}

absl::StatusOr<PeerDatagram> WireCodec::decodePeerDatagram(std::string_view datagram) const
{
    auto const envelope = TRY(parse(datagram, this->clusterId, wire::Envelope::kPeerMessage));
    FieldReader reader;
    PeerDatagram decoded{.from = InstanceId{reader.required(REQUIRED_FIELD(envelope, from))},
                         .message = readPeerMessage(envelope.peer_message(), reader)};
    return checked(std::move(decoded), reader);
}

} // namespace almondwing
