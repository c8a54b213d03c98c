// Property tests of request outcomes on lossy links and with failures of instances and targets.

#include "FakeCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration settleTime = 15s;

RequestClass randomClass(FakeCluster &cluster)
{
    return static_cast<RequestClass>(cluster.randomBelow(3));
}

// Sends mostly non-idempotent requests. Their deadlines are within the 5 s for which a new dispatcher counts
// all slots as busy.
void sendRandom(FakeCluster &cluster)
{
    auto const idempotency =
        cluster.randomBelow(4) == 0 ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    cluster.send(randomClass(cluster), idempotency, 500ms + Duration(cluster.randomBelow(3'500'000)));
}

void injectFault(FakeCluster &cluster)
{
    std::size_t const index = cluster.randomBelow(cluster.instances.size());
    switch (cluster.randomBelow(7)) {
    case 0:
        cluster.kill(index);
        break;
    case 1:
        cluster.restart(index);
        break;
    case 2:
        cluster.pause(index, 200ms + Duration(cluster.randomBelow(6'000'000)));
        break;
    case 3:
        cluster.restartTarget(cluster.randomBelow(cluster.targets.size()));
        break;
    case 4:
        cluster.moveBuckets();
        break;
    case 5:
        cluster.isolate(index, Duration(cluster.randomBelow(1'500'000)));
        break;
    default:
        break;
    }
}

void checkInvariants(FakeCluster const &cluster)
{
    RC_ASSERT(cluster.firstViolation() == std::string());
}

} // namespace

class RequestFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestFaultsTest);
    CPPUNIT_TEST(outcomesAreCorrectOnLossyLinks);
    CPPUNIT_TEST(outcomesAreCorrectUnderAnyFaults);
    CPPUNIT_TEST(requestOfKilledDispatcherIsUnknown);
    CPPUNIT_TEST(plannedStopCompletesRequests);
    CPPUNIT_TEST(singleReplicaRefusesOnlyNonIdempotent);
    CPPUNIT_TEST_SUITE_END();

    // Guards against double runs and wrong outcomes that are caused only by lost, late, duplicated and
    // reordered messages.
    void outcomesAreCorrectOnLossyLinks()
    {
        bool const holds = rc::check("lossy links", [] {
            FaultRates const faults{.lostPercent = *rc::gen::inRange(0U, 30U),
                                    .duplicatedPercent = *rc::gen::inRange(0U, 30U),
                                    .shedPercent = *rc::gen::inRange(0U, 30U),
                                    .maxDelay = 1ms * *rc::gen::inRange(2, 150)};
            FakeCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), faults, {3, 3});
            for (int step = 0; step < 30; ++step) {
                sendRandom(cluster);
                cluster.run(Duration(cluster.randomBelow(150'000)));
            }
            cluster.run(settleTime);
            checkInvariants(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against double runs and wrong outcomes when instances die, restart without their state, pause
    // or are isolated, targets restart and buckets move.
    void outcomesAreCorrectUnderAnyFaults()
    {
        bool const holds = rc::check("any faults", [] {
            FaultRates const faults{.lostPercent = *rc::gen::inRange(0U, 15U),
                                    .duplicatedPercent = *rc::gen::inRange(0U, 15U),
                                    .shedPercent = *rc::gen::inRange(0U, 20U),
                                    .maxDelay = 1ms * *rc::gen::inRange(2, 100),
                                    .maxViewDelay = 1ms * *rc::gen::inRange(0, 800)};
            FakeCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), faults, {3, 3});
            for (int step = 0; step < 60; ++step) {
                sendRandom(cluster);
                if (cluster.randomBelow(3) == 0)
                    injectFault(cluster);
                cluster.run(Duration(cluster.randomBelow(400'000)));
            }
            cluster.run(settleTime);
            checkInvariants(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a second run by the successor of a dispatcher that died while a request ran at the
    // target.
    void requestOfKilledDispatcherIsUnknown()
    {
        bool const holds = rc::check("killed dispatcher", [] {
            FakeCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), {}, {3});
            cluster.maxServiceTime = 4s;
            auto const key = cluster.send(RequestClass::Urgent, Idempotency::NonIdempotent, 8s);
            cluster.run(100ms);
            RC_PRE(cluster.targets[0].running == 1U);
            RC_ASSERT(cluster.runsOf(key) == 1U);
            auto const dispatcher = &cluster.dispatcherOf(0) - cluster.instances.data();
            cluster.kill(static_cast<std::size_t>(dispatcher));
            cluster.run(settleTime);
            RC_ASSERT(cluster.caller(key).outcome == RequestOutcome::Unknown);
            RC_ASSERT(cluster.runsOf(key) == 1U);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a planned stop that aborts requests, also when their callers resend to the successor.
    void plannedStopCompletesRequests()
    {
        bool const holds = rc::check("planned stop", [] {
            FakeCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), {}, {3, 3});
            cluster.maxServiceTime = 1500ms;
            std::vector<RequestKey> accepted(6);
            std::ranges::generate(accepted, [&] {
                return cluster.send(RequestClass::Urgent, Idempotency::NonIdempotent, 4900ms);
            });
            cluster.run(120ms);
            auto const stopped =
                static_cast<std::size_t>(&cluster.dispatcherOf(0) - cluster.instances.data());
            cluster.stop(stopped);
            cluster.run(settleTime);
            checkInvariants(cluster);
            for (RequestKey const key : accepted)
                RC_ASSERT(cluster.caller(key).outcome == RequestOutcome::Answered);
            RC_ASSERT(cluster.instances[stopped].controller->isIdle());
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a run without a second copy of the record, and against refusing requests that need no
    // record.
    void singleReplicaRefusesOnlyNonIdempotent()
    {
        for (std::size_t const size : {std::size_t{1}, std::size_t{3}}) {
            FakeCluster cluster(1, {}, {size});
            auto const dispatcher =
                static_cast<std::size_t>(&cluster.dispatcherOf(0) - cluster.instances.data());
            for (std::size_t index = 0; index < size; ++index) {
                if (index != dispatcher)
                    cluster.kill(index);
            }
            cluster.run(4s);
            for (int count = 0; count < 5; ++count) {
                auto const once = cluster.send(RequestClass::Urgent, Idempotency::NonIdempotent, 3s);
                auto const any = cluster.send(RequestClass::Urgent, Idempotency::Idempotent, 3s);
                cluster.run(settleTime);
                CPPUNIT_ASSERT(cluster.caller(once).outcome == RequestOutcome::NotRun);
                CPPUNIT_ASSERT(cluster.caller(once).reason == Reason::NoSecondCopy);
                CPPUNIT_ASSERT_EQUAL(0U, cluster.runsOf(once));
                CPPUNIT_ASSERT(cluster.caller(any).outcome == RequestOutcome::Answered);
            }
            CPPUNIT_ASSERT_EQUAL(std::string(), cluster.firstViolation());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFaultsTest);

} // namespace almondwing
