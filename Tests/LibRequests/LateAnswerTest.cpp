// Tests that an answer after the deadline of its request does not count as a success for the caller.

#include <LibRequests/RequestController.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

namespace {

constexpr Endpoint callerEndpoint{.address = 1, .port = 1};
constexpr Endpoint targetEndpoint{.address = 2, .port = 1};
constexpr TargetId target{1};
constexpr InstanceId self{10};
constexpr Duration timeLeft = 1s;
constexpr std::size_t partBytes = 1'000;

// A controller that dispatches for one target.
struct Dispatcher
{
    Blackboard board;
    std::vector<CallerReply> toCaller;
    std::vector<TargetCommand> toTarget;
    std::unique_ptr<RequestController> controller;
    Timestamp now{1000s};
    std::uint64_t random = 1;

    explicit Dispatcher(RequestSettings settings = {})
    {
        Outbox const outbox{
            .sendToCaller = [this](Endpoint, CallerReply const &reply) { this->toCaller.push_back(reply); },
            .sendToTarget = [this](Endpoint,
                                   TargetCommand const &command) { this->toTarget.push_back(command); },
            .sendToInstance = [](InstanceId, PeerMessage const &) {},
            .report = [](Event, std::string const &) {}};
        this->board.ownStatus.update([](OwnStatus status) {
            status.self.id = self;
            status.lease = LeaseState::Held;
            return status;
        });
        RoutedTarget routed;
        routed.record.id = target;
        routed.record.packetEndpoint = targetEndpoint;
        routed.record.state = TargetState::Warm;
        routed.limits = routed.fullLimits = {.slots = 3, .connections = 0};
        routed.dispatcher = self;
        auto routes = std::make_shared<ServiceRoutes>();
        routes->id = ServiceId{1};
        routes->targets = {routed};
        RoutingView view;
        view.services[ServiceId{1}] = routes;
        view.serviceOfTarget = {{target, ServiceId{1}}};
        this->board.routingView.update([&](RoutingView const &) { return view; });
        this->controller = std::make_unique<RequestController>(this->board, settings, outbox,
                                                               [this] { return this->random++; });
    }

    RunRequest start(std::uint64_t number, RequestClass requestClass)
    {
        Request const request{.key = {.service = ServiceId{1}, .caller = 1, .number = number},
                              .requestClass = requestClass,
                              .idempotency = Idempotency::Idempotent,
                              .timeLeft = timeLeft,
                              .payload = "x"};
        this->controller->handleRequest({.caller = callerEndpoint, .request = request, .target = target},
                                        this->now);
        return std::get<RunRequest>(this->toTarget.back());
    }

    void answer(RunRequest const &run, std::uint32_t parts)
    {
        for (std::uint32_t part = 0; part < parts; ++part)
            this->controller->handleTargetMessage(
                targetEndpoint,
                AnswerPart{.key = run.key,
                           .tryId = run.tryId,
                           .part = part,
                           .position = part + 1 == parts ? PartPosition::Last : PartPosition::NotLast,
                           .payload = std::string(partBytes, 'a')},
                this->now);
    }

    // Sends all paced parts, each at the earliest time that the byte rate allows.
    void sendPacedParts()
    {
        for (auto due = this->controller->sendNextBulkPart(this->now); due;
             due = this->controller->sendNextBulkPart(this->now))
            this->now = *due;
    }

    template<typename Message>
    std::size_t countOf(std::uint64_t number) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->toCaller, [&](CallerReply const &reply) {
            auto const *const message = std::get_if<Message>(&reply);
            return message != nullptr && message->key.number == number;
        }));
    }

    std::uint32_t busySlots() const { return this->board.usage.read(target)->value.busySlots; }
};

} // namespace

class LateAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateAnswerTest);
    CPPUNIT_TEST(answerAfterDeadlineIsUnknown);
    CPPUNIT_TEST(answerAtDeadlineIsSent);
    CPPUNIT_TEST(bulkAnswerSentAfterDeadlineIsUnknown);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an answer that counts as a success although it arrives between the deadline and the tick
    // that cancels the try.
    void answerAfterDeadlineIsUnknown()
    {
        Dispatcher dispatcher;
        auto const run = dispatcher.start(1, RequestClass::Urgent);
        dispatcher.now += timeLeft + 1ms;
        dispatcher.answer(run, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher.countOf<AnswerPart>(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher.countOf<OutcomeUnknown>(1));
        CPPUNIT_ASSERT_EQUAL(0U, dispatcher.busySlots());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher.board.storedAnswers.read()->bytes);
    }

    // Guards against dropping answers that arrive in time.
    void answerAtDeadlineIsSent()
    {
        Dispatcher dispatcher;
        auto const urgent = dispatcher.start(1, RequestClass::Urgent);
        auto const bulk = dispatcher.start(2, RequestClass::Bulk);
        dispatcher.now += timeLeft;
        dispatcher.answer(urgent, 1);
        dispatcher.answer(bulk, 1);
        dispatcher.sendPacedParts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher.countOf<AnswerPart>(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher.countOf<AnswerPart>(2));
    }

    // Guards against a bulk answer that is complete in time, but whose last part is sent after the deadline,
    // because it waits behind earlier parts of the same or of another answer.
    void bulkAnswerSentAfterDeadlineIsUnknown()
    {
        // At this rate a part takes 1 ms.
        Dispatcher dispatcher(RequestSettings{.bulkBytesPerSecond = partBytes * 1'000});
        auto const first = dispatcher.start(1, RequestClass::Bulk);
        auto const second = dispatcher.start(2, RequestClass::Bulk);
        dispatcher.now += timeLeft - 20ms;
        dispatcher.answer(first, 15);
        dispatcher.answer(second, 15);
        dispatcher.sendPacedParts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, dispatcher.countOf<AnswerPart>(1));
        CPPUNIT_ASSERT(dispatcher.countOf<AnswerPart>(2) < 15);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher.countOf<OutcomeUnknown>(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher.board.pacing.read()->bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateAnswerTest);

} // namespace almondwing
