// Tests one controller with recording hooks: locating, spills and changes of the dispatcher.

#include "Harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace almondwing {

class RequestTakeoverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTakeoverTest);
    CPPUNIT_TEST(locateReplyPreventsLaterRun);
    CPPUNIT_TEST(restartedMemberIsNotAuthoritative);
    CPPUNIT_TEST(pausedDispatcherReportsUnknown);
    CPPUNIT_TEST(refusalBecomesUnknownAfterTakeover);
    CPPUNIT_TEST(bucketTableMismatchIsLocated);
    CPPUNIT_TEST(resendFollowsSpilledRequest);
    CPPUNIT_TEST(endedSearchFindsSpilledRequest);
    CPPUNIT_TEST(forwardingLoopEndsAsUnknown);
    CPPUNIT_TEST(spilledRequestStaysUncertain);
    CPPUNIT_TEST(shedOfUncertainRequestIsUnknown);
    CPPUNIT_TEST(expiredIdempotentRequestIsUnknown);
    CPPUNIT_TEST(lateShedOfIdempotentRequestIsUnknown);
    CPPUNIT_TEST(oldIdempotentRefusalBecomesUnknown);
    CPPUNIT_TEST(formerDispatcherStartsNoLongRequest);
    CPPUNIT_TEST(takeoverCountsAllSlotsAsBusy);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a late first send that runs after another instance has located a resend of it.
    void locateReplyPreventsLaterRun()
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

    // Guards against a second run because a restarted member of the replica group, which has lost its
    // records, answers that it does not know the request.
    void restartedMemberIsNotAuthoritative()
    {
        RequestSettings settings;
        settings.startedAt = Timestamp{999s};
        Harness harness(2, settings);
        RequestKey const key{.service = ServiceId{1}, .caller = 9, .number = 1};
        harness.controller->handlePeerMessage(otherDispatcher, Locate{.key = key}, harness.now);
        auto const reply = std::get<RecordReply>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(reply.verdict == RecordVerdict::Refused && reply.tryId == 0);
        harness.now += settings.authoritativeAfter;
        harness.controller->handlePeerMessage(otherDispatcher, Locate{.key = key}, harness.now);
        CPPUNIT_ASSERT(std::holds_alternative<LocateReply>(harness.toInstance.back().second));
    }

    // Guards against NotRun, and against a late run, by an instance that was paused or isolated while another
    // one may have run the request.
    void pausedDispatcherReportsUnknown()
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
        harness.sendIdempotent(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.unknowns().size());
        CPPUNIT_ASSERT(harness.unknowns().back().reason == Reason::LeaseExpired);
        CPPUNIT_ASSERT(harness.refusals().empty());
        CPPUNIT_ASSERT(harness.runs().empty());
    }

    // Guards against sending NotRun again although an instance that was the dispatcher in between has run a
    // resend.
    void refusalBecomesUnknownAfterTakeover()
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

    // Guards against two runs of a first send of which the network delivered two copies to instances whose
    // bucket tables differ.
    void bucketTableMismatchIsLocated()
    {
        Harness harness;
        harness.setView(2, TargetState::Warm, self);
        auto const request = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        harness.controller->handleRequest(
            {.caller = callerEndpoint, .request = request, .target = secondTarget}, harness.now);
        CPPUNIT_ASSERT(std::holds_alternative<Locate>(harness.toInstance.back().second));
    }

    // Guards against a second run, at this instance, of a spilled request that the caller resends.
    void resendFollowsSpilledRequest()
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
        auto const forwarded = std::get<Forwarded>(harness.toInstance.back().second);
        CPPUNIT_ASSERT_EQUAL(2U, std::get<Request>(forwarded.message).attempt);
        harness.sendIdempotent(19);
        CPPUNIT_ASSERT(!harness.controller->isServedHere(request.key));
        // A request that has no hops left is refused if the queue is full.
        for (std::uint64_t number = 20; number <= 40; ++number)
            harness.sendIdempotent(number);
        CPPUNIT_ASSERT(harness.refusals().back().reason == Reason::QueueFull);
        // A request that was spilled to this instance is refused and not spilled back, because its origin
        // would only forward it here again.
        harness.toInstance.clear();
        auto const arrived = Harness::request(41, RequestClass::Urgent, Idempotency::Idempotent);
        harness.controller->handleRequest({.caller = callerEndpoint,
                                           .request = arrived,
                                           .target = firstTarget,
                                           .purpose = ForwardPurpose::Spill,
                                           .hops = 1,
                                           .origin = otherDispatcher},
                                          harness.now);
        CPPUNIT_ASSERT(harness.toInstance.empty());
        CPPUNIT_ASSERT(harness.refusals().back().key == arrived.key);
    }

    // Makes the instance spill a request and empties its queue. Returns a resend of the request.
    static Request spilledRequest(Harness &harness)
    {
        for (std::uint64_t number = 1; number <= 17; ++number)
            harness.sendIdempotent(number);
        Request request = Harness::request(18, RequestClass::Urgent, Idempotency::Idempotent);
        harness.send(request, 0);
        CPPUNIT_ASSERT(std::get<Forwarded>(harness.toInstance.back().second).purpose
                       == ForwardPurpose::Spill);
        for (std::size_t ended = 0; ended < harness.runs().size(); ++ended)
            harness.answer(harness.runs()[ended]);
        harness.toInstance.clear();
        request.attempt = 2;
        return request;
    }

    static void deliverResend(Harness &harness, Request const &resend, ForwardPurpose purpose,
                              std::uint8_t hops, InstanceId origin)
    {
        harness.controller->handleRequest({.caller = callerEndpoint,
                                           .request = resend,
                                           .target = firstTarget,
                                           .purpose = purpose,
                                           .hops = hops,
                                           .origin = origin},
                                          harness.now);
    }

    // Guards against OutcomeUnknown for a request that runs at the instance that it was spilled to. A resend
    // is searched for at the instances that claim its bucket, and that instance need not be among them.
    void endedSearchFindsSpilledRequest()
    {
        Harness harness(1);
        Request const resend = spilledRequest(harness);
        deliverResend(harness, resend, ForwardPurpose::SearchEnded, 6, self);
        CPPUNIT_ASSERT(harness.unknowns().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.toInstance.size());
        CPPUNIT_ASSERT(harness.toInstance.back().first == otherDispatcher);
        auto const forwarded = std::get<Forwarded>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(forwarded.purpose == ForwardPurpose::Spill);
        CPPUNIT_ASSERT(forwarded.hops <= RequestSettings{}.maxForwardHops);
    }

    // Guards against two copies of a request that instances forward to each other in a loop: a copy that is
    // still in transit could be refused with NotRun after the other one has run.
    void forwardingLoopEndsAsUnknown()
    {
        Harness harness(1);
        Request const resend = spilledRequest(harness);
        std::size_t const runs = harness.runs().size();
        deliverResend(harness, resend, ForwardPurpose::Spill, RequestSettings{}.maxForwardHops,
                      otherDispatcher);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
        CPPUNIT_ASSERT_EQUAL(runs, harness.runs().size());
        CPPUNIT_ASSERT(harness.toInstance.empty());
    }

    // Guards against NotRun for an idempotent request that the predecessor may have run, sent by the instance
    // that the request was spilled to.
    void spilledRequestStaysUncertain()
    {
        Harness harness(1);
        harness.controller->handleTakeover(firstTarget, harness.now);
        harness.send(Harness::request(1, RequestClass::Urgent, Idempotency::Idempotent), 0);
        auto const spilled = std::get<Forwarded>(harness.toInstance.back().second);
        CPPUNIT_ASSERT(spilled.purpose == ForwardPurpose::Spill);
        CPPUNIT_ASSERT_EQUAL(2U, std::get<Request>(spilled.message).attempt);
    }

    // Guards against NotRun for a resend whose try was shed or cancelled before it ran, because an earlier
    // attempt may run at another target that the bucket belonged to.
    // RequestFaultsTest::outcomesAreCorrectUnderAnyFaults covers the same failure with random faults.
    void shedOfUncertainRequestIsUnknown()
    {
        Harness harness;
        Request resend = Harness::request(1, RequestClass::Urgent, Idempotency::Idempotent);
        resend.attempt = 2;
        harness.send(resend);
        harness.shed(harness.runs().at(0));
        CPPUNIT_ASSERT(harness.refusals().empty());
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::TargetShed);
    }

    // Guards against NotRun for an idempotent request that waited at this instance while a resend ran at the
    // target that its bucket has moved to. RequestFaultsTest::outcomesAreCorrectUnderAnyFaults covers the
    // same failure with random faults.
    void expiredIdempotentRequestIsUnknown()
    {
        Harness harness(1);
        harness.sendIdempotent(1);
        harness.sendIdempotent(2);
        Request expired = Harness::request(3, RequestClass::Urgent, Idempotency::Idempotent);
        expired.timeLeft = Duration::zero();
        harness.send(expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size()); // No time for a resend.
        harness.tickFor(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        auto const unknowns = harness.unknowns();
        CPPUNIT_ASSERT(std::ranges::any_of(unknowns, [](OutcomeUnknown const &unknown) {
            return unknown.key.number == 2 && unknown.reason == Reason::DeadlinePassed;
        }));
    }

    // Guards against NotRun if the target sheds an idempotent request so late that a resend may have run at
    // another target. A Shed that arrives before the caller can have sent a resend must still end in NotRun.
    void lateShedOfIdempotentRequestIsUnknown()
    {
        RequestSettings settings;
        settings.maxTries = 1;
        Harness harness(2, settings);
        harness.sendIdempotent(1);
        harness.sendIdempotent(2);
        harness.shed(harness.runs().at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        harness.now += settings.minResendDelay;
        harness.shed(harness.runs().at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        CPPUNIT_ASSERT(harness.unknowns().at(0).reason == Reason::TargetShed);
    }

    // Guards against sending NotRun again although an attempt between the refused and the current one has run
    // at another instance. RequestFaultsTest::outcomesAreCorrectUnderAnyFaults covers the same failure with
    // random faults.
    void oldIdempotentRefusalBecomesUnknown()
    {
        RequestSettings const settings;
        Harness harness(2, settings);
        Request request = Harness::request(1, RequestClass::Urgent, Idempotency::Idempotent);
        request.timeLeft = Duration::zero();
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        harness.now += settings.minResendDelay;
        request.attempt = 3;
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.refusals().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
    }

    // Guards against a former dispatcher that starts a request whose deadline is after the time for which its
    // successor counts the slots as busy.
    void formerDispatcherStartsNoLongRequest()
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

    // Guards against a new dispatcher that overloads a target which still runs requests of the former one.
    void takeoverCountsAllSlotsAsBusy()
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTakeoverTest);

} // namespace almondwing
