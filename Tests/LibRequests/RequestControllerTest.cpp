// Tests of one controller between recorded hooks: what it sends in which order.

#include <LibRequests/RequestController.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace almondwing {

namespace {

constexpr Endpoint callerEndpoint{.address = 1, .port = 1};
constexpr TargetId firstTarget{1};
constexpr TargetId secondTarget{2}; // Of another dispatcher.
constexpr InstanceId self{10};
constexpr InstanceId member{11};
constexpr InstanceId otherDispatcher{20};

Endpoint endpointOf(TargetId target)
{
    return {.address = 2, .port = static_cast<std::uint16_t>(target.value)};
}

// A controller at `self`, with everything it sends. Threads of a test share it.
struct Harness
{
    Blackboard board;
    std::mutex mutex;
    std::vector<CallerReply> toCaller;
    std::vector<TargetCommand> toTarget;
    std::vector<std::pair<InstanceId, PeerMessage>> toInstance;
    std::atomic<std::uint64_t> random = 1;
    std::unique_ptr<RequestController> controller;
    Timestamp now{1000s};

    explicit Harness(std::uint32_t slots = 2, RequestSettings settings = {})
    {
        Outbox outbox;
        outbox.sendToCaller = [this](Endpoint, CallerReply const &reply) {
            std::scoped_lock const lock(this->mutex);
            this->toCaller.push_back(reply);
        };
        outbox.sendToTarget = [this](Endpoint, TargetCommand const &command) {
            std::scoped_lock const lock(this->mutex);
            this->toTarget.push_back(command);
        };
        outbox.sendToInstance = [this](InstanceId to, PeerMessage const &message) {
            std::scoped_lock const lock(this->mutex);
            this->toInstance.emplace_back(to, message);
        };
        outbox.report = [](Event, std::string const &) {};
        this->board.ownStatus.update([](OwnStatus status) {
            status.self.id = self;
            status.lease = LeaseState::Held;
            return status;
        });
        this->setView(slots);
        for (InstanceId const known : {self, member, otherDispatcher})
            this->board.members.update(known, [](auto const &) { return std::optional(MemberRecord{}); });
        this->controller = std::make_unique<RequestController>(this->board, settings, outbox,
                                                               [this] { return mixBits(this->random++); });
    }

    // Both targets have the same limit; all buckets belong to the first.
    void setView(std::uint32_t slots, TargetState firstState = TargetState::Warm,
                 InstanceId secondDispatcher = otherDispatcher, std::uint64_t startMark = 1)
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->id = ServiceId{1};
        for (TargetId const target : {firstTarget, secondTarget}) {
            RoutedTarget routed;
            routed.record.id = target;
            routed.record.startMark = startMark;
            routed.record.packetEndpoint = endpointOf(target);
            routed.record.state = target == firstTarget ? firstState : TargetState::Warm;
            routed.limits = routed.fullLimits = {.slots = slots, .connections = 0};
            routed.dispatcher = target == firstTarget ? self : secondDispatcher;
            routed.replicaGroup = {self, member};
            routes->targets.push_back(routed);
        }
        RoutingView view;
        view.services[ServiceId{1}] = routes;
        view.serviceOfTarget = {{firstTarget, ServiceId{1}}, {secondTarget, ServiceId{1}}};
        this->board.routingView.update([&](RoutingView const &) { return RoutingView(view); });
    }

    static Request request(std::uint64_t number, RequestClass requestClass, Idempotency idempotency)
    {
        return {.key = {.service = ServiceId{1}, .caller = 1, .number = number},
                .attempt = 1,
                .requestClass = requestClass,
                .idempotency = idempotency,
                .timeLeft = 2s,
                .payload = "x"};
    }

    void send(Request const &request, std::uint8_t hops = 2)
    {
        this->controller->handleRequest(callerEndpoint, request, firstTarget, ForwardPurpose::Deliver, hops,
                                        this->now);
    }

