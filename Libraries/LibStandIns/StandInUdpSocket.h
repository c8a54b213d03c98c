// A UDP socket of the stand-ins that passes each received datagram to a hook.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibStandIns/EventLoop.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondwing {

class StandInUdpSocket
{
public:
    // Never called by two threads at the same time for the same socket.
    using Receive = std::function<void(Endpoint from, std::string_view datagram)>;

    // With port 0 the kernel chooses the port.
    static absl::StatusOr<std::shared_ptr<StandInUdpSocket>> open(EventLoop &loop, Endpoint local,
                                                                  Receive receive);

    StandInUdpSocket(StandInUdpSocket const &) = delete;
    StandInUdpSocket &operator=(StandInUdpSocket const &) = delete;
    ~StandInUdpSocket() = default;

    // A socket that is not closed receives until the event loop ends, even after the destruction of this
    // object.
    void close();

    Endpoint localEndpoint() const { return this->local; }

    // May be called from any thread. Errors are ignored, as if the network had lost the packet.
    void send(Endpoint to, std::string datagram);

private:
    struct Implementation;

    StandInUdpSocket(std::shared_ptr<Implementation> implementation, Endpoint local);

    std::shared_ptr<Implementation> implementation;
    Endpoint local;
};

// Parses "a.b.c.d:port"; with port 0 the kernel chooses the port.
absl::StatusOr<Endpoint> parseListenEndpoint(std::string_view text);

} // namespace almondwing
