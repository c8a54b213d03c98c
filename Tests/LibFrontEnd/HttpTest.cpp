// Tests of the HTTP server and client over loopback. Raw connections simulate peers that violate the
// protocol.

#include <LibFrontEnd/IoContext.h>

#include "RunningRuntime.h"

#include <LibFrontEnd/HttpClient.h>
#include <LibFrontEnd/HttpServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Shared by all raw connections, because each context uses three file descriptors.
boost::asio::io_context &rawContext()
{
    static boost::asio::io_context context;
    return context;
}

// A blocking connection that sends arbitrary bytes.
class RawConnection
{
public:
    explicit RawConnection(Endpoint server) : socket(rawContext())
    {
        this->socket.connect(toAsio<tcp>(server));
    }

    void send(std::string_view bytes) { boost::asio::write(this->socket, boost::asio::buffer(bytes)); }

    // Reads until the text ends with `ending` or the server closes the connection.
    std::string readUntil(std::string_view ending)
    {
        std::string text;
        for (char byte = 0; ending.empty() || !text.ends_with(ending); text.push_back(byte)) {
            ErrorCode error;
            if (boost::asio::read(this->socket, boost::asio::buffer(&byte, 1), error) == 0)
                break;
        }
        return text;
    }

    std::string readAll() { return this->readUntil({}); }

private:
    tcp::socket socket;
};

// A listening socket without an HTTP server.
class RawListener
{
public:
    RawListener() : acceptor(rawContext(), toAsio<tcp>(anyLoopbackPort)) { }

    Endpoint endpoint() const { return fromAsio(this->acceptor.local_endpoint()); }

    // Accepts one connection, reads a request without body, sends the answer and closes the connection.
    void answerOnce(std::string_view answer)
    {
        tcp::socket socket = this->acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(answer));
    }

private:
    tcp::acceptor acceptor;
};

// A server that echoes its input. Paths below /refused get status 409, paths below /malformed get 400.
class EchoServer
{
public:
    EchoServer()
        : server(*HttpServer::open(this->running.runtime, anyLoopbackPort,
                                   {.handle =
                                        [](HttpRequest const &request, HttpResponder const &respond) {
                                            bool const isRefused = request.path.starts_with("/refused");
                                            bool const isMalformed = request.path.starts_with("/malformed");
                                            respond({.status = isRefused ? 409U
                                                         : isMalformed   ? 400U
                                                                         : 200U,
                                                     .body = request.queryParameter("name")
                                                         + request.bearerToken + request.body});
                                        },
                                    .reportInvalidInput = [this](std::string const &) { ++this->reports; }}))
    {
    }
    ~EchoServer() { this->server->close(); }
    EchoServer(EchoServer const &) = delete;
    EchoServer &operator=(EchoServer const &) = delete;

    absl::StatusOr<HttpResponse> call(HttpCall const &call)
    {
        auto const result = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
        callHttp(this->running.runtime, call,
                 [result](absl::StatusOr<HttpResponse> response) { result->set_value(std::move(response)); });
        return valueOf(result->get_future());
    }

    absl::StatusOr<HttpResponse> post(std::string const &target, std::string const &body)
    {
        return this->call({.server = this->endpoint(),
                           .method = HttpMethod::Post,
                           .target = target,
                           .body = body,
                           .timeout = hangLimit});
    }

    Endpoint endpoint() const { return this->server->localEndpoint(); }
    HttpServerCounters counters() const { return this->server->counters(); }

