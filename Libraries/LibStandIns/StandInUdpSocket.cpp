// Implements the UDP socket with Asio.

#include <LibStandIns/StandInUdpSocket.h>

#include <LibCore/Try.h>

#include <utility>

#include <boost/asio.hpp>

#include <fmt/format.h>

#include <array>

namespace almondwing {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

// Large enough for the burst of a large answer while the receiving thread is busy.
constexpr int socketBufferBytes = 1 << 20;

// Larger than any datagram of the wire format, so that oversized ones are detected instead of truncated.
constexpr std::size_t receiveBufferBytes = 2048;

Udp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint fromAsio(Udp::endpoint const &endpoint)
{
    return {.address = endpoint.address().to_v4().to_uint(), .port = endpoint.port()};
}

} // namespace

struct StandInUdpSocket::Implementation : std::enable_shared_from_this<StandInUdpSocket::Implementation>
{
    Implementation(asio::io_context &context, Receive receiveHook)
        : strand(asio::make_strand(context)), socket(strand), receive(std::move(receiveHook))
    {
    }

    void startReceive()
    {
        this->socket.async_receive_from(
            asio::buffer(this->buffer), this->sender,
            [self = this->shared_from_this()](boost::system::error_code const &error, std::size_t size) {
                self->handleReceived(error, size);
            });
    }

    void handleReceived(boost::system::error_code const &error, std::size_t size)
    {
        if (error == asio::error::operation_aborted || !this->socket.is_open())
            return;
        // Other errors are ICMP errors of earlier packets, for example port unreachable.
        if (!error)
            this->receive(fromAsio(this->sender), std::string_view(this->buffer.data(), size));
        this->startReceive();
    }

    asio::strand<asio::io_context::executor_type> strand;
    Udp::socket socket;
    Udp::endpoint sender;
    std::array<char, receiveBufferBytes> buffer{};
    Receive receive;
};

absl::StatusOr<std::shared_ptr<StandInUdpSocket>> StandInUdpSocket::open(EventLoop &loop, Endpoint local,
                                                                         Receive receive)
{
    auto implementation = std::make_shared<Implementation>(loop.ioContext(), std::move(receive));
    boost::system::error_code error;
    implementation->socket.open(Udp::v4(), error);
    if (!error)
        implementation->socket.bind(toAsio(local), error);
    if (error)
        return absl::UnavailableError(fmt::format("can't bind {}: {}", local.toString(), error.message()));
    boost::system::error_code ignored; // A buffer smaller than requested is acceptable.
    implementation->socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    implementation->socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    Endpoint const bound = fromAsio(implementation->socket.local_endpoint());
    asio::post(implementation->strand, [implementation] { implementation->startReceive(); });
    return std::shared_ptr<StandInUdpSocket>(new StandInUdpSocket(std::move(implementation), bound));
}

StandInUdpSocket::StandInUdpSocket(std::shared_ptr<Implementation> ownedImplementation,
                                   Endpoint localEndpoint)
    : implementation(std::move(ownedImplementation)), local(localEndpoint)
{
}

void StandInUdpSocket::close()
{
    asio::post(this->implementation->strand, [implementation = this->implementation] {
        boost::system::error_code ignored;
        implementation->socket.close(ignored);
    });
}

void StandInUdpSocket::send(Endpoint to, std::string datagram)
{
    asio::post(this->implementation->strand,
               [implementation = this->implementation, to, datagram = std::move(datagram)] {
                   boost::system::error_code ignored;
                   implementation->socket.send_to(asio::buffer(datagram), toAsio(to), 0, ignored);
               });
}

absl::StatusOr<Endpoint> parseListenEndpoint(std::string_view text)
{
    constexpr std::string_view ephemeralPortSuffix = ":0";
    if (!text.ends_with(ephemeralPortSuffix))
        return Endpoint::parse(text);
    std::string const withValidPort =
        std::string(text.substr(0, text.size() - ephemeralPortSuffix.size())) + ":1";
    Endpoint endpoint = TRY(Endpoint::parse(withValidPort));
    endpoint.port = 0;
    return endpoint;
}

} // namespace almondwing
