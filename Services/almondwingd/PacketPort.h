// Connects the three UDP sockets to the instance through the codec: decodes received datagrams into typed
// messages, and encodes the messages that the instance sends through its hooks.

#pragma once

#include <LibFrontEnd/UdpSocket.h>
#include <LibInstance/Instance.h>
#include <LibSettings/DaemonSettings.h>
#include <LibWire/WireCodec.h>

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace almondwing {

struct PacketPortCounters
{
    std::uint64_t entryDropped = 0; // Malformed, or meant for another cluster or socket.
    std::uint64_t targetDropped = 0;
    std::uint64_t peerDropped = 0;
    std::uint64_t encodeFailures = 0;
    UdpCounters entry;
    UdpCounters target;
    UdpCounters peer;
    std::uint64_t controlBytesSent = 0; // Peer datagrams except forwarded messages of callers.

    friend bool operator==(PacketPortCounters const &, PacketPortCounters const &) = default;
};

class PacketPort
{
public:
    static absl::StatusOr<std::unique_ptr<PacketPort>>
    open(IoRuntime &runtime, DaemonSettings const &settings, EventReporter report);

    // Returns hooks that send through this port. They must not outlive the port.
    Outbox outbox();

    // Sets the instance that receives messages. Must be called before any hook is used.
    void attach(Instance &servedInstance);

    // Starts passing received messages to the instance.
    void start();
    void close();

    PacketPortCounters counters() const;

private:
    PacketPort(WireCodec wireCodec, InstanceId instanceId, EventReporter reporter);

    void sendToInstance(InstanceId receiver, PeerMessage const &message);
    template<typename Message>
    void encodeAndSend(UdpSocket &socket, Endpoint to, Message const &message);
    void drop(std::atomic<std::uint64_t> &counter, char const *socket, Endpoint from,
              absl::Status const &reason);

    WireCodec codec;
    InstanceId self;
    EventReporter report;
    std::shared_ptr<UdpSocket> entry;
    std::shared_ptr<UdpSocket> target;
    std::shared_ptr<UdpSocket> peer;
    Instance *instance = nullptr; // Set by attach().
    std::atomic<std::uint64_t> entryDropped = 0;
    std::atomic<std::uint64_t> targetDropped = 0;
    std::atomic<std::uint64_t> peerDropped = 0;
    std::atomic<std::uint64_t> encodeFailures = 0;
    std::atomic<std::uint64_t> controlBytesSent = 0;
};

} // namespace almondwing
