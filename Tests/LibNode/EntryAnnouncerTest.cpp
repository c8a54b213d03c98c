// Tests that a starting control instance calls the entries that have followed it.

#include "NodeFixture.h"

#include <LibFrontEnd/HttpServer.h>
#include <LibNode/EntryAnnouncer.h>

namespace almondwing {

class EntryAnnouncerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryAnnouncerTest);
    CPPUNIT_TEST(endpointsRoundTrip);
    CPPUNIT_TEST(knownEntriesAreCalledAfterStart);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Endpoint self{.address = 0x0a010001, .port = 8166};

    TestFolder folder;

    EntryAnnouncerSettings settings() const
    {
        return EntryAnnouncerSettings{.self = self,
                                      .folder = this->folder.path + "/entries",
                                      .announceInterval = 10ms,
                                      .announcePeriod = 1h,
                                      .callTimeout = hangLimit,
                                      .saveInterval = 1ms};
    }

    void endpointsRoundTrip()
    {
        std::vector<Endpoint> const endpoints{self, Endpoint{.address = 0x7f000001, .port = 1}};
        CPPUNIT_ASSERT(parseEndpoints(formatEndpoints(endpoints)) == endpoints);
        CPPUNIT_ASSERT(parseEndpoints("10.1.0.1:8166\nhalf a li") == std::vector{self});
    }

    // Guards against entries that wait for the seeds of their settings while another control instance runs.
    void knownEntriesAreCalledAfterStart()
    {
        std::atomic<int> calls{0};
        Cell<std::string> body;
        RunningRuntime running;
        auto const entry = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&](HttpRequest const &request, HttpResponder const &respond) {
                body.update([&request](auto const &) { return request.body; });
                // The first call is lost, for example because the entry has only just started.
                respond(HttpResponse{.status = ++calls == 1 ? 503U : 200U, .body = "{}"});
            }});
        CPPUNIT_ASSERT(entry.ok());
        auto const ignoreEvents = [](Event, std::string const &) {};
        EntryAnnouncer former(running.runtime, this->settings(), ignoreEvents);
        former.start();
        former.note((*entry)->localEndpoint());
        NodeFixture::waitUntil("the entry is stored", [&] {
            former.saveIfDue(IoRuntime::now());
            return std::filesystem::exists(this->folder.path + "/entries/entries");
        });
        CPPUNIT_ASSERT_EQUAL(0, calls.load());

        EntryAnnouncer next(running.runtime, this->settings(), ignoreEvents);
        next.start();
        NodeFixture::waitUntil("the entry is called", [&] { return calls == 2; });
        CPPUNIT_ASSERT(parseEndpoints(*body.read()) == std::vector{self});
        running.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryAnnouncerTest);

} // namespace almondwing
