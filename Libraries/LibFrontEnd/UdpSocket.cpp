// Implements UDP sockets with Boost.Asio.

#include <LibFrontEnd/IoContext.h>
#include <LibFrontEnd/UdpSocket.h>

#include <fmt/format.h>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <vector>

namespace almondwing {

namespace {

using boost::asio::ip::udp;

// A thread receives up to this many datagrams before it lets another thread receive.
constexpr std::size_t datagramsPerBatch = 32;

// Larger than any datagram of the protocol, so that an oversized one is detected and not silently truncated.
constexpr std::size_t receiveBufferBytes = 2048;

// Holds bursts of several thousand datagrams while all threads are busy.
constexpr int socketBufferBytes = 4 * 1024 * 1024;

struct Datagram
{
    Endpoint from;
    std::size_t size = 0;
    std::array<char, receiveBufferBytes> data{};
};

} // namespace

struct UdpSocket::State : std::enable_shared_from_this<UdpSocket::State>
{
    explicit State(boost::asio::io_context &context) : socket(context) { }

    void waitForDatagrams()
    {
        this->socket.async_wait(udp::socket::wait_read, [self = this->shared_from_this()](auto error) {
            if (!error)
                self->receiveBatch();
        });
    }

    void receiveBatch()
    {
        thread_local std::vector<Datagram> batch(datagramsPerBatch);
        std::size_t count = 0;
        while (count < batch.size()) {
            udp::endpoint sender;
            boost::system::error_code error;
            batch[count].size =
                this->socket.receive_from(boost::asio::buffer(batch[count].data), sender, 0, error);
            // A peer whose port is unreachable causes this error on a later receive; it does not concern this
            // socket.
            if (error == boost::asio::error::connection_refused)
                continue;
            if (error)
                break;
            batch[count].from = fromAsio(sender);
            ++count;
        }
        // Another thread may receive the next batch while this one is being handled.
        this->waitForDatagrams();
        for (std::size_t index = 0; index < count; ++index)
            this->handleDatagram(batch[index]);
    }

    void handleDatagram(Datagram const &datagram)
    {
        this->datagramsReceived.fetch_add(1, std::memory_order_relaxed);
        this->bytesReceived.fetch_add(datagram.size, std::memory_order_relaxed);
        this->handler(datagram.from, std::string_view(datagram.data.data(), datagram.size));
    }

    udp::socket socket;
    int descriptor = -1;
    Endpoint local;
    DatagramHandler handler;
    std::atomic<std::uint64_t> datagramsReceived = 0;
    std::atomic<std::uint64_t> datagramsSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> sendsDropped = 0;
};

absl::StatusOr<std::shared_ptr<UdpSocket>> UdpSocket::open(IoRuntime &runtime, Endpoint local)
{
    auto state = std::make_shared<State>(runtime.context().asio);
    boost::system::error_code error;
    state->socket.open(udp::v4(), error);
    if (!error)
        state->socket.bind(toAsio<udp>(local), error);
    if (!error)
        state->socket.non_blocking(true, error);
    if (error)
        return absl::UnavailableError(
            fmt::format("can't open UDP socket {}: {}", local.toString(), error.message()));
    // The kernel may grant smaller buffers, which only reduces the size of the bursts that fit.
    boost::system::error_code ignored;
    state->socket.set_option(boost::asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    state->socket.set_option(boost::asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    state->descriptor = state->socket.native_handle();
    state->local = fromAsio(state->socket.local_endpoint());
    return std::shared_ptr<UdpSocket>(new UdpSocket(std::move(state)));
}

UdpSocket::UdpSocket(std::shared_ptr<State> opened) : state(std::move(opened)) { }

UdpSocket::~UdpSocket()
{
    this->close();
}

void UdpSocket::receive(DatagramHandler handler)
{
    this->state->handler = std::move(handler);
    this->state->waitForDatagrams();
}

void UdpSocket::send(Endpoint to, std::string_view datagram)
{
    // Calls sendto() directly because an Asio socket must not be used by several threads at once.
    auto const address = toAsio<udp>(to);
    auto const sent =
        ::sendto(this->state->descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                 address.data(), static_cast<socklen_t>(address.size()));
    if (sent < 0) {
        this->state->sendsDropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->state->datagramsSent.fetch_add(1, std::memory_order_relaxed);
    this->state->bytesSent.fetch_add(datagram.size(), std::memory_order_relaxed);
}

void UdpSocket::close()
{
    auto const keep = this->state;
    boost::asio::post(keep->socket.get_executor(), [keep] {
        boost::system::error_code ignored;
        keep->socket.cancel(ignored);
    });
}

Endpoint UdpSocket::localEndpoint() const
{
    return this->state->local;
}

UdpCounters UdpSocket::counters() const
{
    return UdpCounters{.datagramsReceived = this->state->datagramsReceived,
                       .datagramsSent = this->state->datagramsSent,
                       .bytesReceived = this->state->bytesReceived,
                       .bytesSent = this->state->bytesSent,
                       .sendsDropped = this->state->sendsDropped};
}

} // namespace almondwing
