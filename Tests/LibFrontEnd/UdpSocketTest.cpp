// Tests of UDP sockets over loopback.

#include "RunningRuntime.h"

#include <LibFrontEnd/UdpSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace almondwing {

class UdpSocketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UdpSocketTest);
    CPPUNIT_TEST(datagramsArriveAndAreCounted);
    CPPUNIT_TEST(oversizedDatagramIsDetected);
    CPPUNIT_TEST(failedSendIsCountedAsDropped);
    CPPUNIT_TEST(portInUseIsAnError);
    CPPUNIT_TEST_SUITE_END();

    // Guards against datagrams that lose bytes or their sender, and against counters that miss a direction.
    // Each datagram is sent after the reply to the previous one, so that none is lost to a full socket
    // buffer.
    void datagramsArriveAndAreCounted()
    {
        constexpr std::size_t datagramCount = 40;
        std::vector<std::promise<Endpoint>> answers(datagramCount); // By the size of the datagram.
        RunningRuntime running;
        auto const server = *UdpSocket::open(running.runtime, anyLoopbackPort);
        auto const client = *UdpSocket::open(running.runtime, anyLoopbackPort);
        server->receive(
            [&server](Endpoint from, std::string_view datagram) { server->send(from, datagram); });
        client->receive([&answers](Endpoint from, std::string_view datagram) {
            if (datagram == std::string(datagram.size(), 'x'))
                answers.at(datagram.size() - 1).set_value(from);
        });
        for (std::size_t size = 1; size <= datagramCount; ++size) {
            client->send(server->localEndpoint(), std::string(size, 'x'));
            CPPUNIT_ASSERT(valueOf(answers[size - 1].get_future()) == server->localEndpoint());
        }
        std::uint64_t const bytes = datagramCount * (datagramCount + 1) / 2;
        CPPUNIT_ASSERT(client->counters()
                       == (UdpCounters{.datagramsReceived = datagramCount,
                                       .datagramsSent = datagramCount,
                                       .bytesReceived = bytes,
                                       .bytesSent = bytes}));
        running.stop(); // The server's handler may not have returned from send() yet.
    }

    // Guards against an oversized datagram that is truncated to the maximum size (1400 bytes) and then
    // accepted as valid.
    void oversizedDatagramIsDetected()
    {
        constexpr std::size_t maxDatagramBytes = 1400;
        std::promise<std::size_t> received;
        RunningRuntime running;
        auto const server = *UdpSocket::open(running.runtime, anyLoopbackPort);
        auto const client = *UdpSocket::open(running.runtime, anyLoopbackPort);
        server->receive(
            [&received](Endpoint, std::string_view datagram) { received.set_value(datagram.size()); });
        client->send(server->localEndpoint(), std::string(5000, 'x'));
        CPPUNIT_ASSERT(valueOf(received.get_future()) > maxDatagramBytes);
    }

    // Guards against failed sends that are not counted. The datagram exceeds the maximum size of UDP.
    void failedSendIsCountedAsDropped()
    {
        RunningRuntime running;
        auto const client = *UdpSocket::open(running.runtime, anyLoopbackPort);
        client->send(client->localEndpoint(), std::string(70'000, 'x'));
        CPPUNIT_ASSERT(client->counters() == UdpCounters{.sendsDropped = 1});
    }

    // Guards against two processes that share a port without an error and get half of the packets each.
    void portInUseIsAnError()
    {
        RunningRuntime running;
        auto const first = *UdpSocket::open(running.runtime, anyLoopbackPort);
        auto const second = UdpSocket::open(running.runtime, first->localEndpoint());
        CPPUNIT_ASSERT(absl::IsUnavailable(second.status()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UdpSocketTest);

} // namespace almondwing
