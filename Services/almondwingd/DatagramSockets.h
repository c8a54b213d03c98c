// Connects the UDP sockets for callers (entry), for targets and for other instances (peer) to the instance:
// decodes received datagrams into typed messages, and encodes the messages that the instance sends through
// its hooks.

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

struct DatagramCounters
{
    // Received datagrams that were malformed or meant for another version, cluster or socket, by socket.
    std::uint64_t entryDropped = 0;
    std::uint64_t targetDropped = 0;
    std::uint64_t peerDropped = 0;
    std::uint64_t encodeFailures = 0;
    UdpCounters entry;
    UdpCounters target;
    UdpCounters peer;
    std::uint64_t peerOverheadBytesSent = 0; // Peer datagrams except forwarded messages of callers.

    friend bool operator==(DatagramCounters const &, DatagramCounters const &) = default;
};

class DatagramSockets
{
public:
    static absl::StatusOr<std::unique_ptr<DatagramSockets>>
    open(IoRuntime &runtime, DaemonSettings const &settings, EventReporter report);

    // Returns hooks that send through these sockets. They must not outlive this object.
    Outbox outbox();

    // Sets the instance that receives messages. Must be called before start() and sendToInstance().
    void attach(Instance &servedInstance);

    // Starts passing received messages to the instance.
    void start();
    void close();

    DatagramCounters counters() const;

private:
    DatagramSockets(WireCodec wireCodec, InstanceId instanceId, EventReporter reporter);

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
    std::atomic<std::uint64_t> peerOverheadBytesSent = 0;
};

} // namespace almondwing
