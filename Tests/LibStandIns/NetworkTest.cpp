// Tests of the sockets of the stand-ins on the loopback interface. Each test ends when its packets have
// arrived, independently of the time that this takes.

#include <LibStandIns/EventLoop.h>
#include <LibStandIns/Http.h>
#include <LibStandIns/StandInUdpSocket.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};

// Returns the result of one POST request to a server on the same loop.
absl::StatusOr<std::string> post(EventLoop &loop, Endpoint server, std::string body, Duration timeout = 60s)
{
    absl::StatusOr<std::string> result;
    postJson(loop, server, "/v1/announce?x=1", std::move(body), timeout,
             [&](absl::StatusOr<std::string> responseBody) {
                 result = std::move(responseBody);
                 loop.stop();
             });
    loop.run(1);
    return result;
}

} // namespace

class NetworkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NetworkTest);
    CPPUNIT_TEST(datagramsKeepTheirBytesAndSender);
    CPPUNIT_TEST(requestsReachTheHandler);
    CPPUNIT_TEST(failuresAreReported);
    CPPUNIT_TEST(urlsAreSplitIntoPathAndQuery);
    CPPUNIT_TEST(listenEndpointsAcceptPortZero);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a socket that truncates datagrams at a zero byte or reports the wrong sender.
    void datagramsKeepTheirBytesAndSender()
    {
        EventLoop loop;
        std::string const sent("a\0b", 3);
        std::string received;
        Endpoint sender;
        auto const server =
            StandInUdpSocket::open(loop, anyLoopbackPort, [&](Endpoint from, std::string_view datagram) {
                received = datagram;
                sender = from;
                loop.stop();
            });
        auto const client = StandInUdpSocket::open(loop, anyLoopbackPort, [](Endpoint, std::string_view) {});
        (*client)->send((*server)->localEndpoint(), sent);
        loop.run(1);
        CPPUNIT_ASSERT_EQUAL(sent, received);
        CPPUNIT_ASSERT(sender == (*client)->localEndpoint());
    }

    // Guards against announcements that reach an instance without their body.
    void requestsReachTheHandler()
    {
        EventLoop loop;
        HttpRequest seen;
        auto const server = StandInHttpServer::open(loop, anyLoopbackPort, [&](HttpRequest const &request) {
            seen = request;
            return HttpReply{.status = 200, .body = "{}"};
        });
        auto const responseBody = post(loop, (*server)->localEndpoint(), "[1]");
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), *responseBody);
        CPPUNIT_ASSERT(seen == (HttpRequest{.path = "/v1/announce", .query = {{"x", "1"}}, .body = "[1]"}));
    }

    // Guards against a target that treats a refused or lost announcement as accepted.
    void failuresAreReported()
    {
        EventLoop refusing;
        auto const server = StandInHttpServer::open(refusing, anyLoopbackPort, [](HttpRequest const &) {
            return HttpReply{.status = 503, .body = "{}"};
        });
        CPPUNIT_ASSERT(!post(refusing, (*server)->localEndpoint(), "").ok());

        EventLoop frozen;
        auto const silent = StandInHttpServer::open(
            frozen, anyLoopbackPort,
            [](HttpRequest const &) -> std::optional<HttpReply> { return std::nullopt; });
        CPPUNIT_ASSERT(!post(frozen, (*silent)->localEndpoint(), "", 100ms).ok());

        EventLoop nobody;
        CPPUNIT_ASSERT(!post(nobody, {.address = 0x7f000001, .port = 1}, "").ok());
    }

    // Guards against control requests of tests that lose a parameter.
    void urlsAreSplitIntoPathAndQuery()
    {
        CPPUNIT_ASSERT(
            HttpRequest::parse("/cut?instance=127.0.0.1:7&b=&c&=d", "")
            == (HttpRequest{.path = "/cut",
                            .query = {{"instance", "127.0.0.1:7"}, {"b", ""}, {"c", ""}, {"", "d"}},
                            .body = ""}));
        CPPUNIT_ASSERT(HttpRequest::parse("/heal", "")
                       == (HttpRequest{.path = "/heal", .query = {}, .body = ""}));
        CPPUNIT_ASSERT(HttpRequest::parse("?", "") == HttpRequest{});
    }

    // Guards against a refusal of port 0, and against malformed addresses that are accepted.
    void listenEndpointsAcceptPortZero()
    {
        CPPUNIT_ASSERT(*parseListenEndpoint("127.0.0.1:0") == anyLoopbackPort);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, parseListenEndpoint("127.0.0.1:80")->port);
        for (auto const *const text : {"", ":0", "127.0.0.1", "127.0.0.1:", "127.0.0:0", "localhost:0"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseListenEndpoint(text).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetworkTest);

} // namespace almondwing
