// Tests of the caller stand-in without sockets: alone, and with a target stand-in behind a lossy link.

#include "SimulatedLoop.h"

#include <LibStandIns/CallerFlows.h>
#include <LibStandIns/CallerRequests.h>
#include <LibStandIns/CallerSummary.h>
#include <LibStandIns/FabricModel.h>
#include <LibStandIns/SharedRandom.h>
#include <LibStandIns/TargetFlows.h>
#include <LibStandIns/TargetModel.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace almondwing {

namespace {

constexpr Endpoint anyEndpoint{.address = 0x7f000001, .port = 1};

CallerPlan plan()
{
    CallerPlan result;
    result.service = ServiceId::fromName("cab-link");
    result.callerId = 5;
    result.runParameters = {.serviceTime = 20ms, .answerSize = 4500};
    return result;
}

TargetModelSettings targetSettings()
{
    TargetModelSettings result;
    result.name = "cab-1";
    result.service = "cab-link";
    return result;
}

// A caller in simulated time whose messages are recorded and passed to a hook of the test.
struct CallerFixture
{
    explicit CallerFixture(CallerPlan const &callerPlan)
        : plan(callerPlan), hooks{.send =
                                      [this](std::size_t, CallerMessage const &message) {
                                          this->sent.push_back(message);
                                          this->deliver(message);
                                      },
                                  .schedule =
                                      [this](Duration delay, std::function<void()> action) {
                                          this->loop.schedule(delay, std::move(action));
                                      },
                                  .random = makeSharedRandom(1),
                                  .now = [this] { return this->loop.now(); },
                                  .requestEnded = [](RequestKey const &, CallerRequest const &) {},
                                  .allRequestsEnded = [this] { ++this->allEndedCalls; }},
          flows(this->blackboard, this->plan, this->hooks),
          requests(this->blackboard, this->plan, this->hooks)
    {
    }

    void start()
    {
        this->flows.start();
        this->requests.start();
    }

    void reply(CallerReply const &message)
    {
        this->flows.handle(this->loop.now(), message);
        this->requests.handle(this->loop.now(), message);
    }

    nlohmann::json summary() const
    {
        return nlohmann::json::parse(summaryJson(this->blackboard, this->plan));
    }

    bool hasPassed() const { return callerVerdict(this->blackboard, this->plan) == Verdict::Passed; }

    CallerPlan plan;
    SimulatedLoop loop;
    std::function<void(CallerMessage const &)> deliver = [](CallerMessage const &) {};
    std::vector<CallerMessage> sent;
    int allEndedCalls = 0;
    CallerBlackboard blackboard;
    CallerHooks hooks;
    CallerFlows flows;
    CallerRequests requests;
};

// Connects a caller and a target by a link with the given quality. Takes the place of a load balancer that
// forwards every attempt of a request as the same try.
class LinkedTarget
{
public:
    LinkedTarget(CallerFixture &callerFixture, LinkQuality quality, std::uint64_t seed)
        : caller(callerFixture), fabric({anyEndpoint}, quality, makeSharedRandom(seed)),
          target(targetSettings(), 1, callerFixture.loop.now(), this->makeHooks())
    {
        callerFixture.deliver = [this](CallerMessage const &message) { this->sendToTarget(message); };
    }

    std::map<RequestKey, int> runs;

private:
    TargetHooks makeHooks()
    {
        return {.send = [this](Endpoint, TargetMessage const &message) { this->sendToCaller(message); },
                .schedule =
                    [this](Duration delay, std::function<void()> action) {
                        this->caller.loop.schedule(delay, std::move(action));
                    },
                .recordStart = [this](RunRequest const &run) { ++this->runs[run.key]; },
                .now = [this] { return this->caller.loop.now(); }};
    }

    static TargetCommand translate(CallerMessage const &message)
    {
        if (auto const *const request = std::get_if<Request>(&message))
            return RunRequest{.key = request->key,
                              .tryId = request->key.number,
                              .requestClass = request->requestClass,
                              .idempotency = request->idempotency,
                              .timeLeft = request->timeLeft,
                              .payload = request->payload};
        if (auto const *const resend = std::get_if<ResendParts>(&message))
            return *resend;
        if (auto const *const open = std::get_if<OpenFlow>(&message))
            return *open;
        if (auto const *const data = std::get_if<FlowData>(&message))
            return *data;
        return std::get<CloseFlow>(message);
    }

    void sendToTarget(CallerMessage const &message)
    {
        for (Delivery const &delivery : this->fabric.routeToInstance(anyEndpoint))
            this->caller.loop.schedule(delivery.delay, [this, command = translate(message)] {
                this->target.handle(this->caller.loop.now(), anyEndpoint, command);
            });
    }

