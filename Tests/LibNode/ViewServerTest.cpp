// Tests when and with what waiting requests of entries are answered. Time is passed as an argument, so no
// threads run.

#include <LibFrontEnd/IoRuntime.h>
#include <LibNode/ViewServer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace almondwing {

class ViewServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewServerTest);
    CPPUNIT_TEST(changesInQuickSuccessionAreCombined);
    CPPUNIT_TEST(fewEntriesAreAnsweredWithoutPause);
    CPPUNIT_TEST(stopAnswersAllRequests);
    CPPUNIT_TEST(returningEntryIsAnsweredAtOnce);
    CPPUNIT_TEST(returningEntryReceivesAllFlows);
    CPPUNIT_TEST(manyTargetsAreSentInParts);
    CPPUNIT_TEST(outdatedEncodedChangesAreNotSent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};
    static constexpr std::uint64_t bootId = 7;

    // Sends a request of each entry, all of which have the current registry.
    void sendRequests(std::size_t entries, Timestamp now)
    {
        for (std::size_t index = 0; index < entries; ++index)
            this->viewServer.handle(
                ViewRequest{.instance = "entry-" + std::to_string(index),
                            .failureDomain = "dar-a",
                            .bootId = bootId,
                            .registryGeneration = this->registry.changeGeneration()},
                [this](HttpResponse const &) { ++this->answers; }, now);
    }

    void addTarget(Timestamp now)
    {
        ++this->targets;
        this->registry.merge(RegisteredTarget{.number = TargetNumber{this->targets},
                                              .service = "orders",
                                              .failureDomain = "dar-a",
                                              .endpoint = Endpoint{.address = 1, .port = this->targets},
                                              .reportVersion = {.startUnixMilliseconds = 1, .sequence = 1},
                                              .lastSeenAt = now},
                             now);
        this->viewServer.answerDue(now);
    }

    // Guards against an answer to every entry for each of many targets that start together. This kept control
    // instances with 75 entries from answering heartbeats in time.
    void changesInQuickSuccessionAreCombined()
    {
        this->sendRequests(75, start);
        this->addTarget(start);
        CPPUNIT_ASSERT_EQUAL(75, this->answers);
        this->sendRequests(75, start + 1ms);
        this->addTarget(start + 2ms);
        this->addTarget(start + 3ms);
        CPPUNIT_ASSERT_EQUAL(75, this->answers);
        this->viewServer.answerDue(start + 76ms);
        CPPUNIT_ASSERT_EQUAL(150, this->answers);
    }

    void fewEntriesAreAnsweredWithoutPause()
    {
        this->sendRequests(16, start);
        this->addTarget(start);
        this->sendRequests(16, start + 1ms);
        this->addTarget(start + 1ms);
        CPPUNIT_ASSERT_EQUAL(32, this->answers);
    }

    void stopAnswersAllRequests()
    {
        this->sendRequests(75, start);
        this->addTarget(start);
        this->sendRequests(75, start + 1ms);
        this->viewServer.answerAll(start + 2ms);
        CPPUNIT_ASSERT_EQUAL(150, this->answers);
    }

    ViewReply requestView(ViewRequest const &request, Timestamp now)
    {
        std::string body;
        this->viewServer.handle(
            request, [&body](HttpResponse const &response) { body = response.body; }, now);
        auto const reply = parseViewReply(body, now);
        CPPUNIT_ASSERT(reply.ok());
        return *reply;
    }

    // Guards against an entry that has lost its control instance and waits until the next one has a change.
    void returningEntryIsAnsweredAtOnce()
    {
        this->addTarget(start);
        ViewReply const reply =
            this->requestView(ViewRequest{.instance = "entry",
                                          .failureDomain = "dar-a",
                                          .bootId = bootId,
                                          .registryGeneration = this->registry.changeGeneration(),
                                          .isNewSource = true},
                              start);
        CPPUNIT_ASSERT(reply.extent == RegistryExtent::Delta && reply.targets.empty());
    }

    // Guards against an entry that discarded the flows of other entries when it switched to another instance,
    // and receives only changes after it switches back.
    void returningEntryReceivesAllFlows()
    {
        this->addTarget(start);
        ViewRequest request{.instance = "entry",
                            .failureDomain = "dar-a",
                            .bootId = bootId,
                            .registryGeneration = this->registry.changeGeneration(),
                            .isNewSource = true,
                            .activity = std::vector<TargetActivity>{}};
        ViewRequest other = request;
        other.instance = "other";
        other.activity = {TargetActivity{.token = tokenOf(TargetNumber{1}), .flows = 50}};
        this->requestView(other, start);
        this->viewServer.refresh(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requestView(request, start).activity.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requestView(request, start).activity.size());
        request.isNewSource = false;
        request.registryGeneration = 0; // So that it is answered at once.
        CPPUNIT_ASSERT(this->requestView(request, start).activity.empty());
    }

    // Guards against answers so long that they time out, so that entries request all targets from the next
    // instance and keep all instances busy. This occurred with 3,002 targets and 75 entries.
    void manyTargetsAreSentInParts()
    {
        constexpr std::uint16_t targetCount = 1200;
        Timestamp const later = start + 10s;
        while (this->targets < targetCount)
            this->addTarget(later);
        // A target at the address of another one ends that one.
        this->registry.merge(
            RegisteredTarget{.number = TargetNumber{9999},
                             .service = "orders",
                             .failureDomain = "dar-a",
                             .endpoint = Endpoint{.address = 1, .port = 1},
                             .reportVersion = ReportVersion{.startUnixMilliseconds = 2, .sequence = 1},
                             .lastSeenAt = later},
            later);
        std::map<TargetNumber, RegisteredState> received;
        ViewRequest request{.instance = "entry", .failureDomain = "dar-a"};
        for (int parts = 0; request.registryGeneration < this->registry.changeGeneration(); ++parts) {
            CPPUNIT_ASSERT(parts < 10);
            ViewReply const reply = this->requestView(request, later);
            CPPUNIT_ASSERT(reply.targets.size() <= ViewServerSettings{}.maxTargetsPerReply);
            CPPUNIT_ASSERT((reply.extent == RegistryExtent::Full) == (parts == 0));
            for (RegisteredTarget const &target : reply.targets)
                received[target.number] = target.state;
            request.bootId = reply.bootId;
            request.registryGeneration = reply.registryGeneration;
            CPPUNIT_ASSERT_EQUAL(reply.registryGeneration == this->registry.changeGeneration(),
                                 reply.isRegistryComplete);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{targetCount + 1}, received.size());
        CPPUNIT_ASSERT(received.at(TargetNumber{1}) == RegisteredState::Gone);
        CPPUNIT_ASSERT(received.at(TargetNumber{9999}) == RegisteredState::Ready);
    }

    // Guards against encoded changes, cached for the answer to another entry, that lack later changes.
    void outdatedEncodedChangesAreNotSent()
    {
        this->addTarget(start);
        ViewRequest const fullRequest{.instance = "entry", .failureDomain = "dar-a"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requestView(fullRequest, start).targets.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requestView(fullRequest, start).targets.size());
        this->addTarget(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->requestView(fullRequest, start).targets.size());
    }

    int answers = 0;
    std::uint16_t targets = 0;
    IoRuntime runtime;
    DocumentLog log{runtime, ReplicatedLogSettings{}, DocumentLogHooks{}};
    TargetRegistry registry{RegistrySettings{}};
    PeerDirectory directory;
    ActivityBlackboard activity;
    ViewServer viewServer{ViewServerSettings{.bootId = bootId, .startedAt = start}, log, registry, directory,
                          activity};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewServerTest);

} // namespace almondwing
