// A UDP socket on the loopback interface that hands each datagram to a hook.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibStandIns/EventLoop.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondwing {

class UdpPort
{
public:
    // Never called by two threads at once for one port.
    using Receive = std::function<void(Endpoint from, std::string_view datagram)>;

    // Port 0 lets the kernel pick one.
    static absl::StatusOr<std::shared_ptr<UdpPort>> open(EventLoop &loop, Endpoint local, Receive receive);

    UdpPort(UdpPort const &) = delete;
    UdpPort &operator=(UdpPort const &) = delete;
    ~UdpPort() = default;

    // Without it the port goes on receiving until the event loop ends.
    void close();

    Endpoint localEndpoint() const { return this->local; }

    // Callable from any thread. Errors are ignored, as for a packet that the network loses.
    void send(Endpoint to, std::string datagram);

private:
    struct Implementation;

    UdpPort(std::shared_ptr<Implementation> implementation, Endpoint local);

    std::shared_ptr<Implementation> implementation;
    Endpoint local;
};

// Accepts "a.b.c.d:port" where port 0 stands for one that the kernel picks.
absl::StatusOr<Endpoint> parseListenEndpoint(std::string_view text);

} // namespace almondwing