    static std::optional<CallerReply> translate(TargetMessage const &message)
    {
        if (auto const *const part = std::get_if<AnswerPart>(&message))
            return *part;
        if (auto const *const shed = std::get_if<Shed>(&message))
            return NotRun{.key = shed->key, .reason = Reason::TargetShed, .retryAfter = shed->retryAfter};
        if (auto const *const accepted = std::get_if<FlowAccepted>(&message))
            return *accepted;
        if (auto const *const data = std::get_if<FlowData>(&message))
            return *data;
        return std::nullopt;
    }

    void sendToCaller(TargetMessage const &message)
    {
        auto const reply = translate(message);
        if (!reply)
            return;
        for (Delivery const &delivery : this->fabric.routeToCaller(anyEndpoint, anyEndpoint))
            this->caller.loop.schedule(delivery.delay, [this, reply] { this->caller.reply(*reply); });
    }

    CallerFixture &caller;
    FabricModel fabric;
    TargetModel target;
};

} // namespace

class CallerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerTest);
    CPPUNIT_TEST(answersArriveOverALossyLink);
    CPPUNIT_TEST(lostAnswerIsResentWithinTheDeadline);
    CPPUNIT_TEST(flowsSurviveALossyLink);
    CPPUNIT_TEST(requestWithoutOutcomeFails);
    CPPUNIT_TEST(notRunAndUnknownAreOutcomes);
    CPPUNIT_TEST(wrongBytesFail);
    CPPUNIT_TEST(foreignAnswersFail);
    CPPUNIT_TEST(pendingRequestsAreCancelled);
    CPPUNIT_TEST(openLoopRateIsKept);
    CPPUNIT_TEST(lostFlowsAreReportedAndReplaced);
    CPPUNIT_TEST(longestGapIsReported);
    CPPUNIT_TEST(gapBeforeAcceptanceCountsFromTheOpen);
    CPPUNIT_TEST(wrongFlowPayloadsFail);
    CPPUNIT_TEST(percentilesAreNearestRank);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a caller that gives up or reports wrong bytes because of faults of the link, and against
    // a target stand-in that runs a try twice.
    void answersArriveOverALossyLink()
    {
        CPPUNIT_ASSERT(rc::check([] {
            CallerPlan lossy = plan();
            lossy.requests = 20;
            lossy.concurrency = 2;
            lossy.deadline = 60s;
            lossy.resendAfter = 100ms;
            CallerFixture fixture(lossy);
            LinkedTarget linkedTarget(fixture,
                                      {.loss = 0.2, .duplicate = 0.2, .delay = 0.3, .maxDelay = 50ms},
                                      *rc::gen::arbitrary<std::uint64_t>());
            fixture.start();
            fixture.loop.runFor(120s);
            RC_ASSERT(fixture.allEndedCalls == 1);
            RC_ASSERT(fixture.hasPassed());
            RC_ASSERT(fixture.summary().at("requests").at("answered") == 20);
            for (auto const &[key, number] : linkedTarget.runs)
                RC_ASSERT(number == 1);
        }));
    }

    // Guards against missing parts that are not requested within the deadline. A burst may overflow the
    // receive buffer, so that all parts but the first are lost.
    void lostAnswerIsResentWithinTheDeadline()
    {
        constexpr Duration roundTrip = 10ms;
        CallerPlan download = plan();
        download.requests = 1;
        download.runParameters.answerSize = 4'000'000;
        CallerFixture fixture(download);
        auto const sendPart = [&](RequestKey const &key, std::uint32_t part) {
            fixture.loop.schedule(roundTrip, [&, key, part] {
                fixture.reply(makeAnswerPart(key, 1, download.runParameters.answerSize, part));
            });
        };
        fixture.deliver = [&](CallerMessage const &message) {
            if (auto const *const request = std::get_if<Request>(&message))
                sendPart(request->key, 0);
            auto const *const resend = std::get_if<ResendParts>(&message);
            for (std::uint32_t const part : resend ? resend->parts : std::vector<std::uint32_t>{}) {
                if (part < answerPartCount(download.runParameters.answerSize))
                    sendPart(resend->key, part);
            }
        };
        fixture.start();
        fixture.loop.runFor(download.deadline);
        CPPUNIT_ASSERT(fixture.summary().at("requests").at("answered") == 1);
        CPPUNIT_ASSERT(fixture.hasPassed());
    }

    // Guards against a caller that reports lost or late packets as broken flows or wrong bytes.
    void flowsSurviveALossyLink()
    {
        CPPUNIT_ASSERT(rc::check([] {
            CallerPlan lossy = plan();
            lossy.flows = 20;
            lossy.openAttempts = 100;
            lossy.flowInterval = 100ms;
            CallerFixture fixture(lossy);
            LinkedTarget linkedTarget(fixture,
                                      {.loss = 0.2, .duplicate = 0.2, .delay = 0.3, .maxDelay = 300ms},
                                      *rc::gen::arbitrary<std::uint64_t>());
            fixture.start();
            fixture.loop.runFor(60s);
            fixture.flows.closeAll();
            auto const flows = fixture.summary().at("flows");
            RC_ASSERT(flows.at("aliveAtEnd") == 20);
            RC_ASSERT(flows.at("silent") == 0);
            RC_ASSERT(fixture.hasPassed());
        }));
    }

    // Guards against a lost request that is not reported.
    void requestWithoutOutcomeFails()
    {
        CallerPlan lost = plan();
        lost.requests = 1;
        CallerFixture fixture(lost);
        fixture.start();
        CPPUNIT_ASSERT(!fixture.hasPassed());
        fixture.loop.runFor(10s);
        CPPUNIT_ASSERT_EQUAL(1, fixture.allEndedCalls);
        CPPUNIT_ASSERT(!fixture.hasPassed());
        CPPUNIT_ASSERT(fixture.summary().at("requests").at("withoutOutcome") == 1);
        // Sent at 0 s and then every second until the grace period ends at 7 s, with increasing attempt
        // numbers.
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fixture.sent.size());
        CPPUNIT_ASSERT_EQUAL(7U, std::get<Request>(fixture.sent.back()).attempt);
        CPPUNIT_ASSERT(std::get<Request>(fixture.sent.back()).timeLeft == Duration{});
    }

    // Guards against refusals that count as failures, and against outcomes that change later.
    void notRunAndUnknownAreOutcomes()
    {
        CallerPlan two = plan();
        two.requests = 2;
        two.concurrency = 2;
        CallerFixture fixture(two);
        fixture.start();
        RequestKey const first = std::get<Request>(fixture.sent[0]).key;
        RequestKey const second = std::get<Request>(fixture.sent[1]).key;
        fixture.reply(NotRun{.key = first, .reason = Reason::QueueFull, .retryAfter = 1s});
        fixture.reply(OutcomeUnknown{.key = first, .reason = Reason::TargetLost});
        fixture.reply(makeAnswerPart(first, 1, 4500, 0));
        fixture.reply(OutcomeUnknown{.key = second, .reason = Reason::TargetLost});
        auto const requests = fixture.summary().at("requests");
        CPPUNIT_ASSERT(requests.at("notRun").at("queue-full") == 1);
        CPPUNIT_ASSERT(requests.at("unknown").at("target-lost") == 1);
        CPPUNIT_ASSERT(requests.at("answeredAfterNotRun") == 1);
        CPPUNIT_ASSERT(fixture.hasPassed());
    }

    // Guards against a check of answers that does not detect a single wrong byte.
    void wrongBytesFail()
    {
        CallerPlan one = plan();
        one.requests = 1;
        CallerFixture fixture(one);
        fixture.start();
        RequestKey const key = std::get<Request>(fixture.sent[0]).key;
        for (std::uint32_t part = 0; part < answerPartCount(4500); ++part) {
            AnswerPart message = makeAnswerPart(key, 1, 4500, part);
            if (part == 3)
                message.payload[500] = static_cast<char>(message.payload[500] ^ 1);
            fixture.reply(message);
        }
        CPPUNIT_ASSERT(fixture.summary().at("requests").at("wrongAnswers") == 1);
        CPPUNIT_ASSERT(!fixture.hasPassed());
    }

    // Guards against an answer to another caller that is not reported.
    void foreignAnswersFail()
    {
        CallerFixture fixture(plan());
        fixture.start();
        fixture.reply(makeAnswerPart({.service = plan().service, .caller = 6, .number = 1}, 1, 10, 0));
        CPPUNIT_ASSERT(!fixture.hasPassed());
    }

    // Guards against a cancellation that is never sent, or that counts as an outcome before its reply.
    void pendingRequestsAreCancelled()
    {
        CallerPlan cancelling = plan();
        cancelling.requests = 1;
        cancelling.cancelAfter = 50ms;
        CallerFixture fixture(cancelling);
        fixture.start();
        fixture.loop.runFor(60ms);
        RequestKey const key = std::get<CancelRequest>(fixture.sent.at(1)).key;
        CPPUNIT_ASSERT(!fixture.hasPassed());
        fixture.reply(NotRun{.key = key, .reason = Reason::Cancelled, .retryAfter = {}});
        CPPUNIT_ASSERT(fixture.hasPassed());
    }

    // Guards against an open-loop load whose rate drops when the system slows down, which would hide
    // overload.
    void openLoopRateIsKept()
    {
        CallerPlan fast = plan();
        fast.requests = 1000;
        fast.requestRate = 100;
        fast.resendAfter = 60s;
        CallerFixture fixture(fast);
        fixture.start();
        fixture.loop.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{201}, fixture.sent.size());
    }

    // Guards against a caller that does not detect the loss of its flow.
    void lostFlowsAreReportedAndReplaced()
    {
        CallerPlan flowing = plan();
        flowing.flows = 1;
        flowing.socketCount = 2;
        flowing.replacePolicy = ReplacePolicy::ReplaceFailed;
        flowing.silenceTimeout = 5s;
        CallerFixture fixture(flowing);
        fixture.deliver = [&](CallerMessage const &message) {
            if (auto const *const open = std::get_if<OpenFlow>(&message))
                fixture.loop.schedule(1ms, [&, key = open->key] { fixture.reply(FlowAccepted{.key = key}); });
        };
        fixture.start();
        fixture.loop.runFor(10s);
        CPPUNIT_ASSERT(fixture.summary().at("flows").at("silent") == 1);
        CPPUNIT_ASSERT(fixture.summary().at("flows").at("opened") == 2);
        FlowKey const key = std::get<FlowData>(fixture.sent.back()).key;
        fixture.reply(FlowBroken{.key = key, .reason = Reason::TargetLost});
        fixture.reply(FlowBroken{.key = key, .reason = Reason::TargetLost});
        CPPUNIT_ASSERT(fixture.summary().at("flows").at("broken").at("target-lost") == 1);
    }

    // Guards against an interruption of all flows that does not appear in the summary.
    void longestGapIsReported()
    {
        CallerPlan flowing = plan();
        flowing.flows = 1;
        CallerFixture fixture(flowing);
        fixture.start();
        FlowKey const key = std::get<OpenFlow>(fixture.sent[0]).key;
        fixture.reply(FlowAccepted{.key = key});
        for (Duration const gap : {Duration(200ms), Duration(3s), Duration(1s)}) {
            fixture.loop.runFor(gap);
            fixture.reply(FlowData{.key = key, .payload = flowPayload(key, 1, flowing.flowBytes)});
        }
        CPPUNIT_ASSERT(fixture.summary().at("flows").at("longestGapMs") == 3000.0);
    }

    // Guards against a gap that is counted from the start of the clock when a notice overtakes the acceptance
    // of its flow, as happens on a link that delays packets.
    void gapBeforeAcceptanceCountsFromTheOpen()
    {
        CallerPlan flowing = plan();
        flowing.flows = 1;
        CallerFixture fixture(flowing);
        fixture.start();
        FlowKey const key = std::get<OpenFlow>(fixture.sent[0]).key;
        fixture.loop.runFor(100ms);
        fixture.reply(FlowData{.key = key, .payload = noticePayload(key)});
        fixture.reply(FlowAccepted{.key = key});
        CPPUNIT_ASSERT(fixture.summary().at("flows").at("longestGapMs") == 100.0);
    }

    // Guards against packets of another flow that are not reported.
    void wrongFlowPayloadsFail()
    {
        CallerPlan flowing = plan();
        flowing.flows = 1;
        FlowKey const foreign{.service = flowing.service, .flow = 1};
        for (bool const isOwnKey : {true, false}) {
            CallerFixture fixture(flowing);
            fixture.start();
            FlowKey const own = std::get<OpenFlow>(fixture.sent[0]).key;
            fixture.reply(FlowAccepted{.key = own});
            fixture.reply(FlowData{.key = own, .payload = flowPayload(own, 1, flowing.flowBytes)});
            CPPUNIT_ASSERT(fixture.hasPassed());
            FlowKey const key = isOwnKey ? own : foreign;
            fixture.reply(FlowData{.key = key, .payload = flowPayload(foreign, 1, flowing.flowBytes)});
            CPPUNIT_ASSERT(!fixture.hasPassed());
        }
    }

    // Guards against latency percentiles that are off by one rank.
    void percentilesAreNearestRank()
    {
        std::vector<Duration> values;
        for (int value = 100; value >= 1; --value)
            values.emplace_back(value);
        CPPUNIT_ASSERT(percentile(values, 0.5) == Duration(50));
        CPPUNIT_ASSERT(percentile(values, 0.99) == Duration(99));
        CPPUNIT_ASSERT(percentile(values, 1) == Duration(100));
        CPPUNIT_ASSERT(percentile(values, 0) == Duration(1));
        CPPUNIT_ASSERT(percentile({}, 0.5) == Duration{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTest);

} // namespace almondwing
