// Implements the connection of the sockets to the instance.

#include "DatagramSockets.h"

#include <LibCore/Try.h>
#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <utility>

namespace almondwing {

DatagramSockets::DatagramSockets(WireCodec wireCodec, InstanceId instanceId, EventReporter reporter)
    : codec(wireCodec), self(instanceId), report(std::move(reporter))
{
}

absl::StatusOr<std::unique_ptr<DatagramSockets>>
DatagramSockets::open(IoRuntime &runtime, DaemonSettings const &settings, EventReporter report)
{
    std::unique_ptr<DatagramSockets> sockets(new DatagramSockets(
        WireCodec::forCluster(settings.cluster), InstanceId::fromName(settings.instance), std::move(report)));
    sockets->entry = TRY(UdpSocket::open(runtime, settings.listen.entry));
    sockets->target = TRY(UdpSocket::open(runtime, settings.listen.target));
    sockets->peer = TRY(UdpSocket::open(runtime, settings.listen.peer));
    return sockets;
}

template<typename Message>
void DatagramSockets::encodeAndSend(UdpSocket &socket, Endpoint to, Message const &message)
{
    auto const datagram = this->codec.encode(message);
    if (!datagram.ok()) {
        this->encodeFailures.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    socket.send(to, *datagram);
}

Outbox DatagramSockets::outbox()
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

void DatagramSockets::sendToInstance(InstanceId receiver, PeerMessage const &message)
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
        this->peerOverheadBytesSent.fetch_add(datagram->size(), std::memory_order_relaxed);
    this->peer->send(member->value.peerEndpoint, *datagram);
}

void DatagramSockets::drop(std::atomic<std::uint64_t> &counter, char const *socket, Endpoint from,
                           absl::Status const &reason)
{
    counter.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::InputDropped,
                 fmt::format("{} socket, datagram from {}: {}", socket, from.toString(),
                             std::string(reason.message())));
}

void DatagramSockets::attach(Instance &servedInstance)
{
    this->instance = &servedInstance;
}

void DatagramSockets::start()
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

void DatagramSockets::close()
{
    this->entry->close();
    this->target->close();
    this->peer->close();
}

DatagramCounters DatagramSockets::counters() const
{
    return DatagramCounters{.entryDropped = this->entryDropped,
                            .targetDropped = this->targetDropped,
                            .peerDropped = this->peerDropped,
                            .encodeFailures = this->encodeFailures,
                            .entry = this->entry->counters(),
                            .target = this->target->counters(),
                            .peer = this->peer->counters(),
                            .peerOverheadBytesSent = this->peerOverheadBytesSent};
}

} // namespace almondwing
