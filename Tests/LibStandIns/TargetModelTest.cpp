// Tests of the target stand-in without sockets, under simulated time.

#include "SimulatedLoop.h"

#include <LibStandIns/TargetModel.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Endpoint dispatcher{.address = 0x7f000001, .port = 1};

TargetModelSettings traits()
{
    TargetModelSettings result;
    result.name = "cab-1";
    result.service = "cab-link";
    result.connections = 3;
    return result;
}

// A target with everything that it sent and started.
struct Bench
{
    explicit Bench(TargetModelSettings const &targetTraits = traits())
        : model(targetTraits, 1, loop.now(),
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

    bool order(std::string_view query)
    {
        auto const request = HttpRequest::parse(std::string("/control?") + std::string(query), "");
        return this->model.control(this->loop.now(), request.query).status == 200;
    }

    template<typename Message>
    std::size_t sentOf() const
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
    CPPUNIT_TEST(unknownAndSilentFlows);
    CPPUNIT_TEST(restartForgetsEverything);
    CPPUNIT_TEST(frozenTargetDoesNothing);
    CPPUNIT_TEST(violationsAreCounted);
    CPPUNIT_TEST(reportsLieAndLag);
    CPPUNIT_TEST(malformedOrdersAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a stand-in that itself breaks "at most once" and so hides or fakes a fault of the
    // system.
    void repeatedTryRunsOnce()
    {
        Bench bench;
        bench.handle(run(1));
        bench.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.sentOf<RequestStarted>());
        bench.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.sentOf<AnswerPart>());
        bench.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT(bench.started == std::vector<std::uint64_t>{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
    }

    // Guards against a target that bears more load than it says, which would hide missing admission control.
    void fullTargetSheds()
    {
        Bench bench;
        for (std::uint64_t tryId = 1; tryId <= 3; ++tryId)
            bench.handle(run(tryId));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<Shed>());
        bench.handle(run(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.sentOf<Shed>());
        bench.loop.runFor(1s);
        // A try that was shed must stay shed, because the dispatcher has told so.
        bench.handle(run(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.sentOf<Shed>());
        CPPUNIT_ASSERT(bench.started == (std::vector<std::uint64_t>{1, 2}));
        CPPUNIT_ASSERT(bench.order("shed=on"));
        bench.handle(run(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.sentOf<Shed>());
    }

    // Guards against a cancelled request that runs after all because its packets crossed.
    void cancellationPreventsOrEndsARun()
    {
        Bench bench;
        bench.handle(cancel(1));
        bench.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.sentOf<Shed>());
        bench.handle(run(2));
        bench.handle(cancel(2));
        bench.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("runsCancelled"));
        CPPUNIT_ASSERT(bench.started == std::vector<std::uint64_t>{2});
        // The dispatcher learns that the slot is free, also when the first confirmation is lost.
        bench.handle(cancel(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.sentOf<RunEnded>());
    }

    // Guards against work on requests that nobody waits for.
    void deadlineIsHonoured()
    {
        Bench bench;
        RunRequest late = run(1);
        late.timeLeft = Duration{};
        bench.handle(late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<Shed>());
        RunRequest tooLong = run(2, "sleep=9000");
        bench.handle(tooLong);
        bench.loop.runFor(6s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("runsExpired"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<RunEnded>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.sentOf<AnswerPart>());
    }

    // Guards against an answer that stays incomplete after one lost packet.
    void lostPartsAreSentAgain()
    {
        Bench bench;
        bench.handle(run(1));
        bench.handle(ResendParts{.key = run(1).key, .tryId = 1, .parts = {0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.sentOf<AnswerPart>());
        bench.loop.runFor(1s);
        bench.sent.clear();
        bench.handle(ResendParts{.key = run(1).key, .tryId = 1, .parts = {2, 7}});
        bench.handle(ResendParts{.key = run(2).key, .tryId = 1, .parts = {0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sent.size());
        CPPUNIT_ASSERT(std::get<AnswerPart>(bench.sent[0]) == makeAnswerPart(run(1).key, 1, 2500, 2));
    }

    // Guards against a drain that stops a target in the middle of a long download.
    void longAnswerHoldsItsSlot()
    {
        Bench bench;
        bench.handle(run(1, "sleep=10 size=100000"));
        bench.loop.runFor(12ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("running"));
        bench.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        // A run that the dispatcher sends as soon as it has the last part must find the slot free.
        CPPUNIT_ASSERT(bench.runningAtLastPart == std::optional<std::uint64_t>{0});
    }

    // Guards against a cold target that shows no sign of overload, so that a missing ramp goes unnoticed.
    void coldTargetSlowsDownWhenOverfilled()
    {
        TargetModelSettings cold = traits();
        cold.coldFor = 10s;
        Bench bench(cold);
        bench.handle(run(1, "sleep=100"));
        bench.handle(run(2, "sleep=100"));
        bench.loop.runFor(150ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("overfilledWhileCold"));
        bench.loop.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        bench.loop.runFor(10s);
        bench.handle(run(3, "sleep=100"));
        bench.handle(run(4, "sleep=100"));
        bench.loop.runFor(150ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        CPPUNIT_ASSERT(bench.order("cold-ms=1000"));
        bench.handle(run(5));
        bench.handle(run(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bench.statistic("overfilledWhileCold"));
    }

    // Guards against duplicated packets that use up connections.
    void flowsAreOpenedOnceAndLimited()
    {
        Bench bench;
        for (std::uint64_t const number : {1U, 1U, 2U, 3U, 4U})
            bench.handle(OpenFlow{.key = flow(number), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.sentOf<FlowAccepted>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<FlowRefused>());
        bench.handle(CloseFlow{.key = flow(1)});
        bench.handle(CloseFlow{.key = flow(1)});
        bench.handle(OpenFlow{.key = flow(4), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, bench.sentOf<FlowAccepted>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, bench.statistic("openFlows"));
        bench.sent.clear();
        bench.model.pushNotices(bench.loop.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.sentOf<FlowData>());
    }

    // Guards against a stand-in that can't produce broken and silent flows.
    void unknownAndSilentFlows()
    {
        Bench bench;
        FlowData const data{.key = flow(1), .payload = "x"};
        bench.handle(data);
        CPPUNIT_ASSERT(bench.sent.back()
                       == TargetMessage(FlowBroken{.key = flow(1), .reason = Reason::UnknownFlow}));
        bench.handle(OpenFlow{.key = flow(1), .payload = {}});
        bench.handle(data);
        CPPUNIT_ASSERT(bench.sent.back() == TargetMessage(data));
        CPPUNIT_ASSERT(bench.order("silence-flows=1"));
        bench.sent.clear();
        bench.handle(data);
        bench.handle(OpenFlow{.key = flow(1), .payload = {}});
        CPPUNIT_ASSERT(bench.sent.empty());
        bench.handle(OpenFlow{.key = flow(2), .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<FlowAccepted>());
        CPPUNIT_ASSERT(bench.order("forget-flows=2"));
        bench.handle(data);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sentOf<FlowBroken>());
    }

    // Guards against a restarted target that still answers for the process before it.
    void restartForgetsEverything()
    {
        Bench bench;
        bench.handle(OpenFlow{.key = flow(1), .payload = {}});
        bench.handle(run(1));
        CPPUNIT_ASSERT(bench.order("restart=77"));
        bench.loop.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("running"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.statistic("openFlows"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, bench.model.announcement().startMark);
    }

    // Guards against a frozen target that still answers, so that detection by silence is never exercised.
    void frozenTargetDoesNothing()
    {
        Bench bench;
        bench.handle(run(1));
        CPPUNIT_ASSERT(bench.order("freeze-ms=2000"));
        bench.sent.clear();
        bench.handle(run(2));
        bench.loop.runFor(1900ms);
        CPPUNIT_ASSERT(bench.sent.empty());
        CPPUNIT_ASSERT(!bench.model.health(bench.loop.now()).has_value());
        CPPUNIT_ASSERT(!bench.model.load(bench.loop.now()).has_value());
        bench.loop.runFor(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.sentOf<AnswerPart>());
        CPPUNIT_ASSERT(bench.model.health(bench.loop.now()).has_value());
    }

    // Guards against violations of R2, R4 and R8 that a test can't see.
    void violationsAreCounted()
    {
        Bench bench;
        bench.handle(OpenFlow{.key = {.service = ServiceId::fromName("other"), .flow = 1}, .payload = {}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.statistic("foreignPackets"));
        CPPUNIT_ASSERT(bench.sent.empty());
        CPPUNIT_ASSERT(bench.order("state=leaving"));
        CPPUNIT_ASSERT(bench.model.announcement().state == AnnouncedState::Leaving);
        bench.loop.runFor(4s);
        bench.handle(OpenFlow{.key = flow(1), .payload = {}});
        bench.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bench.statistic("workWhileLeaving"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, bench.statistic("lastWorkAfterLeavingMs"));
        bench.loop.runFor(7s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, bench.statistic("packets"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7000}, bench.statistic("msSinceLastPacket"));
    }

    // Guards against reports that are always right, so that trust in them is never punished.
    void reportsLieAndLag()
    {
        Bench bench;
        bench.handle(run(1));
        CPPUNIT_ASSERT_EQUAL(0.5, bench.reportedLoad());
        bench.loop.runFor(10s);
        CPPUNIT_ASSERT_EQUAL(0.0, bench.reportedLoad());
        CPPUNIT_ASSERT(bench.order("report-lag-ms=9950"));
        CPPUNIT_ASSERT_EQUAL(0.5, bench.reportedLoad());
        CPPUNIT_ASSERT(bench.order("load=0.1"));
        CPPUNIT_ASSERT_EQUAL(0.1, bench.reportedLoad());
        CPPUNIT_ASSERT(bench.order("reports=unhealthy"));
        CPPUNIT_ASSERT_EQUAL(503U, bench.model.health(bench.loop.now())->status);
        CPPUNIT_ASSERT(bench.order("reports=none"));
        CPPUNIT_ASSERT(!bench.model.health(bench.loop.now()).has_value());
    }

    // Guards against a test that believes in a misspelt order.
    void malformedOrdersAreRefused()
    {
        Bench bench;
        for (auto const *const query :
             {"drain=1", "state=", "state=gone", "shed=1", "cold-ms=x",
              "freeze-ms=", "load=", "reports=maybe", "restart=", "forget-flows=-1"})
            CPPUNIT_ASSERT_MESSAGE(query, !bench.order(query));
        CPPUNIT_ASSERT(bench.model.announcement().state == AnnouncedState::Serving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetModelTest);

} // namespace almondwing
