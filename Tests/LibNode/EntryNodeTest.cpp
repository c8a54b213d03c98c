// Tests an entry between a caller and a target over loopback. Packets are texts.

#include "EntryFixture.h"

#include <LibFrontEnd/HttpServer.h>
#include <LibNode/ViewClient.h>

#include <absl/cleanup/cleanup.h>

namespace almondwing {

class EntryNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryNodeTest);
    CPPUNIT_TEST(packetsReachTargetThroughNewEntry);
    CPPUNIT_TEST(stoppingEntryIsNotReadyButForwards);
    CPPUNIT_TEST(stoppingEntryStaysWhilePacketsArrive);
    CPPUNIT_TEST(heartbeatForUndefinedServiceResetsNoFlow);
    CPPUNIT_TEST(undecodableDatagramsAreCounted);
    CPPUNIT_TEST(entryHasRevisionBeforeFirstConfiguration);
    CPPUNIT_TEST(entryFollowsControlInstanceThatAnnouncesItself);
    CPPUNIT_TEST(formerSourceSendsOnlyChanges);
    CPPUNIT_TEST(permitCountsFromTheRequest);
    CPPUNIT_TEST_SUITE_END();

    void packetsReachTargetThroughNewEntry()
    {
        EntryFixture entryFixture;
        std::uint32_t const token = tokenOf(TargetNumber{7}).value;
        Endpoint const first = freeEndpointOf<boost::asio::ip::udp>();
        entryFixture.startEntry(first, freeEndpoint());
        entryFixture.requireDelivered(first, "open 1 0", fmt::format("7:{}:open 1 0", token));
        Endpoint const second = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &other = entryFixture.startEntry(second, freeEndpoint());
        std::string const data = fmt::format("data 1 {}", token);
        entryFixture.requireDelivered(second, data, fmt::format("7:{}:{}", token, data));
        CPPUNIT_ASSERT(other.counters().forwarded > 0);
    }

    // Guards against an entry that waits for the control instances that its settings name, while another one
    // runs.
    void entryFollowsControlInstanceThatAnnouncesItself()
    {
        EntryFixture entryFixture;
        NodeFixture &nodeFixture = entryFixture.nodeFixture;
        Endpoint const readiness = freeEndpoint();
        EntryNode const &entry =
            entryFixture.openEntry(freeEndpointOf<boost::asio::ip::udp>(), readiness, {freeEndpoint()});
        CPPUNIT_ASSERT(!entry.isReady());
        auto const answered = std::make_shared<std::promise<bool>>();
        callHttp(nodeFixture.running.runtime,
                 HttpCall{.server = readiness,
                          .method = HttpMethod::Post,
                          .target = std::string(controlStartedPath),
                          .body = formatEndpoints(nodeFixture.seeds),
                          .timeout = hangLimit},
                 [answered](absl::StatusOr<HttpResponse> const &response) {
                     answered->set_value(response.ok() && response->isSuccess());
                 });
        CPPUNIT_ASSERT(valueOf(answered->get_future()));
        NodeFixture::waitUntil("the entry is ready", [&entry] { return entry.isReady(); });
    }

    void stoppingEntryIsNotReadyButForwards()
    {
        EntryFixture entryFixture;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode &entry = entryFixture.startEntry(packets, freeEndpoint());
        entry.beginStop(IoRuntime::now());
        CPPUNIT_ASSERT(!entry.isReady());
        entryFixture.requireDelivered(packets, "open 2 0",
                                      fmt::format("7:{}:open 2 0", tokenOf(TargetNumber{7}).value));
    }

    // Guards against packets that are lost when most entries of a failure domain stop within seconds, as in
    // two rolling restarts at the same time: the fabric then continues to send to all of them.
    void stoppingEntryStaysWhilePacketsArrive()
    {
        Timestamp const start{100s};
        EntryDrain drain{.begunAt = start, .lastPacketAt = start, .stopTimeout = 6s};
        CPPUNIT_ASSERT(!isDrainOver(drain, start + 2400ms));
        CPPUNIT_ASSERT(isDrainOver(drain, start + 2500ms));
        drain.lastPacketAt = start + 2400ms;
        CPPUNIT_ASSERT(!isDrainOver(drain, start + 2500ms));
        CPPUNIT_ASSERT(isDrainOver(drain, start + 3400ms));
        drain.lastPacketAt = start + 5400ms;
        CPPUNIT_ASSERT(!isDrainOver(drain, start + 5400ms));
        // The process exits before it is killed.
        CPPUNIT_ASSERT(isDrainOver(drain, start + 5500ms));
        // The jitter makes entries that are stopped together exit at different times.
        drain.jitter = 0.5;
        drain.lastPacketAt = start + 3900ms;
        CPPUNIT_ASSERT(!isDrainOver(drain, start + 3900ms));
        CPPUNIT_ASSERT(isDrainOver(drain, start + 4s));
        // With a short stop timeout, the entry exits after half of it.
        EntryDrain const brief{.begunAt = start, .lastPacketAt = start + 490ms, .stopTimeout = 1s};
        CPPUNIT_ASSERT(!isDrainOver(brief, start + 490ms));
        CPPUNIT_ASSERT(isDrainOver(brief, start + 500ms));
    }

    // Guards against resets of a living target's flows because of a heartbeat of another writer, which names
    // the target's endpoint and a service that the configuration does not define.
    void heartbeatForUndefinedServiceResetsNoFlow()
    {
        EntryFixture entryFixture;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &entry = entryFixture.startEntry(packets, freeEndpoint());
        RegisteredTarget foreign = foreignReport(8, RegisteredState::Ready);
        foreign.endpoint = entryFixture.testSocket->localEndpoint();
        entryFixture.nodeFixture.callUntilSuccess("/heartbeat", heartbeatOf(foreign));
        auto const tokenText = [](std::uint64_t number) { return tokenOf(TargetNumber{number}).value; };
        std::string const toForeign = fmt::format("data 1 {}", tokenText(8));
        entryFixture.requireDelivered(packets, toForeign, fmt::format("8:{}:{}", tokenText(8), toForeign));

        std::uint64_t const forwarded = entry.counters().forwarded;
        entryFixture.send(packets, fmt::format("data 2 {}", tokenText(7)));
        NodeFixture::waitUntil("the packet is handled", [&] {
            return entry.counters().forwarded > forwarded || entry.counters().reset > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.counters().reset);
    }

    void undecodableDatagramsAreCounted()
    {
        EntryFixture entryFixture;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode &entry = entryFixture.startEntry(packets, freeEndpoint());
        NodeFixture::waitUntil("the datagram is counted", [&] {
            entryFixture.testSocket->send(packets, "nonsense");
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return entry.counters().undecodable > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.counters().forwarded);
    }

    // Guards against an entry that polls without a pause while there is no configuration. It must store the
    // revision of the log nevertheless, because a request with an older revision is answered at once.
    void entryHasRevisionBeforeFirstConfiguration()
    {
        NodeFixture fixture(1);
        EntryNode entry(fixture.running.runtime,
                        NodeSettings{.instance = "entry",
                                     .failureDomain = "dar-a",
                                     .packets = freeEndpointOf<boost::asio::ip::udp>(),
                                     .readiness = freeEndpoint(),
                                     .seeds = fixture.seeds},
                        testPacketAdapter(), [](Event, std::string const &) {});
        CPPUNIT_ASSERT(entry.open().ok());
        entry.start();
        NodeFixture::waitUntil("the entry has the revision", [&] { return entry.freshness().revision > 0; });
        CPPUNIT_ASSERT(!entry.isReady());
        fixture.running.stop();
    }

    // Answers and refuses requests in turn. Its answers report flows at one target.
    struct FakeControlInstance
    {
        explicit FakeControlInstance(std::uint64_t bootNumber) : bootId(bootNumber) { }

        void handle(HttpRequest const &request, HttpResponder const &respond)
        {
            std::scoped_lock const lock(this->mutex);
            this->requests.push_back(*parseViewRequest(request.body));
            if (this->requests.size() % 2 == 0) {
                respond(HttpResponse{.status = 503});
                return;
            }
            ViewReply const reply{.bootId = this->bootId,
                                  .registryGeneration = this->bootId * 100,
                                  .isRegistryComplete = true,
                                  .isInContact = false,
                                  .activity = {TargetActivity{.token = this->token(), .flows = 8}}};
            respond(HttpResponse{.body = formatViewReply(reply, Timestamp{1h})});
        }

        TargetToken token() const { return TargetToken{static_cast<std::uint32_t>(this->bootId)}; }

        std::uint64_t const bootId;
        std::mutex mutex; // Guards requests.
        std::vector<ViewRequest> requests;
    };

    // Guards against an entry that is paused while the reply with its permit waits, and then uses the permit
    // although the leader that granted it may have been replaced.
    void permitCountsFromTheRequest()
    {
        std::mutex mutex; // Guards receivedAt.
        std::optional<Timestamp> receivedAt;
        std::promise<Timestamp> permittedUntil;
        std::atomic<bool> isPermitted = false;
        TokenBlackboard blackboard;
        RunningRuntime running;
        auto const opened = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&](HttpRequest const &, HttpResponder const &respond) {
                std::scoped_lock const lock(mutex);
                if (!receivedAt)
                    receivedAt = IoRuntime::now();
                ViewReply const reply{.bootId = 1, .isInContact = true, .hasColdPermit = true};
                std::string const body = formatViewReply(reply, Timestamp{1h});
                running.runtime.runAfter(200ms, [respond, body] { respond(HttpResponse{.body = body}); });
            }});
        CPPUNIT_ASSERT(opened.ok());
        ViewClient client(running.runtime,
                          NodeSettings{.instance = "entry",
                                       .failureDomain = "dar-a",
                                       .seeds = {(*opened)->localEndpoint()}},
                          blackboard,
                          ViewClientHooks{.viewChanged = [] {},
                                          .permitColdFlows =
                                              [&](Timestamp until) {
                                                  if (!isPermitted.exchange(true))
                                                      permittedUntil.set_value(until);
                                              },
                                          .activity = [] { return std::vector<TargetActivity>{}; },
                                          .report = [](Event, std::string const &) {}});
        absl::Cleanup const stop = [&running] { running.stop(); };
        client.start();
        Timestamp const until = valueOf(permittedUntil.get_future());
        std::scoped_lock const lock(mutex);
        CPPUNIT_ASSERT(until <= *receivedAt + 1s);
    }

    // Guards against an entry that requests all targets each time it switches between busy instances.
    void formerSourceSendsOnlyChanges()
    {
        FakeControlInstance first(1);
        FakeControlInstance second(2);
        TokenBlackboard blackboard;
        RunningRuntime running;
        std::vector<std::shared_ptr<HttpServer>> servers;
        std::vector<Endpoint> seeds;
        for (FakeControlInstance *source : {&first, &second}) {
            auto const opened = HttpServer::open(
                running.runtime, anyLoopbackPort,
                HttpServerHooks{.handle = [source](HttpRequest const &request, HttpResponder const &respond) {
                    source->handle(request, respond);
                }});
            CPPUNIT_ASSERT(opened.ok());
            servers.push_back(*opened);
            seeds.push_back((*opened)->localEndpoint());
        }
        ViewClient client(running.runtime,
                          NodeSettings{.instance = "entry", .failureDomain = "dar-a", .seeds = seeds},
                          blackboard,
                          ViewClientHooks{.viewChanged = [] {},
                                          .permitColdFlows = [](Timestamp) {},
                                          .activity = [] { return std::vector<TargetActivity>{}; },
                                          .report = [](Event, std::string const &) {}});
        absl::Cleanup const stop = [&running] { running.stop(); };
        client.start();
        for (FakeControlInstance *source : {&first, &second}) {
            // An answered request, a refused one, and the first one after the switch back.
            NodeFixture::waitUntil("the entry switches back", [source] {
                std::scoped_lock const lock(source->mutex);
                return source->requests.size() >= 3;
            });
            std::scoped_lock const lock(source->mutex);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, source->requests[0].bootId);
            CPPUNIT_ASSERT_EQUAL(source->bootId, source->requests[2].bootId);
            CPPUNIT_ASSERT_EQUAL(source->bootId * 100, source->requests[2].registryGeneration);
            CPPUNIT_ASSERT(source->requests[0].isNewSource && source->requests[2].isNewSource);
            CPPUNIT_ASSERT(!source->requests[1].isNewSource);
            CPPUNIT_ASSERT(source->requests[2].activity.has_value());
        }
        NodeFixture::waitUntil("only the flows reported by the current source count", [&] {
            return blackboard.healthOf(first.token()).remoteFlows
                + blackboard.healthOf(second.token()).remoteFlows
                == 8;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryNodeTest);

} // namespace almondwing
