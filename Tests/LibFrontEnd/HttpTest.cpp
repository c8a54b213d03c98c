// Tests of the HTTP server and client over loopback, with raw connections where the other side misbehaves.

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

// Shared by all raw connections, because each context takes three descriptors.
boost::asio::io_context &rawContext()
{
    static boost::asio::io_context context;
    return context;
}

// A blocking connection that sends whatever a test wants.
class RawConnection
{
public:
    explicit RawConnection(Endpoint server) : socket(rawContext())
    {
        this->socket.connect(toAsio<tcp>(server));
    }

    void send(std::string_view bytes) { boost::asio::write(this->socket, boost::asio::buffer(bytes)); }

    // Reads until the text ends as given, or until the server closes.
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

// Listens without an HTTP server behind it.
class RawListener
{
public:
    RawListener() : acceptor(rawContext(), toAsio<tcp>(anyLoopbackPort)) { }

    Endpoint endpoint() const { return fromAsio(this->acceptor.local_endpoint()); }

    // Takes one connection, reads a request without body, sends the answer and closes.
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

// A server that repeats what it got, with a conflict for everything below /refused and 400 below /malformed.
class EchoServer
{
public:
    EchoServer()
        : server(*HttpServer::open(this->running.runtime, anyLoopbackPort,
                                   {.handle =
                                        [](HttpRequest const &request, HttpResponder const &respond) {
                                            bool const isRefused = request.path.starts_with("/refused");
                                            bool const isBad = request.path.starts_with("/malformed");
                                            respond({.status = isRefused ? 409U
                                                         : isBad         ? 400U
                                                                         : 200U,
                                                     .body = request.queryParameter("name")
                                                         + request.bearerToken + request.body});
                                        },
                                    .reportRefusal = [this](std::string const &) { ++this->reports; }}))
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
    CPPUNIT_TEST(queryValuesSurviveTheTarget);
    CPPUNIT_TEST(answersAndRefusalsAreCounted);
    CPPUNIT_TEST(onlyGetAndPostReachTheHandler);
    CPPUNIT_TEST(keptConnectionServesRequestsInTurn);
    CPPUNIT_TEST(malformedInputIsCountedAndClosed);
    CPPUNIT_TEST(bodyOverTheLimitIsRefused);
    CPPUNIT_TEST(connectionsAreBounded);
    CPPUNIT_TEST(unreachableServerIsUnavailable);
    CPPUNIT_TEST(silentServerExceedsTheDeadline);
    CPPUNIT_TEST(lostConnectionIsAborted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a name with special characters that reaches the server as another name or parameter.
    void queryValuesSurviveTheTarget()
    {
        CPPUNIT_ASSERT(rc::check("query values survive the target", [] {
            auto const first = *rc::gen::arbitrary<std::string>();
            auto const second = *rc::gen::arbitrary<std::string>();
            HttpRequest const request = parseRequestTarget("/v1/explain?first=" + encodeQueryValue(first)
                                                           + "&second=" + encodeQueryValue(second));
            RC_ASSERT(request.path == "/v1/explain");
            RC_ASSERT(request.queryParameter("first") == first);
            RC_ASSERT(request.queryParameter("second") == second);
        }));
    }

    // Guards against a refusal that is counted as an answer, and against a part of the call that is lost.
    void answersAndRefusalsAreCounted()
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
        // A conflict is no fault of the input, so operators are not warned of it.
        CPPUNIT_ASSERT_EQUAL(0, server.reports.load());
        CPPUNIT_ASSERT(server.post("/malformed", "").ok());
        CPPUNIT_ASSERT_EQUAL(1, server.reports.load());
    }

    // Guards against other methods that are taken for a GET, for example a DELETE that reads.
    void onlyGetAndPostReachTheHandler()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("DELETE /echo HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(client.readAll().starts_with("HTTP/1.1 405 "));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.refused = 1});
    }

    // Guards against a second request on one connection that is lost, or mixed with the first one.
    void keptConnectionServesRequestsInTurn()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("POST /echo HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                    "POST /echo HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
        CPPUNIT_ASSERT(client.readUntil("one").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(client.readAll().ends_with("two"));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.answered = 2});
    }

    // Guards against input that is no HTTP and goes uncounted, keeps its connection or stops the server.
    void malformedInputIsCountedAndClosed()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("\x16\x03\x01 this is no HTTP\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string(), client.readAll());
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.malformed = 1});
        CPPUNIT_ASSERT_EQUAL(1, server.reports.load());
        CPPUNIT_ASSERT(server.post("/echo", "still here").ok());
    }

    // Guards against a body that takes more memory than is set aside for a connection. Only the header is
    // sent, so the refusal comes before any of the body.
    void bodyOverTheLimitIsRefused()
    {
        EchoServer server;
        RawConnection client(server.endpoint());
        client.send("POST /echo HTTP/1.1\r\nContent-Length: " + std::to_string(maxHttpBodyBytes + 1)
                    + "\r\n\r\n");
        CPPUNIT_ASSERT(client.readAll().starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.refused = 1});

        auto const largest = server.post("/echo", std::string(maxHttpBodyBytes, 'x'));
        CPPUNIT_ASSERT(largest.ok());
        CPPUNIT_ASSERT_EQUAL(maxHttpBodyBytes, largest->body.size());
    }

    // Guards against a flood of connections that uses up the descriptors of the process, against a connection
    // that keeps its place after its end, and against ends of connections that count as malformed.
    void connectionsAreBounded()
    {
        EchoServer server;
        std::vector<std::unique_ptr<RawConnection>> held;
        for (std::size_t count = 0; count < maxHttpConnections; ++count)
            held.push_back(std::make_unique<RawConnection>(server.endpoint()));
        // The server takes connections in the order in which they came, so all others are taken before these.
        for (int count = 0; count < 3; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string(), RawConnection(server.endpoint()).readAll());
        CPPUNIT_ASSERT(server.counters() == HttpServerCounters{.connectionsRefused = 3});

        held.clear();
        // The server notices the ends in its own time; until then it refuses further connections.
        Timestamp const limit = IoRuntime::now() + hangLimit;
        while (!server.post("/echo", "").ok() && IoRuntime::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(server.post("/echo", "").ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.counters().malformed);
    }

    // Guards against a call that is reported as possibly done although nobody got it. The port is bound but
    // nobody listens on it, so no other process can get it meanwhile.
    void unreachableServerIsUnavailable()
    {
        EchoServer runtime;
        tcp::socket const bound(rawContext(), toAsio<tcp>(anyLoopbackPort));
        auto const result = runtime.call({.server = fromAsio(bound.local_endpoint()), .target = "/"});
        CPPUNIT_ASSERT(absl::IsUnavailable(result.status()));
    }

    // Guards against a call that waits for ever, and against a timeout that is reported as not sent. The
    // timeout is long against the time of a connection on loopback, which has to be made before.
    void silentServerExceedsTheDeadline()
    {
        constexpr Duration timeout = 2s;
        EchoServer runtime;
        RawListener const listener; // The kernel completes the connection; nobody reads.
        Timestamp const begin = IoRuntime::now();
        auto const result = runtime.call({.server = listener.endpoint(), .target = "/", .timeout = timeout});
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(result.status()));
        CPPUNIT_ASSERT(IoRuntime::now() - begin >= timeout);
    }

    // Guards against a retry of a change that was made although its answer was lost, and against the first
    // part of an answer that is taken for the whole.
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
