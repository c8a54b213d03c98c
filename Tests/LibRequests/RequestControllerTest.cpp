// Tests one controller whose hooks store the sent messages: replica records, tries, slots, expiry and stop.

#include "Harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace almondwing {

class RequestControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestControllerTest);
    CPPUNIT_TEST(runWaitsForSecondRecord);
    CPPUNIT_TEST(missedQuorumReleasesRecords);
    CPPUNIT_TEST(retryAfterShedGetsNewTryId);
    CPPUNIT_TEST(loweredSlotLimitHolds);
    CPPUNIT_TEST(silentTryIsRetransmittedAndKeepsSlot);
    CPPUNIT_TEST(targetRestartEndsTries);
    CPPUNIT_TEST(cancelledRequestsEndOnce);
    CPPUNIT_TEST(expiredRequestsGetCorrectOutcomes);
    CPPUNIT_TEST(drainingTargetGetsNoQueuedWork);
    CPPUNIT_TEST(targetInTakenOutDomainGetsNoPackets);
    CPPUNIT_TEST(stopFinishesQueuedRequests);
    CPPUNIT_TEST(stoppingInstanceForwardsNewRequests);
    CPPUNIT_TEST(requestNearDeadlineIsNotStarted);
    CPPUNIT_TEST(recordsExpire);
    CPPUNIT_TEST(concurrentThreadsShareController);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a run whose only record is lost when the dispatcher dies.
    void runWaitsForSecondRecord()
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

    // Guards against a NotRun that does not release the replica records, and against a late RecordReply that
    // starts the refused request.
    void missedQuorumReleasesRecords()
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
        // The released replica record keeps other dispatchers from recording the request.
        RecordRequest foreign = std::get<RecordRequest>(record.second);
        foreign.dispatcher = otherDispatcher;
        harness.controller->handlePeerMessage(otherDispatcher, foreign, harness.now);
        auto const reply = std::get<RecordReply>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(reply.verdict == RecordVerdict::AlreadyRecorded);
    }

    // Guards against retries beyond the retry budget, and against a late Shed of an earlier try that ends the
    // current one.
    void retryAfterShedGetsNewTryId()
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

    // Guards against exceeding a slot limit that was lowered while tries were running.
    void loweredSlotLimitHolds()
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

    // Guards against a try that is lost with one datagram, and against a slot that is released while the
    // target may still run an overdue request.
    void silentTryIsRetransmittedAndKeepsSlot()
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

    // Guards against a non-idempotent try that is retransmitted to a restarted target process, against a Shed
    // of that process that is taken as proof that the try did not run, and against releasing a slot while a
    // retransmission may run at the new process.
    void targetRestartEndsTries()
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
        // The former process may have run an idempotent request as well.
        harness.sendIdempotent(3);
        harness.tickFor(1s);
        harness.shed(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.unknowns().size());
        CPPUNIT_ASSERT(harness.refusals().empty());
    }

    // Guards against two outcomes of a cancelled request, and against NotRun for one that has started.
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
        // A target that confirms the end of a try has a free slot long before the deadline of the try.
        auto const ended = harness.sendIdempotent(4);
        cancel(ended);
        RunRequest const run = harness.runs().back();
        harness.controller->handleTargetMessage(endpointOf(firstTarget),
                                                RunEnded{.key = run.key, .tryId = run.tryId}, harness.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.unknowns().size());
        CPPUNIT_ASSERT(harness.unknowns().back().reason == Reason::Cancelled);
        CPPUNIT_ASSERT_EQUAL(0U, harness.busySlots());
    }

    // Guards against NotRun for an expired resend whose first send may have run.
    void expiredRequestsGetCorrectOutcomes()
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.unknowns().size());
    }

    // Guards against new requests at a draining target, and against refusing requests that another target
    // could run.
    void drainingTargetGetsNoQueuedWork()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        harness.send(Harness::request(2, RequestClass::Urgent, Idempotency::NonIdempotent));
        harness.replyToRecord(RecordVerdict::Stored);
        auto const initialRecord = std::get<RecordRequest>(harness.toInstance.back().second);
        harness.sendIdempotent(3);
        harness.setView(1, TargetState::Draining, self);
        harness.tickFor(20ms);
        auto const secondRecord = std::get<RecordRequest>(harness.toInstance.back().second);
        CPPUNIT_ASSERT_EQUAL(initialRecord.tryId, secondRecord.tryId);
        CPPUNIT_ASSERT(secondRecord.target == secondTarget);
        harness.replyToRecord(RecordVerdict::Stored);
        harness.answer(harness.runs().at(0));
        harness.tickFor(20ms);
        // The other target has one slot: the older request runs there, the younger one waits or is
        // refused.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.runs().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.runs().at(1).key.number);
        CPPUNIT_ASSERT(harness.refusals().empty() || harness.refusals().at(0).reason == Reason::NoTarget);
    }

    // Guards against queued requests, retransmissions and cancellations that reach a failure domain after
    // operators have taken it out.
    void targetInTakenOutDomainGetsNoPackets()
    {
        Harness harness(2);
        harness.sendIdempotent(1);
        harness.sendIdempotent(2);
        harness.send(Harness::request(3, RequestClass::Urgent, Idempotency::Idempotent), 0);
        auto const runs = harness.runs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
        harness.takeOutFirstDomain();
        std::size_t const sentBefore = harness.toTarget.size();
        std::size_t const forwardedBefore = harness.toInstance.size();
        harness.tickFor(100ms);
        // The waiting request is forwarded to the target of the other failure domain.
        CPPUNIT_ASSERT(harness.toInstance.size() > forwardedBefore);
        // An answer that is in transit still reaches its caller.
        harness.answer(runs.at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Harness::messagesOf<AnswerPart>(harness.toCaller).size());
        // The unanswered try is neither retransmitted nor cancelled and ends at its deadline with
        // OutcomeUnknown.
        harness.tickFor(5s);
        CPPUNIT_ASSERT_EQUAL(sentBefore, harness.toTarget.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.unknowns().at(0).key.number);
    }

    // Guards against a planned stop that aborts requests, or that never ends because new ones arrive.
    void stopFinishesQueuedRequests()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        harness.sendIdempotent(2);
        harness.controller->beginStop(harness.now);
        harness.send(Harness::request(3, RequestClass::Urgent, Idempotency::Idempotent),
                     RequestSettings{}.maxForwardHops);
        CPPUNIT_ASSERT(harness.refusals().at(0).reason == Reason::InstanceStopping);
        harness.answer(harness.runs().at(0));
        CPPUNIT_ASSERT(!harness.controller->isIdle());
        harness.answer(harness.runs().at(1));
        CPPUNIT_ASSERT(harness.controller->isIdle());
    }

    // Guards against a planned stop that refuses requests which arrive before other instances know of the
    // stop, although another target can take them.
    void stoppingInstanceForwardsNewRequests()
    {
        Harness harness(1);
        harness.controller->beginStop(harness.now);
        for (auto const idempotency : {Idempotency::Idempotent, Idempotency::NonIdempotent}) {
            std::uint64_t const number = idempotency == Idempotency::Idempotent ? 1 : 2;
            // The first request arrives directly, the second one after a search at other instances.
            std::uint8_t const hops = number == 1 ? 0 : RequestSettings{}.maxForwardHops - 1;
            harness.send(Harness::request(number, RequestClass::Bulk, idempotency), hops);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(number), harness.toInstance.size());
            auto const &[receiver, message] = harness.toInstance.back();
            CPPUNIT_ASSERT(receiver == otherDispatcher);
            auto const &forwarded = std::get<Forwarded>(message);
            CPPUNIT_ASSERT(forwarded.purpose == ForwardPurpose::Spill);
            CPPUNIT_ASSERT_EQUAL(number, std::get<Request>(forwarded.message).key.number);
        }
        CPPUNIT_ASSERT(harness.refusals().empty());
        CPPUNIT_ASSERT(harness.runs().empty());
        CPPUNIT_ASSERT(harness.controller->isIdle());
    }

    // Guards against a waiting request that takes a slot shortly before its deadline and ends without an
    // answer.
    void requestNearDeadlineIsNotStarted()
    {
        // A target with one slot is idle after each run.
        for (std::uint32_t const slots : {1U, 2U}) {
            Harness harness(slots);
            for (std::uint64_t number = 1; number <= slots + 2; ++number)
                harness.sendIdempotent(number);
            auto const runs = harness.runs();
            CPPUNIT_ASSERT_EQUAL(std::size_t{slots}, runs.size());
            for (RunRequest const &run : runs)
                harness.started(run);
            harness.tickFor(1500ms);
            harness.answer(runs.at(0)); // Now the service time is known; the other requests have 500 ms left.
            harness.tickFor(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{slots}, harness.runs().size());
            // Nothing prevents a resend of these idempotent requests from running at another instance.
            CPPUNIT_ASSERT(harness.refusals().empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.unknowns().size());
            for (OutcomeUnknown const &unknown : harness.unknowns())
                CPPUNIT_ASSERT(unknown.reason == Reason::DeadlinePassed);
        }
    }

    // Guards against request records, replica records and claims that never expire.
    void recordsExpire()
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.board.storedAnswers.read()->bytes);
    }

    // Guards against slots that leak or are used twice, and against two outcomes of a request, when several
    // threads deliver copies of the same messages. Under ThreadSanitizer it also guards against data races.
    void concurrentThreadsShareController()
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