    Request sendIdempotent(std::uint64_t number, RequestClass requestClass = RequestClass::Urgent)
    {
        auto sent = request(number, requestClass, Idempotency::Idempotent);
        this->send(sent);
        return sent;
    }

    void tickFor(Duration duration)
    {
        for (Timestamp const end = this->now + duration; this->now < end; this->now += 20ms)
            this->controller->tick(this->now);
    }

    template<typename Message, typename Variants>
    static std::vector<Message> only(Variants const &variants)
    {
        std::vector<Message> messages;
        for (auto const &variant : variants) {
            if (auto const *const message = std::get_if<Message>(&variant))
                messages.push_back(*message);
        }
        return messages;
    }

    std::vector<RunRequest> runs() const { return only<RunRequest>(this->toTarget); }
    std::vector<NotRun> refusals() const { return only<NotRun>(this->toCaller); }
    std::vector<OutcomeUnknown> unknowns() const { return only<OutcomeUnknown>(this->toCaller); }
    std::uint32_t busySlots() const { return this->board.usage.read(firstTarget)->value.busySlots; }

    void answer(RunRequest const &run, std::uint32_t parts = 1)
    {
        for (std::uint32_t part = 0; part < parts; ++part)
            this->controller->handleTargetMessage(
                endpointOf(firstTarget),
                AnswerPart{.key = run.key,
                           .tryId = run.tryId,
                           .part = part,
                           .position = part + 1 == parts ? PartPosition::Last : PartPosition::Middle,
                           .payload = std::string(1000, 'a')},
                this->now);
    }

    void shed(RunRequest const &run)
    {
        this->controller->handleTargetMessage(
            endpointOf(firstTarget), Shed{.key = run.key, .tryId = run.tryId, .retryAfter = {}}, this->now);
    }

    void started(RunRequest const &run)
    {
        this->controller->handleTargetMessage(endpointOf(firstTarget),
                                              RequestStarted{.key = run.key, .tryId = run.tryId}, this->now);
    }

    void replyToRecord(RecordVerdict verdict)
    {
        auto const record = std::get<RecordRequest>(this->toInstance.back().second);
        this->controller->handlePeerMessage(
            member, RecordReply{.key = record.key, .tryId = record.tryId, .verdict = verdict}, this->now);
    }
};

} // namespace

class RequestControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestControllerTest);
    CPPUNIT_TEST(runWaitsForTheSecondCopy);
    CPPUNIT_TEST(missedQuorumIsReleasedFirst);
    CPPUNIT_TEST(retryAfterShedHasItsOwnTry);
    CPPUNIT_TEST(slotLimitHoldsWhenItShrinks);
    CPPUNIT_TEST(silentTryIsRepeatedAndKeepsItsSlot);
    CPPUNIT_TEST(restartedTargetEndsItsTries);
    CPPUNIT_TEST(cancelledRequestsEndOnce);
    CPPUNIT_TEST(expiredRequestsGetTrueOutcomes);
    CPPUNIT_TEST(locateReplyIsAPromise);
    CPPUNIT_TEST(youngMemberDoesNotVouch);
    CPPUNIT_TEST(pausedDispatcherIsNotCertain);
    CPPUNIT_TEST(formerRefusalIsNotRepeatedAfterTakeover);
    CPPUNIT_TEST(differentTablesAreLocated);
    CPPUNIT_TEST(spilledRequestsStayThere);
    CPPUNIT_TEST(drainingTargetGetsNoQueuedWork);
    CPPUNIT_TEST(formerDispatcherStartsNoLongWork);
    CPPUNIT_TEST(finalOutcomeIsRepeated);
    CPPUNIT_TEST(droppedAnswersAreUnknown);
    CPPUNIT_TEST(gapsAreAskedFor);
    CPPUNIT_TEST(urgentPartsPassBulkParts);
    CPPUNIT_TEST(stopFinishesWhatIsQueued);
    CPPUNIT_TEST(takeoverCountsAllSlots);
    CPPUNIT_TEST(nothingIsKeptForEver);
    CPPUNIT_TEST(threadsShareOneController);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a run whose only record dies with the dispatcher.
    void runWaitsForTheSecondCopy()
    {
        Harness harness;
        harness.send(Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent));
        CPPUNIT_ASSERT(harness.runs().empty());
        harness.replyToRecord(RecordVerdict::Stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());

        harness.send(Harness::request(2, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::AlreadyRecorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::DispatcherLost);
    }

    // Guards against a NotRun that leaves an unreleased record, and against a late reply that starts it.
    void missedQuorumIsReleasedFirst()
    {
        Harness harness;
        harness.send(Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent));
        auto const record = harness.toInstance.back();
        harness.tickFor(1100ms);
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::NoSecondCopy);
        CPPUNIT_ASSERT(std::holds_alternative<RecordRelease>(harness.toInstance.back().second));
        harness.toInstance.push_back(record);
        harness.replyToRecord(RecordVerdict::Stored);
        harness.tickFor(100ms);
        CPPUNIT_ASSERT(harness.runs().empty());
        // The own record stays as a refusal for other dispatchers.
        RecordRequest foreign = std::get<RecordRequest>(record.second);
        foreign.dispatcher = otherDispatcher;
        harness.controller->handlePeerMessage(otherDispatcher, foreign, harness.now);
        auto const reply = std::get<RecordReply>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(reply.verdict == RecordVerdict::AlreadyRecorded);
    }

    // Guards against retries outside the budget, and against a late Shed of an old try that ends the new one.
    void retryAfterShedHasItsOwnTry()
    {
        Harness harness;
        harness.sendIdempotent(1);
        harness.shed(harness.runs().at(0));
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::TargetShed); // No budget yet.
        for (std::uint64_t number = 2; number <= 11; ++number) {
            harness.sendIdempotent(number);
            if (number < 11)
                harness.answer(harness.runs().back());
        }
        auto const shedRun = harness.runs().back();
        harness.shed(shedRun);
        harness.tickFor(100ms);
        CPPUNIT_ASSERT(harness.runs().back().key == shedRun.key);
        CPPUNIT_ASSERT(harness.runs().back().tryId != shedRun.tryId);
        harness.shed(shedRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        CPPUNIT_ASSERT_EQUAL(1U, harness.busySlots());
    }

    // Guards against starts above a limit that was lowered while tries were under way.
    void slotLimitHoldsWhenItShrinks()
    {
        Harness harness(4);
        for (std::uint64_t number = 1; number <= 6; ++number)
            harness.sendIdempotent(number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.runs().size());
        harness.setView(1);
        for (std::size_t ended = 0; ended < 4; ++ended) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.runs().size());
            harness.answer(harness.runs()[ended]);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, harness.runs().size());
    }

    // Guards against a try that is lost with one datagram, and against a slot that is given away while the
    // target may still work on an overdue request.
    void silentTryIsRepeatedAndKeepsItsSlot()
    {
        Harness harness;
        harness.sendIdempotent(1);
        harness.tickFor(1s);
        CPPUNIT_ASSERT(harness.runs().size() >= 4);
        CPPUNIT_ASSERT(harness.runs().front().tryId == harness.runs().back().tryId);
        harness.tickFor(2s);
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::DeadlinePassed);
        harness.tickFor(3900ms);
        CPPUNIT_ASSERT_EQUAL(1U, harness.busySlots());
        harness.tickFor(300ms);
        CPPUNIT_ASSERT_EQUAL(0U, harness.busySlots());
    }

    // Guards against a try that is repeated at, or believed shed by, a target process that did not get it,
    // and against a slot given away while a repeat may run at the new process.
    void restartedTargetEndsItsTries()
    {
        Harness harness;
        harness.send(Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::Stored);
        harness.tickFor(1100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.runs().size());
        harness.setView(2, TargetState::Warm, otherDispatcher, 2);
        harness.tickFor(20ms);
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::TargetLost);
        CPPUNIT_ASSERT_EQUAL(1U, harness.busySlots());
        harness.shed(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(0U, harness.busySlots());

        harness.send(Harness::request(2, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::Stored);
        harness.tickFor(1s);
        harness.shed(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.unknowns().size());
        CPPUNIT_ASSERT(harness.refusals().empty());
    }

    // Guards against two outcomes for a cancelled request, and against NotRun for one that has started.
    void cancelledRequestsEndOnce()
    {
        Harness harness(1);
        auto const cancel = [&](Request const &request) {
            harness.controller->handleCancel(callerEndpoint, {.key = request.key, .tryId = 0}, 0,
                                             harness.now);
        };
        auto const running = harness.sendIdempotent(1);
        auto const queued = harness.sendIdempotent(2);
        cancel(queued);
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::Cancelled);
        cancel(running);
        CPPUNIT_ASSERT(std::holds_alternative<CancelRequest>(harness.toTarget.back()));
        harness.shed(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.refusals().size());
        CPPUNIT_ASSERT_EQUAL(0U, harness.busySlots());
        auto const begun = harness.sendIdempotent(3);
        harness.started(harness.runs().back());
        cancel(begun);
        harness.tickFor(600ms);
        harness.shed(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.refusals().size());
    }

    // Guards against NotRun for an expired resend whose first send may have run.
    void expiredRequestsGetTrueOutcomes()
    {
        Harness harness;
        auto request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        request.timeLeft = Duration::zero();
        harness.send(request);
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::DeadlinePassed);
        request.key.number = 2;
        request.attempt = 2;
        harness.send(request);
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::DeadlinePassed);
        request.idempotency = Idempotency::Idempotent;
        request.key.number = 3;
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.refusals().size());
    }

    // Guards against a late first send that runs after a resend of it was located from elsewhere.
    void locateReplyIsAPromise()
    {
        Harness harness;
        auto const request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        harness.controller->handlePeerMessage(otherDispatcher, Locate{.key = request.key}, harness.now);
        CPPUNIT_ASSERT(std::get<LocateReply>(harness.toInstance.back().second).verdict
                       == LocateVerdict::NotKnown);
        harness.send(request);
        CPPUNIT_ASSERT(harness.toInstance.back().first == otherDispatcher);
        CPPUNIT_ASSERT(std::holds_alternative<Forwarded>(harness.toInstance.back().second));
        RecordRequest const foreign{
            .key = request.key, .target = secondTarget, .dispatcher = member, .tryId = 1, .keepFor = 30s};
        harness.controller->handlePeerMessage(member, foreign, harness.now);
        CPPUNIT_ASSERT(std::get<RecordReply>(harness.toInstance.back().second).verdict
                       == RecordVerdict::AlreadyRecorded);
        CPPUNIT_ASSERT(harness.runs().empty());
    }

    // Guards against a second run because a restarted member of the group says that it knows nothing.
    void youngMemberDoesNotVouch()
    {
        RequestSettings settings;
        settings.startedAt = Timestamp{999s};
        Harness harness(2, settings);
        RequestKey const key{.service = ServiceId{1}, .caller = 9, .number = 1};
        harness.controller->handlePeerMessage(otherDispatcher, Locate{.key = key}, harness.now);
        auto const reply = std::get<RecordReply>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(reply.verdict == RecordVerdict::Refused && reply.tryId == 0);
        harness.now += settings.memoryGap;
        harness.controller->handlePeerMessage(otherDispatcher, Locate{.key = key}, harness.now);
        CPPUNIT_ASSERT(std::holds_alternative<LocateReply>(harness.toInstance.back().second));
    }

    // Guards against NotRun, and against a late run, by an instance that was paused or cut off while another
    // one may have run the request.
    void pausedDispatcherIsNotCertain()
    {
        Harness harness;
        auto request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        harness.send(request);
        request.key.number = 2;
        request.attempt = 2;
        harness.send(request);
        harness.now += 5s;
        for (InstanceId const from : {member, otherDispatcher})
            harness.controller->handlePeerMessage(
                from, LocateReply{.key = request.key, .verdict = LocateVerdict::NotKnown}, harness.now);
        harness.controller->tick(harness.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.unknowns().size());
        harness.board.ownStatus.update([](OwnStatus status) {
            status.lease = LeaseState::Expired;
            return status;
        });
        harness.send(Harness::request(3, RequestClass::Urgent, Idempotency::NonIdempotent));
        CPPUNIT_ASSERT(harness.unknowns().back().reason == Reason::LeaseExpired);
        CPPUNIT_ASSERT(harness.refusals().empty());
        harness.sendIdempotent(4);
        CPPUNIT_ASSERT(harness.refusals().back().reason == Reason::LeaseExpired);
        CPPUNIT_ASSERT(harness.runs().empty());
    }

    // Guards against a repeated NotRun although an instance that dispatched in between has run a resend.
    void formerRefusalIsNotRepeatedAfterTakeover()
    {
        Harness harness;
        auto request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        request.timeLeft = Duration::zero();
        harness.send(request);
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.refusals().size());
        harness.now += 10s;
        harness.controller->handleTakeover(firstTarget, harness.now);
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.refusals().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
    }

    // Guards against two runs of one first send that the network delivered twice, to instances whose bucket
    // tables differ.
    void differentTablesAreLocated()
    {
        Harness harness;
        harness.setView(2, TargetState::Warm, self);
        auto const request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        harness.controller->handleRequest(callerEndpoint, request, secondTarget, ForwardPurpose::Deliver, 0,
                                          harness.now);
        CPPUNIT_ASSERT(std::holds_alternative<Locate>(harness.toInstance.back().second));
    }

    // Guards against a spilled request that runs here, too, when it is sent again.
    void spilledRequestsStayThere()
    {
        Harness harness(1);
        for (std::uint64_t number = 1; number <= 17; ++number)
            harness.sendIdempotent(number);
        auto const request = Harness::request(18, RequestClass::Urgent, Idempotency::NonIdempotent);
        harness.send(request, 0);
        auto const spilled = std::get<Forwarded>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(harness.toInstance.back().first == otherDispatcher);
        CPPUNIT_ASSERT(spilled.purpose == ForwardPurpose::Spill);
        CPPUNIT_ASSERT(spilled.candidates == std::vector{secondTarget});
        for (RunRequest const &run : harness.runs())
            harness.answer(run);
        harness.toInstance.clear();
        harness.send(request, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.toInstance.size());
        auto const passedOn = std::get<Forwarded>(harness.toInstance.back().second);
        CPPUNIT_ASSERT_EQUAL(2U, std::get<Request>(passedOn.message).attempt);
        harness.sendIdempotent(19);
        CPPUNIT_ASSERT(!harness.controller->isKnown(request.key));
        // Without a hop left a full queue refuses.
        for (std::uint64_t number = 20; number <= 40; ++number)
            harness.sendIdempotent(number);
        CPPUNIT_ASSERT(harness.refusals().back().reason == Reason::QueueFull);
    }

    // Guards against new work at a draining target, and against refusing what another target could run.
    void drainingTargetGetsNoQueuedWork()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        harness.send(Harness::request(2, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::Stored);
        auto const firstRecord = std::get<RecordRequest>(harness.toInstance.back().second);
        harness.sendIdempotent(3);
        harness.setView(1, TargetState::Draining, self);
        harness.tickFor(20ms);
        auto const secondRecord = std::get<RecordRequest>(harness.toInstance.back().second);
        CPPUNIT_ASSERT_EQUAL(firstRecord.tryId, secondRecord.tryId);
        CPPUNIT_ASSERT(secondRecord.target == secondTarget);
        harness.replyToRecord(RecordVerdict::Stored);
        harness.answer(harness.runs().at(0));
        harness.tickFor(20ms);
        // The other target has one slot: the older request runs there, the younger one is refused.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.runs().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.runs().at(1).key.number);
        CPPUNIT_ASSERT(harness.refusals().empty() || harness.refusals().at(0).reason == Reason::NoTarget);
    }

    // Guards against a former dispatcher that starts a request which outlasts the time for which its
    // successor counts the slots as busy.
    void formerDispatcherStartsNoLongWork()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        auto request = Harness::request(2, RequestClass::Urgent, Idempotency::Idempotent);
        request.timeLeft = 10s;
        harness.send(request);
        harness.board.routingView.update([](RoutingView view) {
            auto routes = *view.services.at(ServiceId{1});
            routes.targets[0].dispatcher = otherDispatcher;
            view.services[ServiceId{1}] = std::make_shared<ServiceRoutes const>(routes);
            return view;
        });
        harness.answer(harness.runs().at(0));
        harness.tickFor(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());
        CPPUNIT_ASSERT(harness.toInstance.back().first == otherDispatcher);
        CPPUNIT_ASSERT(std::holds_alternative<Forwarded>(harness.toInstance.back().second));
    }

    // Guards against a second run, or another outcome, for the resend of a request that has ended.
    void finalOutcomeIsRepeated()
    {
        Harness harness;
        auto request = harness.sendIdempotent(1);
        harness.answer(harness.runs().at(0), 3);
        request.attempt = 2;
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Harness::only<AnswerPart>(harness.toCaller).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());
        harness.controller->handleResendParts(
            callerEndpoint, {.key = request.key, .tryId = harness.runs()[0].tryId, .parts = {1}}, 0,
            harness.now);
        CPPUNIT_ASSERT_EQUAL(1U, Harness::only<AnswerPart>(harness.toCaller).back().part);
        harness.answer(harness.runs().at(0), 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Harness::only<AnswerPart>(harness.toCaller).size());
    }

    // Guards against unbounded memory for answers, and against a second run after an answer was dropped.
    void droppedAnswersAreUnknown()
    {
        RequestSettings settings;
        settings.keptAnswerBytes = 5'000;
        Harness harness(2, settings);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            harness.send(Harness::request(number, RequestClass::Urgent, Idempotency::NonIdempotent));
            harness.replyToRecord(RecordVerdict::Stored);
            harness.answer(harness.runs().back());
            harness.tickFor(1s);
            CPPUNIT_ASSERT(harness.board.keptAnswers.read()->bytes <= settings.keptAnswerBytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, harness.runs().size());
        auto resend = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        resend.attempt = 2;
        harness.send(resend);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
        resend.key.number = 10;
        harness.send(resend);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, Harness::only<AnswerPart>(harness.toCaller).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, harness.runs().size());
    }

    // Guards against an answer that never completes because one of its parts was lost.
    void gapsAreAskedFor()
    {
        Harness harness;
        harness.sendIdempotent(1);
        auto const run = harness.runs().at(0);
        harness.controller->handleTargetMessage(
            endpointOf(firstTarget),
            AnswerPart{.key = run.key, .tryId = run.tryId, .part = 2, .payload = "last"}, harness.now);
        harness.tickFor(300ms);
        auto const asked = Harness::only<ResendParts>(harness.toTarget);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
        CPPUNIT_ASSERT(asked[0].parts == (std::vector<std::uint32_t>{0, 1}));
    }

    // Guards against an urgent part that waits behind more than one bulk part.
    void urgentPartsPassBulkParts()
    {
        Harness harness;
        harness.sendIdempotent(1, RequestClass::Bulk);
        harness.answer(harness.runs().at(0), 50);
        CPPUNIT_ASSERT(harness.toCaller.empty());
        auto const next = harness.controller->sendNextBulkPart(harness.now);
        CPPUNIT_ASSERT(next && *next > harness.now);
        CPPUNIT_ASSERT(harness.controller->sendNextBulkPart(harness.now) == next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.toCaller.size());
        harness.sendIdempotent(2);
        harness.answer(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::get<AnswerPart>(harness.toCaller.at(1)).key.number);
        CPPUNIT_ASSERT(!harness.controller->isIdle());
        for (auto due = next; due; due = harness.controller->sendNextBulkPart(*due))
            harness.now = *due;
        CPPUNIT_ASSERT_EQUAL(std::size_t{51}, harness.toCaller.size());
        CPPUNIT_ASSERT(harness.controller->isIdle());
    }

    // Guards against a planned stop that cuts off requests, or that never ends because new ones arrive.
    void stopFinishesWhatIsQueued()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        harness.sendIdempotent(2);
        harness.controller->beginStop(harness.now);
        harness.sendIdempotent(3);
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::InstanceStopping);
        harness.answer(harness.runs().at(0));
        CPPUNIT_ASSERT(!harness.controller->isIdle());
        harness.answer(harness.runs().at(1));
        CPPUNIT_ASSERT(harness.controller->isIdle());
    }

    // Guards against a new dispatcher that overloads a target which still works for the former one.
    void takeoverCountsAllSlots()
    {
        Harness harness;
        RecordRequest record{.key = {.service = ServiceId{1}, .caller = 2, .number = 1},
                             .target = firstTarget,
                             .dispatcher = otherDispatcher,
                             .tryId = 1,
                             .keepFor = 8s + 30s};
        harness.controller->handlePeerMessage(otherDispatcher, record, harness.now);
        harness.controller->handleTakeover(firstTarget, harness.now);
        auto request = Harness::request(1, RequestClass::Urgent, Idempotency::Idempotent);
        request.timeLeft = 20s;
        harness.send(request);
        harness.tickFor(7900ms);
        CPPUNIT_ASSERT(harness.runs().empty());
        harness.tickFor(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());
    }

    // Guards against request records, replica records and claims that stay for ever.
    void nothingIsKeptForEver()
    {
        Harness harness;
        harness.tickFor(20ms);
        harness.send(Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::Stored);
        harness.answer(harness.runs().at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.controller->bucketsInUse(firstTarget).size());
        for (int second = 0; second < 100; ++second, harness.now += 1s)
            harness.controller->tick(harness.now);
        CPPUNIT_ASSERT(harness.controller->bucketsInUse(firstTarget).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.board.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.board.replicaRecords.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.board.expiringRequests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.board.keptAnswers.read()->bytes);
    }

    // Guards against slots that are lost or used twice, and against double outcomes, when several threads
    // deliver copies of the same messages. Run under ThreadSanitizer it guards against data races.
    void threadsShareOneController()
    {
        constexpr std::uint64_t requestCount = 400;
        Harness harness(4);
        auto const work = [&](std::uint64_t start) {
            for (std::uint64_t step = 0; step < requestCount; ++step) {
                harness.sendIdempotent(1 + (start + step) % requestCount);
                std::vector<RunRequest> runs;
                {
                    std::scoped_lock const lock(harness.mutex);
                    runs = harness.runs();
                }
                std::size_t const first = runs.size() > 8 ? runs.size() - 8 : 0;
                for (std::size_t index = first; index < runs.size(); ++index)
                    harness.answer(runs[index]);
                harness.controller->tick(harness.now);
            }
        };
        {
            std::vector<std::jthread> threads;
            for (std::uint64_t thread = 0; thread < 4; ++thread)
                threads.emplace_back(work, thread * 3);
        }
        for (RunRequest const &run : harness.runs())
            harness.answer(run);
        CPPUNIT_ASSERT_EQUAL(0U, harness.busySlots());
        CPPUNIT_ASSERT(harness.controller->isIdle());
        std::set<RequestKey> started;
        for (RunRequest const &run : harness.runs())
            CPPUNIT_ASSERT(started.insert(run.key).second);
        std::set<RequestKey> refused;
        for (NotRun const &refusal : harness.refusals())
            refused.insert(refusal.key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{requestCount}, started.size() + refused.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestControllerTest);

} // namespace almondwing
