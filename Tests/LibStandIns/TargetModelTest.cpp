// Tests of the target stand-in without sockets, in simulated time.

#include "SimulatedLoop.h"

#include <LibStandIns/TargetModel.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Endpoint dispatcher{.address = 0x7f000001, .port = 1};

TargetModelSettings settings()
{
    TargetModelSettings result;
    result.name = "cab-1";
    result.service = "cab-link";
    result.connections = 3;
    return result;
}

// A target in simulated time that records the messages that it sent and the tries that it started.
struct TargetFixture
{
    explicit TargetFixture(TargetModelSettings const &targetSettings = settings())
        : model(targetSettings, 1, loop.now(),
                {.send =
                     [this](Endpoint, TargetMessage const &message) {
                         this->sent.push_back(message);
                         auto const *const part = std::get_if<AnswerPart>(&message);
                         if (part != nullptr && part->position == PartPosition::Last)
                             this->runningAtLastPart = this->statistic("running");
                     },
                 .schedule =
                     [this](Duration delay, std::function<void()> action) {
                         this->loop.schedule(delay, std::move(action));
                     },
                 .recordStart = [this](RunRequest const &run) { this->started.push_back(run.tryId); },
                 .now = [this] { return this->loop.now(); }})
    {
    }

    void handle(TargetCommand const &command) { this->model.handle(this->loop.now(), dispatcher, command); }

    bool control(std::string_view query)
    {
        auto const request = HttpRequest::parse(std::string("/control?") + std::string(query), "");
        return this->model.control(this->loop.now(), request.query).status == 200;
    }

    template<typename Message>
    std::size_t sentCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->sent, [](auto const &message) { return std::holds_alternative<Message>(message); }));
    }

    std::uint64_t statistic(char const *name) const
    {
        return nlohmann::json::parse(this->model.statistics(this->loop.now())).at(name).get<std::uint64_t>();
    }

    double reportedLoad() const
    {
        return nlohmann::json::parse(this->model.load(this->loop.now())->body).at("load").get<double>();
    }

    SimulatedLoop loop;
    std::vector<TargetMessage> sent;
    std::vector<std::uint64_t> started;
    std::optional<std::uint64_t> runningAtLastPart;
    TargetModel model;
};

RunRequest run(std::uint64_t tryId, std::string payload = "sleep=100 size=2500")
{
    return {.key = {.service = ServiceId::fromName("cab-link"), .caller = 1, .number = tryId},
            .tryId = tryId,
            .requestClass = RequestClass::Interactive,
            .idempotency = Idempotency::NonIdempotent,
            .timeLeft = 5s,
            .payload = std::move(payload)};
}

CancelRequest cancel(std::uint64_t tryId)
{
    return {.key = run(tryId).key, .tryId = tryId};
}

FlowKey flow(std::uint64_t number)
{
    return {.service = ServiceId::fromName("cab-link"), .flow = number};
}

} // namespace

class TargetModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetModelTest);
    CPPUNIT_TEST(repeatedTryRunsOnce);
    CPPUNIT_TEST(fullTargetSheds);
    CPPUNIT_TEST(cancellationPreventsOrEndsARun);
    CPPUNIT_TEST(deadlineIsHonoured);
    CPPUNIT_TEST(lostPartsAreSentAgain);
    CPPUNIT_TEST(longAnswerHoldsItsSlot);
    CPPUNIT_TEST(coldTargetSlowsDownWhenOverfilled);
    CPPUNIT_TEST(flowsAreOpenedOnceAndLimited);
    CPPUNIT_TEST(forgottenFlowsBreakAndSilentFlowsGetNoReply);
    CPPUNIT_TEST(restartForgetsEverything);
    CPPUNIT_TEST(frozenTargetDoesNothing);
    CPPUNIT_TEST(violationsAreCounted);
    CPPUNIT_TEST(reportsCanBeFalseAndDelayed);
    CPPUNIT_TEST(malformedControlParametersAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a stand-in that runs a try more than once, which would hide or imitate a violation of
    // the at-most-once guarantee by the load balancer.
    void repeatedTryRunsOnce()
    {
        TargetFixture fixture;
        fixture.handle(run(1));
        fixture.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sentCount<RequestStarted>());
        fixture.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.sentCount<AnswerPart>());
        fixture.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT(fixture.started == std::vector<std::uint64_t>{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
    }

    // Guards against a target that accepts more load than its slots, which would hide missing admission
    // control.
    void fullTargetSheds()
    {
        TargetFixture fixture;
        for (std::uint64_t tryId = 1; tryId <= 3; ++tryId)
            fixture.handle(run(tryId));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<Shed>());
        fixture.handle(run(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sentCount<Shed>());
        fixture.loop.runFor(1s);
        // A try that was shed must stay shed, because the dispatcher may have reported it as not run.
        fixture.handle(run(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.sentCount<Shed>());
        CPPUNIT_ASSERT(fixture.started == (std::vector<std::uint64_t>{1, 2}));
        CPPUNIT_ASSERT(fixture.control("shed=on"));
        fixture.handle(run(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.sentCount<Shed>());
    }

    // Guards against a cancelled request that runs because the cancellation and the run request were
    // reordered.
    void cancellationPreventsOrEndsARun()
    {
        TargetFixture fixture;
        fixture.handle(cancel(1));
        fixture.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sentCount<Shed>());
        fixture.handle(run(2));
        fixture.handle(cancel(2));
        fixture.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("runsCancelled"));
        CPPUNIT_ASSERT(fixture.started == std::vector<std::uint64_t>{2});
        // RunEnded is sent again, so that the dispatcher frees the slot even if the first one is lost.
        fixture.handle(cancel(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.sentCount<RunEnded>());
    }

    // Guards against runs of requests whose deadline has passed.
    void deadlineIsHonoured()
    {
        TargetFixture fixture;
        RunRequest late = run(1);
        late.timeLeft = Duration{};
        fixture.handle(late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<Shed>());
        RunRequest tooLong = run(2, "sleep=9000");
        fixture.handle(tooLong);
        fixture.loop.runFor(6s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("runsExpired"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<RunEnded>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sentCount<AnswerPart>());
    }

    // Guards against an answer that stays incomplete after one lost packet.
    void lostPartsAreSentAgain()
    {
        TargetFixture fixture;
        fixture.handle(run(1));
        fixture.handle(ResendParts{.key = run(1).key, .tryId = 1, .parts = {0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sentCount<AnswerPart>());
        fixture.loop.runFor(1s);
        fixture.sent.clear();
        fixture.handle(ResendParts{.key = run(1).key, .tryId = 1, .parts = {2, 7}});
        fixture.handle(ResendParts{.key = run(2).key, .tryId = 1, .parts = {0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent.size());
        CPPUNIT_ASSERT(std::get<AnswerPart>(fixture.sent[0]) == makeAnswerPart(run(1).key, 1, 2500, 2));
    }

    // Guards against a slot that is freed before the last burst of a long answer, and against a slot that is
    // still in use when the last part is sent.
    void longAnswerHoldsItsSlot()
    {
        TargetFixture fixture;
        fixture.handle(run(1, "sleep=10 size=100000"));
        fixture.loop.runFor(12ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("running"));
        fixture.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        // The slot must be free for a run that the dispatcher sends as soon as it receives the last part.
        CPPUNIT_ASSERT(fixture.runningAtLastPart == std::optional<std::uint64_t>{0});
    }

    // Guards against a cold target that does not slow down under load, which would hide a missing ramp.
    void coldTargetSlowsDownWhenOverfilled()
    {
        TargetModelSettings cold = settings();
        cold.coldDuration = 10s;
        TargetFixture fixture(cold);
        fixture.handle(run(1, "sleep=100"));
        fixture.handle(run(2, "sleep=100"));
        fixture.loop.runFor(150ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("overfilledWhileCold"));
        fixture.loop.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        fixture.loop.runFor(10s);
        fixture.handle(run(3, "sleep=100"));
        fixture.handle(run(4, "sleep=100"));
        fixture.loop.runFor(150ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        CPPUNIT_ASSERT(fixture.control("cold-ms=1000"));
        fixture.handle(run(5));
        fixture.handle(run(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fixture.statistic("overfilledWhileCold"));
    }

    // Guards against duplicated packets that take up several connections.
    void flowsAreOpenedOnceAndLimited()
    {
        TargetFixture fixture;
        for (std::uint64_t const number : {1U, 1U, 2U, 3U, 4U})
            fixture.handle(OpenFlow{.key = flow(number), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.sentCount<FlowAccepted>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<FlowRefused>());
        fixture.handle(CloseFlow{.key = flow(1)});
        fixture.handle(CloseFlow{.key = flow(1)});
        fixture.handle(OpenFlow{.key = flow(4), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fixture.sentCount<FlowAccepted>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fixture.statistic("openFlows"));
        fixture.sent.clear();
        fixture.model.sendNotices(fixture.loop.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.sentCount<FlowData>());
    }

    // Guards against a stand-in that can't simulate broken and silent flows.
    void forgottenFlowsBreakAndSilentFlowsGetNoReply()
    {
        TargetFixture fixture;
        FlowData const data{.key = flow(1), .payload = "x"};
        fixture.handle(data);
        CPPUNIT_ASSERT(fixture.sent.back()
                       == TargetMessage(FlowBroken{.key = flow(1), .reason = Reason::UnknownFlow}));
        fixture.handle(OpenFlow{.key = flow(1), .payload = {}});
        fixture.handle(data);
        CPPUNIT_ASSERT(fixture.sent.back() == TargetMessage(data));
        CPPUNIT_ASSERT(fixture.control("silence-flows=1"));
        fixture.sent.clear();
        fixture.handle(data);
        fixture.handle(OpenFlow{.key = flow(1), .payload = {}});
        CPPUNIT_ASSERT(fixture.sent.empty());
        fixture.handle(OpenFlow{.key = flow(2), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<FlowAccepted>());
        CPPUNIT_ASSERT(fixture.control("forget-flows=2"));
        fixture.handle(data);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sentCount<FlowBroken>());
    }

    // Guards against a restarted target that still replies on behalf of the previous process.
    void restartForgetsEverything()
    {
        TargetFixture fixture;
        fixture.handle(OpenFlow{.key = flow(1), .payload = {}});
        fixture.handle(run(1));
        CPPUNIT_ASSERT(fixture.control("restart=77"));
        fixture.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.statistic("openFlows"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, fixture.model.announcement().startMark);
    }

    // Guards against a frozen target that still replies, so that failure detection by timeout is not tested.
    void frozenTargetDoesNothing()
    {
        TargetFixture fixture;
        fixture.handle(run(1));
        CPPUNIT_ASSERT(fixture.control("freeze-ms=2000"));
        fixture.sent.clear();
        fixture.handle(run(2));
        fixture.loop.runFor(1900ms);
        CPPUNIT_ASSERT(fixture.sent.empty());
        CPPUNIT_ASSERT(!fixture.model.health(fixture.loop.now()).has_value());
        CPPUNIT_ASSERT(!fixture.model.load(fixture.loop.now()).has_value());
        fixture.loop.runFor(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.sentCount<AnswerPart>());
        CPPUNIT_ASSERT(fixture.model.health(fixture.loop.now()).has_value());
    }

    // Guards against violations that tests can't detect: packets of another service, packets to a failure
    // domain that is out of service, and new work on a target that is leaving.
    void violationsAreCounted()
    {
        TargetFixture fixture;
        fixture.handle(OpenFlow{.key = {.service = ServiceId::fromName("other"), .flow = 1}, .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.statistic("foreignPackets"));
        CPPUNIT_ASSERT(fixture.sent.empty());
        CPPUNIT_ASSERT(fixture.control("state=leaving"));
        CPPUNIT_ASSERT(fixture.model.announcement().state == AnnouncedState::Leaving);
        fixture.loop.runFor(4s);
        fixture.handle(OpenFlow{.key = flow(1), .payload = {}});
        fixture.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fixture.statistic("workWhileLeaving"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, fixture.statistic("lastWorkAfterLeavingMs"));
        fixture.loop.runFor(7s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fixture.statistic("packets"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7000}, fixture.statistic("msSinceLastPacket"));
    }

    // Guards against reports that are always correct, which would hide a load balancer that relies on them
    // alone.
    void reportsCanBeFalseAndDelayed()
    {
        TargetFixture fixture;
        fixture.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(0.5, fixture.reportedLoad());
        fixture.loop.runFor(10s);
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.reportedLoad());
        CPPUNIT_ASSERT(fixture.control("report-lag-ms=9950"));
        CPPUNIT_ASSERT_EQUAL(0.5, fixture.reportedLoad());
        CPPUNIT_ASSERT(fixture.control("load=0.1"));
        CPPUNIT_ASSERT_EQUAL(0.1, fixture.reportedLoad());
        CPPUNIT_ASSERT(fixture.control("reports=unhealthy"));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.model.health(fixture.loop.now())->status);
        CPPUNIT_ASSERT(fixture.control("reports=none"));
        CPPUNIT_ASSERT(!fixture.model.health(fixture.loop.now()).has_value());
    }

    // Guards against a misspelt control parameter that is accepted although it has no effect.
    void malformedControlParametersAreRefused()
    {
        TargetFixture fixture;
        for (auto const *const query :
             {"drain=1", "state=", "state=gone", "shed=1", "cold-ms=x",
              "freeze-ms=", "load=", "reports=maybe", "restart=", "forget-flows=-1"})
            CPPUNIT_ASSERT_MESSAGE(query, !fixture.control(query));
        CPPUNIT_ASSERT(fixture.model.announcement().state == AnnouncedState::Serving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetModelTest);

} // namespace almondwing
