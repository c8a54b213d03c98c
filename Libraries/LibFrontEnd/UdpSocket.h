// A UDP socket that any thread may send on. Received datagrams are handled on any free thread of the runtime.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/IoRuntime.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace almondwing {

using DatagramHandler = std::function<void(Endpoint from, std::string_view datagram)>;

struct UdpCounters
{
    std::uint64_t datagramsReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t sendsDropped = 0; // The socket buffer was full, or the send failed.

    friend bool operator==(UdpCounters const &, UdpCounters const &) = default;
};

class UdpSocket
{
public:
    // With port 0 the kernel picks a port; see localEndpoint().
    static absl::StatusOr<std::shared_ptr<UdpSocket>> open(IoRuntime &runtime, Endpoint local);

    ~UdpSocket();
    UdpSocket(UdpSocket const &) = delete;
    UdpSocket &operator=(UdpSocket const &) = delete;

    // Starts receiving. The handler may run on several threads at the same time.
    void receive(DatagramHandler handler);

    void send(Endpoint to, std::string_view datagram);

    // Cancels the wait for datagrams on the event loop; the handler may still be called after this returns.
    void close();

    Endpoint localEndpoint() const;
    UdpCounters counters() const;

private:
    struct State;
    explicit UdpSocket(std::shared_ptr<State> opened);

    std::shared_ptr<State> state;
};

} // namespace almondwing
