// Tests the pure functions of the library: queue order, slots, estimated waits, retries, assembly of answers
// and the decision which requests are located.

#include <LibRequests/AnswerAssembly.h>
#include <LibRequests/LocatePlan.h>
#include <LibRequests/QueuePolicy.h>
#include <LibRequests/RetryPolicy.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

namespace almondwing {

namespace {

constexpr Timestamp now{100s};
RequestSettings const settings;

RequestKey keyOf(std::uint64_t number)
{
    return {.service = ServiceId{1}, .caller = 1, .number = number};
}

RequestQueue queueOf(std::vector<std::pair<std::uint64_t, RequestClass>> const &waiting)
{
    RequestQueue queue;
    for (auto const &[number, requestClass] : waiting)
        queue = withWaiting(queue, keyOf(number), requestClass, now - 10s);
    return queue;
}

TargetUsage busy(std::uint32_t slots)
{
    TargetUsage usage;
    usage.busySlots = slots;
    return usage;
}

std::uint64_t nextNumber(RequestQueue const &queue, std::uint32_t busySlots, std::uint32_t slots)
{
    auto const key = nextToStart(
        queue, [](RequestKey) { return true; }, busy(busySlots), {.slots = slots, .connections = 0}, settings,
        now);
    return key ? key->number : 0;
}

} // namespace

class RequestDecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestDecisionsTest);
    CPPUNIT_TEST(classesStartInOrder);
    CPPUNIT_TEST(bulkLeavesLastSlotFree);
    CPPUNIT_TEST(bulkRunsOnSingleSlotWhenIdle);
    CPPUNIT_TEST(inheritedSlotsCountAsOccupied);
    CPPUNIT_TEST(requestsThatMissTheirDeadlineAreRefused);
    CPPUNIT_TEST(deadlineChecksCanBeDisabled);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(answerIsCompleteOnlyWithAllParts);
    CPPUNIT_TEST(locatingNeedsReadQuorumOfEachGroup);
    CPPUNIT_TEST(onlyUncertainRequestsAreLocated);
    CPPUNIT_TEST_SUITE_END();

    // Guards against urgent requests that wait behind other classes, and against overtaking within a class.
    void classesStartInOrder()
    {
        auto queue = queueOf({{1, RequestClass::Bulk},
                              {2, RequestClass::Interactive},
                              {3, RequestClass::Urgent},
                              {4, RequestClass::Urgent}});
        for (std::uint64_t const expected : {3U, 4U, 2U, 1U}) {
            CPPUNIT_ASSERT_EQUAL(expected, nextNumber(queue, 0, 2));
            queue = withoutWaiting(queue, keyOf(expected));
        }
    }

    // Guards against bulk requests on all slots, which would make an urgent request wait for a bulk service
    // time.
    void bulkLeavesLastSlotFree()
    {
        auto const queue = queueOf({{1, RequestClass::Bulk}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, nextNumber(queue, 0, 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, nextNumber(queue, 1, 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, nextNumber(queue, 2, 4));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, nextNumber(queue, 3, 4));
    }

    // Guards against bulk requests that starve at a target with one slot, or that take the slot while an
    // urgent request waits or shortly after one.
    void bulkRunsOnSingleSlotWhenIdle()
    {
        auto const queue = queueOf({{1, RequestClass::Bulk}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, nextNumber(queue, 0, 1));
        auto recentlyUrgent = queue;
        recentlyUrgent.lastPriorityWork = now - settings.bulkQuietTime + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, nextNumber(recentlyUrgent, 0, 1));
        auto const notReady = nextToStart(
            queueOf({{1, RequestClass::Bulk}, {2, RequestClass::Urgent}}),
            [](RequestKey key) { return key.number == 1; }, busy(0), {.slots = 1, .connections = 0}, settings,
            now);
        CPPUNIT_ASSERT(!notReady);
    }

    // Guards against a new dispatcher that uses the slots in which requests of its predecessor still run.
    void inheritedSlotsCountAsOccupied()
    {
        TargetUsage usage = busy(1);
        usage.inheritedSlots = 1;
        usage.inheritedUntil = now + 1ms;
        CPPUNIT_ASSERT_EQUAL(2U, occupiedSlots(usage, now));
        CPPUNIT_ASSERT_EQUAL(1U, occupiedSlots(usage, now + 1ms));
    }

    // Guards against queueing requests that can't be answered before their deadline, and against queues of
    // more than 16 requests.
    void requestsThatMissTheirDeadlineAreRefused()
    {
        RequestQueue queue = queueOf({{1, RequestClass::Urgent}, {2, RequestClass::Urgent}});
        queue = withServiceTime(queue, RequestClass::Urgent, 100ms, now);
        TargetLimits const limits{.slots = 1, .connections = 0};
        auto const decide = [&](RequestClass requestClass, Duration timeLeft) {
            return decideAdmission(requestClass, timeLeft, queue, busy(1), limits, settings, now);
        };
        // 250 ms of estimated wait and 100 ms of service time.
        CPPUNIT_ASSERT(decide(RequestClass::Urgent, 350ms)
                       == (AdmissionDecision{.admission = QueueAdmission::Accepted, .wait = 250ms}));
        CPPUNIT_ASSERT(decide(RequestClass::Urgent, 349ms).admission == QueueAdmission::DeadlineTooShort);
        // An idle target accepts the request, so that a service time that was measured too long is corrected.
        RequestQueue const idle = withServiceTime(RequestQueue{}, RequestClass::Urgent, 1h, now);
        CPPUNIT_ASSERT(
            decideAdmission(RequestClass::Urgent, 1s, idle, busy(0), limits, settings, now).admission
            == QueueAdmission::Accepted);
        CPPUNIT_ASSERT(decide(RequestClass::Bulk, 249ms).admission == QueueAdmission::DeadlineTooShort);
        for (std::uint64_t number = 3; number <= settings.maxQueueLength; ++number)
            queue = withWaiting(queue, keyOf(number), RequestClass::Urgent, now);
        CPPUNIT_ASSERT(decide(RequestClass::Urgent, 1h).admission == QueueAdmission::QueueFull);
        CPPUNIT_ASSERT(decide(RequestClass::Interactive, 1h).admission == QueueAdmission::Accepted);
    }

    // Guards against deadline checks that are applied although they are off, and against a queue limit that
    // is off with them. Benchmarks run without the deadline checks.
    void deadlineChecksCanBeDisabled()
    {
        RequestSettings off;
        off.deadlineChecks = DeadlineChecks::Off;
        RequestQueue queue = withServiceTime(RequestQueue{}, RequestClass::Urgent, 100ms, now);
        TargetLimits const limits{.slots = 1, .connections = 0};
        auto const decide = [&] {
            return decideAdmission(RequestClass::Urgent, 1ms, queue, busy(1), limits, off, now).admission;
        };
        CPPUNIT_ASSERT(decide() == QueueAdmission::Accepted);
        for (std::uint64_t number = 1; number <= off.maxQueueLength; ++number)
            queue = withWaiting(queue, keyOf(number), RequestClass::Urgent, now);
        CPPUNIT_ASSERT(decide() == QueueAdmission::QueueFull);
    }

    // Guards against retries that add more than 10% to the load of a target that sheds requests, and against
    // retries after the deadline.
    void retriesStayWithinBudget()
    {
        RetryBudget budget;
        unsigned retries = 0;
        for (int fresh = 0; fresh < 1000; ++fresh) {
            budget = refillRetryBudget(budget);
            if (auto const spent = spendRetryBudget(budget)) {
                budget = *spent;
                ++retries;
            }
        }
        CPPUNIT_ASSERT_EQUAL(100U, retries);
        RequestRecord record;
        record.deadline = now + 100ms;
        record.tries = 1;
        CPPUNIT_ASSERT(retryTime(record, 60ms, settings, now) == now + 60ms);
        CPPUNIT_ASSERT(!retryTime(record, 100ms, settings, now));
        record.tries = settings.maxTries;
        CPPUNIT_ASSERT(!retryTime(record, 60ms, settings, now));
    }

    // Guards against an answer that counts as complete although parts are missing, duplicated, out of order
    // or from two tries.
    void answerIsCompleteOnlyWithAllParts()
    {
        bool const holds = rc::check("answers", [] {
            auto const count = *rc::gen::inRange<std::uint32_t>(1, 20);
            auto const arrivals =
                *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, count));
            std::shared_ptr<StoredAnswer const> answer;
            std::set<std::uint32_t> seen;
            for (std::uint32_t const index : arrivals) {
                AnswerPart part{.key = keyOf(1), .tryId = 7, .part = index, .payload = std::to_string(index)};
                part.position = index + 1 == count ? PartPosition::Last : PartPosition::NotLast;
                bool const isNew = seen.insert(index).second;
                auto const added = addPart(answer, part, 1000);
                RC_ASSERT(added.status == (isNew ? AddPartStatus::Added : AddPartStatus::Duplicate));
                answer = added.answer;
                part.tryId = 8;
                part.part = count - 1;
                RC_ASSERT(addPart(answer, part, 1000).status != AddPartStatus::Added);
                RC_ASSERT(answer->isComplete() == (seen.size() == count));
                RC_ASSERT(storedPart(keyOf(1), *answer, index).payload == std::to_string(index));
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a first run although the only member that has the record did not answer.
    void locatingNeedsReadQuorumOfEachGroup()
    {
        LocateProgress progress;
        progress.groups = {{InstanceId{1}, InstanceId{2}, InstanceId{3}}, {InstanceId{4}}};
        progress.mustAnswer = {InstanceId{2}};
        progress.notKnown = {InstanceId{1}};
        CPPUNIT_ASSERT(evaluateLocate(progress) == LocateResult::Pending);
        progress.inconclusive = {InstanceId{2}};
        CPPUNIT_ASSERT(evaluateLocate(progress) == LocateResult::Incomplete);
        progress.notKnown.push_back(InstanceId{2});
        CPPUNIT_ASSERT(evaluateLocate(progress) == LocateResult::NotKnown);
        progress.known.push_back(InstanceId{2});
        CPPUNIT_ASSERT(evaluateLocate(progress) == LocateResult::Known);
    }

    // Guards against first runs of requests that another dispatcher may know, and against the latency of
    // locating requests that no other dispatcher can know.
    void onlyUncertainRequestsAreLocated()
    {
        ServiceRoutes routes;
        for (TargetId const target : {TargetId{1}, TargetId{2}})
            routes.targets.emplace_back().record.id = target;
        for (std::uint16_t bucket = 5; bucket <= 8; ++bucket)
            routes.recentMoves.push_back({.bucket = bucket, .at = now - settings.bucketSettleTime});
        std::vector<ClaimUpdate> claims(1);
        claims[0].target = TargetId{2};
        RequestRecord record;
        Timestamp inheritedUntil = now;
        auto const isUncertain = [&](std::uint16_t bucket) {
            return mayHaveRunElsewhere(record, TargetId{1}, bucket, routes, claims, inheritedUntil, settings,
                                       now);
        };
        CPPUNIT_ASSERT(!isUncertain(5));
        claims[0].buckets = {5};
        CPPUNIT_ASSERT(isUncertain(5) && !isUncertain(6));
        routes.recentMoves[1].at += 1ms;
        CPPUNIT_ASSERT(isUncertain(6) && !isUncertain(7));
        routes.buckets[7] = 1;
        CPPUNIT_ASSERT(isUncertain(7) && !isUncertain(8));
        inheritedUntil = now + 1ms;
        CPPUNIT_ASSERT(isUncertain(8));
        inheritedUntil = now;
        record.attempt = 2;
        CPPUNIT_ASSERT(isUncertain(8));
        record.idempotency = Idempotency::Idempotent;
        CPPUNIT_ASSERT(isUncertain(8));
        record.attempt = 1;
        CPPUNIT_ASSERT(isUncertain(6) && isUncertain(7) && !isUncertain(5) && !isUncertain(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDecisionsTest);

} // namespace almondwing