    std::atomic<int> reports = 0;

private:
    RunningRuntime running;
    std::shared_ptr<HttpServer> server;
};

} // namespace

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(queryValuesRoundTrip);
    CPPUNIT_TEST(responsesAreCountedByOutcome);
    CPPUNIT_TEST(onlyGetAndPostReachTheHandler);
    CPPUNIT_TEST(persistentConnectionServesRequestsInOrder);
    CPPUNIT_TEST(malformedInputClosesConnection);
    CPPUNIT_TEST(oversizedBodyIsRefused);
    CPPUNIT_TEST(connectionLimitIsEnforced);
    CPPUNIT_TEST(unreachableServerIsUnavailable);
    CPPUNIT_TEST(unresponsiveServerExceedsDeadline);
    CPPUNIT_TEST(lostConnectionIsAborted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against special characters in a value that change it or are parsed as another parameter.
    void queryValuesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("query values round-trip", [] {
            auto const first = *rc::gen::arbitrary<std::string>();
            auto const second = *rc::gen::arbitrary<std::string>();
            HttpRequest const request = parseRequestTarget("/v1/explain?first=" + encodeQueryValue(first)
                                                           + "&second=" + encodeQueryValue(second));
            RC_ASSERT(request.path == "/v1/explain");
            RC_ASSERT(request.queryParameter("first") == first);
            RC_ASSERT(request.queryParameter("second") == second);
        }));
    }

    // Guards against a refusal that is counted as answered, and against a lost part of a call.
    void responsesAreCountedByOutcome()
    {
        EchoServer server;
        auto const answered = server.call({.server = server.endpoint(),
                                           .method = HttpMethod::Post,
                                           .target = "/echo?name=a%20b",
                                           .body = "-body",
                                           .bearerToken = "-token",
                                           .timeout = hangLimit});
        CPPUNIT_ASSERT(answered.ok());
        CPPUNIT_ASSERT(*answered == (HttpResponse{.status = 200, .body = "a b-token-body"}));
        auto const refused = server.post("/refused", "no");
        CPPUNIT_ASSERT(refused.ok());
        CPPUNIT_ASSERT(*refused == (HttpResponse{.status = 409, .body = "no"}));
        CPPUNIT_ASSERT(server.counters() == (HttpServerCounters{.answered = 1, .refused = 1}));
        // A conflict is not caused by the input, so it is not reported to operators.
        CPPUNIT_ASSERT_EQUAL(0, server.reports.load());
        CPPUNIT_ASSERT(server.post("/malformed", "").ok());
        CPPUNIT_ASSERT_EQUAL(1, server.reports.load());
    }

    // Guards against other methods that are handled as a GET, for example a DELETE that reads.
    void onlyGetAndPostReachTheHandler()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("DELETE /echo HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(client.readAll().starts_with("HTTP/1.1 405 "));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.refused = 1});
    }

    // Guards against a second request on a connection that is lost or mixed with the first one.
    void persistentConnectionServesRequestsInOrder()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("POST /echo HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                    "POST /echo HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
        CPPUNIT_ASSERT(client.readUntil("one").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(client.readAll().ends_with("two"));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.answered = 2});
    }

    // Guards against input that is not HTTP and isn't counted, keeps its connection open or stops the server.
    void malformedInputClosesConnection()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("\x16\x03\x01 this is no HTTP\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string(), client.readAll());
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.malformed = 1});
        CPPUNIT_ASSERT_EQUAL(1, server.reports.load());
        CPPUNIT_ASSERT(server.post("/echo", "still here").ok());
    }

    // Guards against a body that takes more memory than a connection may use. The raw client sends only the
    // header, so the server must refuse the request before it reads any of the body.
    void oversizedBodyIsRefused()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("POST /echo HTTP/1.1\r\nContent-Length: " + std::to_string(maxHttpBodyBytes + 1)
                    + "\r\n\r\n");
        CPPUNIT_ASSERT(client.readAll().starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.refused = 1});

        auto const maximumBody = server.post("/echo", std::string(maxHttpBodyBytes, 'x'));
        CPPUNIT_ASSERT(maximumBody.ok());
        CPPUNIT_ASSERT_EQUAL(maxHttpBodyBytes, maximumBody->body.size());
    }

    // Guards against a flood of connections that exhausts the file descriptors of the process, against closed
    // connections that still count towards the limit, and against closes that are counted as malformed input.
    void connectionLimitIsEnforced()
    {
        EchoServer server;
        std::vector<std::unique_ptr<RawConnection>> held;
        for (std::size_t count = 0; count < maxHttpConnections; ++count)
            held.push_back(std::make_unique<RawConnection>(server.endpoint()));
        // The server accepts connections in order, so it has accepted all others before these.
        for (int count = 0; count < 3; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string(), RawConnection(server.endpoint()).readAll());
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.connectionsRefused = 3});

        held.clear();
        // The server detects the closes asynchronously; until then it refuses further connections.
        Timestamp const limit = IoRuntime::now() + hangLimit;
        while (!server.post("/echo", "").ok() && IoRuntime::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(server.post("/echo", "").ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.counters().malformed);
    }

    // Guards against a call that is reported as possibly executed although no server received it. The port is
    // bound without a listener, so that no other process can use it during the test.
    void unreachableServerIsUnavailable()
    {
        EchoServer runtime;
        tcp::socket const bound(rawContext(), toAsio<tcp>(anyLoopbackPort));
        auto const result = runtime.call({.server = fromAsio(bound.local_endpoint()), .target = "/"});
        CPPUNIT_ASSERT(absl::IsUnavailable(result.status()));
    }

    // Guards against a call that never ends, and against a timeout that is reported as not sent. The timeout
    // is much longer than it takes to connect over loopback, because the connection must be established
    // first.
    void unresponsiveServerExceedsDeadline()
    {
        constexpr Duration timeout = 2s;
        EchoServer runtime;
        RawListener const listener; // The kernel completes the connection, but nothing reads from it.
        Timestamp const begin = IoRuntime::now();
        auto const result = runtime.call({.server = listener.endpoint(), .target = "/", .timeout = timeout});
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(result.status()));
        CPPUNIT_ASSERT(IoRuntime::now() - begin >= timeout);
    }

    // Guards against a retry of a change that was applied although its response was lost, and against a
    // truncated response that is accepted as complete.
    void lostConnectionIsAborted()
    {
        EchoServer runtime;
        for (std::string_view const answer : {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}) {
            RawListener listener;
            std::jthread const server([&listener, answer] { listener.answerOnce(answer); });
            auto const result =
                runtime.call({.server = listener.endpoint(), .target = "/", .timeout = hangLimit});
            CPPUNIT_ASSERT(absl::IsAborted(result.status()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace almondwing
