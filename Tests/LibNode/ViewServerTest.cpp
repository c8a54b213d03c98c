// Tests of when entries that wait for a change are answered. Time is an argument, so nothing runs beside it.

#include <LibFrontEnd/IoRuntime.h>
#include <LibNode/ViewServer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace almondwing {

class ViewServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewServerTest);
    CPPUNIT_TEST(changesThatFollowEachOtherAreToldTogether);
    CPPUNIT_TEST(fewEntriesAreAnsweredAtOnce);
    CPPUNIT_TEST(stopAnswersAll);
    CPPUNIT_TEST(entryThatComesBackIsAnsweredAtOnce);
    CPPUNIT_TEST(entryThatComesBackIsToldAllFlowsAgain);
    CPPUNIT_TEST(manyTargetsAreToldInParts);
    CPPUNIT_TEST(changeIsToldThoughAPartIsKept);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};
    static constexpr std::uint64_t bootId = 7;

    // An entry that knows all until now asks again.
    void ask(std::size_t entries, Timestamp now)
    {
        for (std::size_t index = 0; index < entries; ++index)
            this->views.handle(
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
                                              .heardAt = now},
                             now);
        this->views.answerDue(now);
    }

    // Guards against answers to all entries for each of many targets that start together, which kept control
    // instances with 75 entries from answering heartbeats in time.
    void changesThatFollowEachOtherAreToldTogether()
    {
        this->ask(75, start);
        this->addTarget(start);
        CPPUNIT_ASSERT_EQUAL(75, this->answers);
        this->ask(75, start + 1ms);
        this->addTarget(start + 2ms);
        this->addTarget(start + 3ms);
        CPPUNIT_ASSERT_EQUAL(75, this->answers);
        this->views.answerDue(start + 76ms);
        CPPUNIT_ASSERT_EQUAL(150, this->answers);
    }

    void fewEntriesAreAnsweredAtOnce()
    {
        this->ask(16, start);
        this->addTarget(start);
        this->ask(16, start + 1ms);
        this->addTarget(start + 1ms);
        CPPUNIT_ASSERT_EQUAL(32, this->answers);
    }

    void stopAnswersAll()
    {
        this->ask(75, start);
        this->addTarget(start);
        this->ask(75, start + 1ms);
        this->views.answerAll(start + 2ms);
        CPPUNIT_ASSERT_EQUAL(150, this->answers);
    }

    ViewReply replyTo(ViewRequest const &request, Timestamp now)
    {
        std::string body;
        this->views.handle(
            request, [&body](HttpResponse const &response) { body = response.body; }, now);
        auto const reply = parseViewReply(body, now);
        CPPUNIT_ASSERT(reply.ok());
        return *reply;
    }

    // Guards against an entry that has lost its instance and waits for the next one to have news.
    void entryThatComesBackIsAnsweredAtOnce()
    {
        this->addTarget(start);
        ViewReply const reply =
            this->replyTo(ViewRequest{.instance = "entry",
                                      .failureDomain = "dar-a",
                                      .bootId = bootId,
                                      .registryGeneration = this->registry.changeGeneration(),
                                      .isNewSource = true},
                          start);
        CPPUNIT_ASSERT(reply.extent == RegistryExtent::Delta && reply.targets.empty());
    }

    // Guards against an entry that has forgotten the flows of others, as it followed another instance, and
    // is told only what is new.
    void entryThatComesBackIsToldAllFlowsAgain()
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
        this->replyTo(other, start);
        this->views.refresh(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->replyTo(request, start).activity.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->replyTo(request, start).activity.size());
        request.isNewSource = false;
        request.registryGeneration = 0; // So that it is answered at once.
        CPPUNIT_ASSERT(this->replyTo(request, start).activity.empty());
    }

    // Guards against answers so long that entries give up waiting for them, ask the next instance for all
    // targets again, and keep all instances busy with that: seen with 3,002 targets and 75 entries.
    void manyTargetsAreToldInParts()
    {
        constexpr std::uint16_t targetCount = 1200;
        Timestamp const later = start + 10s;
        while (this->targets < targetCount)
            this->addTarget(later);
        // A target at the address of another ends that one.
        this->registry.merge(RegisteredTarget{.number = TargetNumber{9999},
                                              .service = "orders",
                                              .failureDomain = "dar-a",
                                              .endpoint = Endpoint{.address = 1, .port = 1},
                                              .order = ReportOrder{.bornMilliseconds = 1},
                                              .heardAt = later},
                             later);
        std::map<TargetNumber, RegisteredState> told;
        ViewRequest request{.instance = "entry", .failureDomain = "dar-a"};
        for (int parts = 0; request.registryGeneration < this->registry.changeGeneration(); ++parts) {
            CPPUNIT_ASSERT(parts < 10);
            ViewReply const reply = this->replyTo(request, later);
            CPPUNIT_ASSERT(reply.targets.size() <= ViewServerSettings{}.maxTargetsPerReply);
            CPPUNIT_ASSERT((reply.extent == RegistryExtent::Full) == (parts == 0));
            for (RegisteredTarget const &target : reply.targets)
                told[target.number] = target.state;
            request.bootId = reply.bootId;
            request.registryGeneration = reply.registryGeneration;
            CPPUNIT_ASSERT_EQUAL(reply.registryGeneration == this->registry.changeGeneration(),
                                 reply.isComplete);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{targetCount + 1}, told.size());
        CPPUNIT_ASSERT(told.at(TargetNumber{1}) == RegisteredState::Gone);
        CPPUNIT_ASSERT(told.at(TargetNumber{9999}) == RegisteredState::Ready);
    }

    // Guards against a part kept from the answer to another entry that lacks what has changed since.
    void changeIsToldThoughAPartIsKept()
    {
        this->addTarget(start);
        ViewRequest const fromTheBeginning{.instance = "entry", .failureDomain = "dar-a"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->replyTo(fromTheBeginning, start).targets.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->replyTo(fromTheBeginning, start).targets.size());
        this->addTarget(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->replyTo(fromTheBeginning, start).targets.size());
    }

    int answers = 0;
    std::uint16_t targets = 0;
    IoRuntime runtime;
    DocumentLog log{runtime, ReplicatedLogSettings{}, DocumentLogHooks{}};
    TargetRegistry registry{RegistrySettings{}};
    PeerDirectory directory;
    ActivityBoard activity;
    ViewServer views{ViewServerSettings{.bootId = bootId, .startedAt = start}, log, registry, directory,
                     activity};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewServerTest);

} // namespace almondwing
