// Tests of persistent connections and of listener checks, over loopback.

#include <LibFrontEnd/IoContext.h>

#include "RunningRuntime.h"

#include <LibFrontEnd/HttpConnection.h>
#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/ListenerCheck.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondwing {

namespace {

using boost::asio::ip::tcp;

absl::StatusOr<HttpResponse> callOnce(HttpConnection &connection, std::string const &body,
                                      Duration timeout = 60s)
{
    auto const answered = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
    connection.call(
        HttpCall{.method = HttpMethod::Post, .target = "/", .body = body, .timeout = timeout},
        [answered](absl::StatusOr<HttpResponse> const &response) { answered->set_value(response); });
    return valueOf(answered->get_future());
}

} // namespace

class HttpConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(callsAreSentInOrder);
    CPPUNIT_TEST(callReconnectsAfterTimeout);
    CPPUNIT_TEST(unreachableServerIsUnavailable);
    CPPUNIT_TEST(pendingCallsAreLimited);
    CPPUNIT_TEST(listenerCheckDetectsRefusal);
    CPPUNIT_TEST(repeatedListenerCheckHasOneResult);
    CPPUNIT_TEST(secondCopyOfResponseIsNotTakenForTheNext);
    CPPUNIT_TEST(slowResponseIsReceivedWhileItArrives);
    CPPUNIT_TEST(stalledResponseTimesOut);
    CPPUNIT_TEST_SUITE_END();

    void callsAreSentInOrder()
    {
        std::mutex mutex;
        std::vector<std::string> bodies;
        RunningRuntime running;
        auto const server = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&](HttpRequest const &request, HttpResponder const &respond) {
                std::scoped_lock const lock(mutex);
                bodies.push_back(request.body);
                respond(HttpResponse{.body = request.body});
            }});
        CPPUNIT_ASSERT(server.ok());
        HttpConnection connection(running.runtime, (*server)->localEndpoint());
        std::vector<std::future<std::string>> answers;
        for (int index = 0; index < 20; ++index) {
            auto const answered = std::make_shared<std::promise<std::string>>();
            answers.push_back(answered->get_future());
            connection.call(
                HttpCall{
                    .method = HttpMethod::Post, .target = "/", .body = std::to_string(index), .timeout = 60s},
                [answered](absl::StatusOr<HttpResponse> const &response) {
                    answered->set_value(response.ok() ? response->body : "");
                });
        }
        for (std::size_t index = 0; index < answers.size(); ++index)
            CPPUNIT_ASSERT_EQUAL(std::to_string(index), valueOf(std::move(answers[index])));
        running.stop();
        for (std::size_t index = 0; index < bodies.size(); ++index)
            CPPUNIT_ASSERT_EQUAL(std::to_string(index), bodies[index]);
    }

    // Guards against calls that keep using a connection that no longer responds while new connections work.
    void callReconnectsAfterTimeout()
    {
        std::mutex mutex; // Guards unanswered, which keeps the unresponsive connection open.
        std::vector<HttpResponder> unanswered;
        RunningRuntime running;
        auto const server = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&](HttpRequest const &request, HttpResponder const &respond) {
                std::scoped_lock const lock(mutex);
                if (request.body == "first")
                    unanswered.push_back(respond);
                else
                    respond(HttpResponse{.body = "answer"});
            }});
        CPPUNIT_ASSERT(server.ok());
        HttpConnection connection(running.runtime, (*server)->localEndpoint());
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(callOnce(connection, "first", 50ms).status()));
        auto const second = callOnce(connection, "second");
        CPPUNIT_ASSERT(second.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), second->body);
        running.stop();
        unanswered.clear(); // The responders hold connections of the runtime.
    }

    void unreachableServerIsUnavailable()
    {
        RunningRuntime running;
        Endpoint closed;
        {
            boost::asio::io_context context;
            tcp::acceptor const acceptor(context, toAsio<tcp>(anyLoopbackPort));
            closed = fromAsio(acceptor.local_endpoint());
        }
        HttpConnection connection(running.runtime, closed);
        CPPUNIT_ASSERT(absl::IsUnavailable(callOnce(connection, "body").status()));
    }

    void pendingCallsAreLimited()
    {
        std::atomic<int> refused = 0;
        std::mutex mutex; // Guards unanswered.
        std::vector<HttpResponder> unanswered;
        RunningRuntime running;
        auto const server = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&](HttpRequest const &, HttpResponder const &respond) {
                std::scoped_lock const lock(mutex);
                unanswered.push_back(respond);
            }});
        CPPUNIT_ASSERT(server.ok());
        HttpConnection connection(running.runtime, (*server)->localEndpoint());
        for (std::size_t index = 0; index < HttpConnection::maxPendingCalls + 5; ++index)
            connection.call(HttpCall{.target = "/", .timeout = 60s},
                            [&refused](absl::StatusOr<HttpResponse> const &response) {
                                refused += absl::IsResourceExhausted(response.status()) ? 1 : 0;
                            });
        CPPUNIT_ASSERT_EQUAL(5, refused.load());
        running.stop();
        unanswered.clear(); // The responders hold connections of the runtime.
    }

    // Accepts connections and sends for each request the given texts, each after its delay.
    struct ScriptedServer
    {
        struct Part
        {
            Duration delay{0};
            std::string text;
        };
        using Script = std::function<std::vector<Part>(int requestNumber, std::string const &callNumber)>;

        explicit ScriptedServer(Script responses)
            : script(std::move(responses)), acceptor(context, toAsio<tcp>(anyLoopbackPort)),
              thread([this] { this->serve(); })
        {
        }
        ~ScriptedServer()
        {
            this->isStopping = true;
            // Ends a blocking accept().
            boost::system::error_code ignored;
            tcp::socket last(this->context);
            last.connect(this->acceptor.local_endpoint(), ignored);
            for (std::jthread &session : this->sessions)
                session.join();
            this->thread.join();
        }
        ScriptedServer(ScriptedServer const &) = delete;
        ScriptedServer &operator=(ScriptedServer const &) = delete;

        void serve()
        {
            while (!this->isStopping) {
                auto socket = std::make_shared<tcp::socket>(this->context);
                boost::system::error_code error;
                this->acceptor.accept(*socket, error);
                if (error || this->isStopping)
                    return;
                this->sessions.emplace_back([this, socket] { this->serveConnection(*socket); });
            }
        }

        void serveConnection(tcp::socket &socket)
        {
            std::string received;
            boost::system::error_code error;
            for (;;) {
                std::size_t const size =
                    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error)
                    return;
                std::size_t const header = received.find("Call: ");
                std::string const callNumber = header < size
                    ? received.substr(header + 6, received.find("\r\n", header) - header - 6)
                    : "";
                received.erase(0, size);
                for (Part const &part : this->script(++this->requests, callNumber)) {
                    std::this_thread::sleep_for(part.delay);
                    boost::asio::write(socket, boost::asio::buffer(part.text), error);
                }
            }
        }

        Script script;
        boost::asio::io_context context;
        tcp::acceptor acceptor;
        std::atomic<bool> isStopping = false;
        std::atomic<int> requests = 0;
        std::vector<std::jthread> sessions;
        std::jthread thread;
    };

    static std::string response(std::string const &body, std::string const &callNumber)
    {
        return "HTTP/1.1 200 OK\r\n" + (callNumber.empty() ? "" : "Call: " + callNumber + "\r\n")
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static absl::StatusOr<HttpResponse> get(HttpConnection &connection, Duration timeout = 60s,
                                            Duration transferTimeout = {})
    {
        auto const answered = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
        connection.call(
            HttpCall{.target = "/", .timeout = timeout, .transferTimeout = transferTimeout},
            [answered](absl::StatusOr<HttpResponse> const &result) { answered->set_value(result); });
        return valueOf(answered->get_future());
    }

    // Guards against a late second copy of a response that the next call takes for its own. The copy arrives
    // with the first one, before the next call, or during it; with and without a call number.
    void secondCopyOfResponseIsNotTakenForTheNext()
    {
        for (Duration const delay : {Duration(0ms), Duration(50ms), Duration(400ms)}) {
            for (bool const hasNumber : {true, false}) {
                ScriptedServer server([&](int number, std::string const &callNumber) {
                    std::string const text =
                        response("answer " + std::to_string(number), hasNumber ? callNumber : "");
                    return number == 1 ? std::vector<ScriptedServer::Part>{{.text = text}, {delay, text}}
                                       : std::vector<ScriptedServer::Part>{{.delay = 300ms, .text = text}};
                });
                RunningRuntime running;
                HttpConnection connection(running.runtime, fromAsio(server.acceptor.local_endpoint()));
                auto const first = get(connection);
                CPPUNIT_ASSERT(first.ok());
                CPPUNIT_ASSERT_EQUAL(std::string("answer 1"), first->body);
                std::this_thread::sleep_for(std::chrono::milliseconds(150));
                for (int attempt = 0; attempt < 3; ++attempt) {
                    auto const next = get(connection);
                    CPPUNIT_ASSERT(!next.ok() || next->body != "answer 1");
                }
                CPPUNIT_ASSERT(get(connection).ok());
                running.stop();
            }
        }
    }

    // Guards against a configuration that an entry with a slow link can't receive within the timeout of a
    // call, so that it goes from one control instance to the next and keeps its old configuration.
    void slowResponseIsReceivedWhileItArrives()
    {
        // The response takes longer than the timeout, and each of its bytes a small part of the timeout.
        constexpr Duration timeout = 3s;
        constexpr Duration perByte = 40ms;
        std::string const body(50, 'x');
        CPPUNIT_ASSERT(response(body, "").size() * perByte > timeout);
        ScriptedServer server([&](int, std::string const &callNumber) {
            std::vector<ScriptedServer::Part> parts;
            for (char const byte : response(body, callNumber))
                parts.push_back({.delay = perByte, .text = std::string(1, byte)});
            return parts;
        });
        RunningRuntime running;
        HttpConnection connection(running.runtime, fromAsio(server.acceptor.local_endpoint()));
        auto const received = get(connection, timeout, 60s);
        CPPUNIT_ASSERT_MESSAGE(std::string(received.status().message()), received.ok());
        CPPUNIT_ASSERT_EQUAL(body, received->body);
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(get(connection, timeout).status()));
        running.stop();
    }

    // Guards against a link that goes silent within a response and is kept until the limit of the whole call.
    void stalledResponseTimesOut()
    {
        ScriptedServer server([](int, std::string const &) {
            return std::vector<ScriptedServer::Part>{
                {.text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"}};
        });
        RunningRuntime running;
        HttpConnection connection(running.runtime, fromAsio(server.acceptor.local_endpoint()));
        Timestamp const start = IoRuntime::now();
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(get(connection, 50ms, 1h).status()));
        CPPUNIT_ASSERT(IoRuntime::now() - start < 10min);
        running.stop();
    }

    void listenerCheckDetectsRefusal()
    {
        RunningRuntime running;
        auto const stateOf = [&running](Endpoint endpoint) {
            auto const answered = std::make_shared<std::promise<ListenerState>>();
            checkListener(running.runtime, endpoint, 60s,
                          [answered](ListenerState state) { answered->set_value(state); });
            return valueOf(answered->get_future());
        };
        boost::asio::io_context context;
        auto acceptor = std::make_unique<tcp::acceptor>(context, toAsio<tcp>(anyLoopbackPort));
        Endpoint const endpoint = fromAsio(acceptor->local_endpoint());
        CPPUNIT_ASSERT(stateOf(endpoint) == ListenerState::Accepted);
        acceptor.reset();
        CPPUNIT_ASSERT(stateOf(endpoint) == ListenerState::Refused);
    }

    // Guards against a check that reports each of its tries. All tries begin within a millisecond.
    void repeatedListenerCheckHasOneResult()
    {
        RunningRuntime running;
        boost::asio::io_context context;
        auto acceptor = std::make_unique<tcp::acceptor>(context, toAsio<tcp>(anyLoopbackPort));
        Endpoint const endpoint = fromAsio(acceptor->local_endpoint());
        for (bool const isListening : {true, false}) {
            auto const first = std::make_shared<std::promise<ListenerState>>();
            auto const results = std::make_shared<std::atomic<int>>(0);
            checkListenerRepeatedly(running.runtime, endpoint,
                                    RepeatedCheck{.timeout = 1ms, .retryInterval = 100us},
                                    [first, results](ListenerState state) {
                                        if (++*results == 1)
                                            first->set_value(state);
                                    });
            // On a busy machine the time may be over before any try ends.
            ListenerState const state = valueOf(first->get_future());
            CPPUNIT_ASSERT(state != (isListening ? ListenerState::Refused : ListenerState::Accepted));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(1, results->load());
            acceptor.reset();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace almondwing
