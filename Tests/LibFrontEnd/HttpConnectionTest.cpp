// Tests of kept connections and of checks of listeners, over loopback.

#include <LibFrontEnd/IoContext.h>

#include "RunningRuntime.h"

#include <LibFrontEnd/HttpConnection.h>
#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/ListenerCheck.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondwing {

namespace {

using boost::asio::ip::tcp;

absl::StatusOr<HttpResponse> callOnce(HttpConnection &link, std::string const &body, Duration timeout = 60s)
{
    auto const answered = std::make_shared<std::promise<absl::StatusOr<HttpResponse>>>();
    link.call(HttpCall{.method = HttpMethod::Post, .target = "/", .body = body, .timeout = timeout},
              [answered](absl::StatusOr<HttpResponse> const &response) { answered->set_value(response); });
    return valueOf(answered->get_future());
}

} // namespace

class HttpConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(callsShareOneConnectionAndKeepTheirOrder);
    CPPUNIT_TEST(silentServerTimesOutAndTheNextCallConnectsAnew);
    CPPUNIT_TEST(unreachableServerIsUnavailable);
    CPPUNIT_TEST(waitingCallsAreBounded);
    CPPUNIT_TEST(listenerIsAcceptedOrRefused);
    CPPUNIT_TEST_SUITE_END();

    void callsShareOneConnectionAndKeepTheirOrder()
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
        HttpConnection link(running.runtime, (*server)->localEndpoint());
        std::vector<std::future<std::string>> answers;
        for (int index = 0; index < 20; ++index) {
            auto const answered = std::make_shared<std::promise<std::string>>();
            answers.push_back(answered->get_future());
            link.call(
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

    // A connection that has gone silent while new ones work.
    void silentServerTimesOutAndTheNextCallConnectsAnew()
    {
        std::mutex mutex; // Guards unanswered, which keeps the silent connection open.
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
        HttpConnection link(running.runtime, (*server)->localEndpoint());
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(callOnce(link, "first", 50ms).status()));
        auto const second = callOnce(link, "second");
        CPPUNIT_ASSERT(second.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), second->body);
        running.stop();
        unanswered.clear(); // They hold connections of the runtime.
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
        HttpConnection link(running.runtime, closed);
        CPPUNIT_ASSERT(absl::IsUnavailable(callOnce(link, "body").status()));
    }

    void waitingCallsAreBounded()
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
        HttpConnection link(running.runtime, (*server)->localEndpoint());
        for (std::size_t index = 0; index < HttpConnection::maxPendingCalls + 5; ++index)
            link.call(HttpCall{.target = "/", .timeout = 60s},
                      [&refused](absl::StatusOr<HttpResponse> const &response) {
                          refused += absl::IsResourceExhausted(response.status()) ? 1 : 0;
                      });
        CPPUNIT_ASSERT_EQUAL(5, refused.load());
        running.stop();
        unanswered.clear(); // They hold connections of the runtime.
    }

    void listenerIsAcceptedOrRefused()
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace almondwing
