// Implements the connection of the sockets to the instance.

#include "PacketPort.h"

#include <LibCore/Try.h>
#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <utility>

namespace almondwing {

PacketPort::PacketPort(WireCodec wireCodec, InstanceId instanceId, EventReporter reporter)
    : codec(wireCodec), self(instanceId), report(std::move(reporter))
{
}

absl::StatusOr<std::unique_ptr<PacketPort>>
PacketPort::open(IoRuntime &runtime, DaemonSettings const &settings, EventReporter report)
{
    std::unique_ptr<PacketPort> port(new PacketPort(
        WireCodec::forCluster(settings.cluster), InstanceId::fromName(settings.instance), std::move(report)));
    port->entry = TRY(UdpSocket::open(runtime, settings.listen.entry));
    port->target = TRY(UdpSocket::open(runtime, settings.listen.target));
    port->peer = TRY(UdpSocket::open(runtime, settings.listen.peer));
    return port;
}

template<typename Message>
void PacketPort::encodeAndSend(UdpSocket &socket, Endpoint to, Message const &message)
{
    auto const datagram = this->codec.encode(message);
    if (!datagram.ok()) {
        this->encodeFailures.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    socket.send(to, *datagram);
}

Outbox PacketPort::outbox()
{
    return Outbox{
        .sendToCaller =
            [this](Endpoint caller, CallerReply const &reply) {
                this->encodeAndSend(*this->entry, caller, reply);
            },
        .sendToTarget =
            [this](Endpoint to, TargetCommand const &command) {
                this->encodeAndSend(*this->target, to, command);
            },
        .sendToInstance = [this](InstanceId receiver,
                                 PeerMessage const &message) { this->sendToInstance(receiver, message); },
        .report = this->report};
}

void PacketPort::sendToInstance(InstanceId receiver, PeerMessage const &message)
{
    auto const member = this->instance->state().members.read(receiver);
    if (!member)
        return;
    auto const datagram = this->codec.encode(PeerDatagram{.from = this->self, .message = message});
    if (!datagram.ok()) {
        this->encodeFailures.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (!std::holds_alternative<Forwarded>(message))
        this->controlBytesSent.fetch_add(datagram->size(), std::memory_order_relaxed);
    this->peer->send(member->value.peerEndpoint, *datagram);
}

void PacketPort::drop(std::atomic<std::uint64_t> &counter, char const *socket, Endpoint from,
                      absl::Status const &reason)
{
    counter.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::InputDropped,
                 fmt::format("{} socket, datagram from {}: {}", socket, from.toString(),
                             std::string(reason.message())));
}

void PacketPort::attach(Instance &servedInstance)
{
    this->instance = &servedInstance;
}

void PacketPort::start()
{
    VERIFY(this->instance != nullptr);
    this->entry->receive([this](Endpoint from, std::string_view datagram) {
        auto message = this->codec.decodeCallerMessage(datagram);
        if (message.ok())
            this->instance->handleCallerMessage(from, *std::move(message), IoRuntime::now());
        else
            this->drop(this->entryDropped, "entry", from, message.status());
    });
    this->target->receive([this](Endpoint from, std::string_view datagram) {
        auto const message = this->codec.decodeTargetMessage(datagram);
        if (message.ok())
            this->instance->handleTargetMessage(from, *message, IoRuntime::now());
        else
            this->drop(this->targetDropped, "target", from, message.status());
    });
    this->peer->receive([this](Endpoint from, std::string_view datagram) {
        auto const received = this->codec.decodePeerDatagram(datagram);
        if (received.ok())
            this->instance->handlePeerMessage(received->from, from, received->message, IoRuntime::now());
        else
            this->drop(this->peerDropped, "peer", from, received.status());
    });
}

void PacketPort::close()
{
    this->entry->close();
    this->target->close();
    this->peer->close();
}

PacketPortCounters PacketPort::counters() const
{
    return PacketPortCounters{.entryDropped = this->entryDropped,
                              .targetDropped = this->targetDropped,
                              .peerDropped = this->peerDropped,
                              .encodeFailures = this->encodeFailures,
                              .entry = this->entry->counters(),
                              .target = this->target->counters(),
                              .peer = this->peer->counters(),
                              .controlBytesSent = this->controlBytesSent};
}

} // namespace almondwing
