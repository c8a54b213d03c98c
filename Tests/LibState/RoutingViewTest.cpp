// Tests of the look-ups in the routing view, of ramp levels and of kept answers.

#include <LibState/RampLevel.h>
#include <LibState/RequestRecord.h>
#include <LibState/RoutingView.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <vector>

namespace almondwing {

namespace {

// A view of two services; the targets of the first have the even ids from 2 on, those of the second the odd
// ids from 101 on.
RoutingView viewOfTwoServices()
{
    RoutingView view;
    for (std::uint64_t const service : {std::uint64_t{1}, std::uint64_t{2}}) {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->id = ServiceId{service};
        for (std::uint64_t index = 0; index < 4; ++index) {
            TargetId const target{service == 1 ? 2 + 2 * index : 101 + 2 * index};
            routes->targets.push_back(RoutedTarget{.record = {.id = target, .service = routes->id}});
            view.serviceOfTarget.emplace(target, routes->id);
        }
        routes->buckets.fill(noTarget);
        routes->buckets[7] = 3;
        view.services.emplace(routes->id, routes);
    }
    return view;
}

// An answer of the given number of parts, some of which are missing.
StoredAnswer anyAnswer(std::size_t partCount)
{
    StoredAnswer answer;
    for (std::size_t index = 0; index < partCount; ++index)
        answer.parts.push_back(*rc::gen::inRange(0, 4) > 0 ? std::make_shared<std::string const>("part")
                                                           : nullptr);
    return answer;
}

} // namespace

class RoutingViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingViewTest);
    CPPUNIT_TEST(findsTargetsOnlyUnderTheirOwnId);
    CPPUNIT_TEST(bucketWithoutTargetHasNone);
    CPPUNIT_TEST(movesCountUntilTheWindowEnds);
    CPPUNIT_TEST(bucketsOfKeysAreStableAndInRange);
    CPPUNIT_TEST(consecutiveKeysFillAllBuckets);
    CPPUNIT_TEST(eachRampLevelDoublesTheLimits);
    CPPUNIT_TEST(smallTargetsGetOneSlotAtTheLowestLevel);
    CPPUNIT_TEST(onlyWholeAnswersAreComplete);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a packet that goes to the neighbour of an unknown target in the sorted list, which may
    // even be of another service.
    void findsTargetsOnlyUnderTheirOwnId()
    {
        RoutingView const view = viewOfTwoServices();
        for (std::uint64_t id = 0; id < 120; ++id) {
            RoutedTarget const *const found = view.findTarget(TargetId{id});
            CPPUNIT_ASSERT_EQUAL(view.serviceOfTarget.contains(TargetId{id}), found != nullptr);
            CPPUNIT_ASSERT(found == nullptr || found->record.id == TargetId{id});
        }
        CPPUNIT_ASSERT(view.findService(ServiceId{1})->id == ServiceId{1});
        CPPUNIT_ASSERT(view.findService(ServiceId{3}) == nullptr);
        // A target that the index names but the service no longer lists.
        RoutingView stale = view;
        stale.serviceOfTarget.emplace(TargetId{4000}, ServiceId{1});
        stale.serviceOfTarget.emplace(TargetId{3}, ServiceId{1});
        CPPUNIT_ASSERT(stale.findTarget(TargetId{4000}) == nullptr);
        CPPUNIT_ASSERT(stale.findTarget(TargetId{3}) == nullptr);
    }

    // Guards against a read behind the list of targets for a bucket that has no target.
    void bucketWithoutTargetHasNone()
    {
        RoutingView const view = viewOfTwoServices();
        ServiceRoutes const &routes = *view.findService(ServiceId{2});
        CPPUNIT_ASSERT(routes.targetOfBucket(7) == &routes.targets[3]);
        CPPUNIT_ASSERT(routes.targetOfBucket(8) == nullptr);
    }

    // Guards against a resend that is not located although its bucket has just moved.
    void movesCountUntilTheWindowEnds()
    {
        Timestamp const moved{100s};
        ServiceRoutes routes;
        routes.recentMoves = {BucketMove{.bucket = 3, .at = moved - 5s},
                              BucketMove{.bucket = 9, .previous = TargetId{1}, .at = moved}};
        CPPUNIT_ASSERT(routes.hasMovedWithin(9, 2s, moved));
        CPPUNIT_ASSERT(routes.hasMovedWithin(9, 2s, moved + 2s - 1us));
        CPPUNIT_ASSERT(!routes.hasMovedWithin(9, 2s, moved + 2s));
        CPPUNIT_ASSERT(!routes.hasMovedWithin(3, 2s, moved));
        CPPUNIT_ASSERT(!routes.hasMovedWithin(4, 2s, moved));
    }

    // Guards against instances of two releases that put one flow into different buckets.
    void bucketsOfKeysAreStableAndInRange()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0xdaf}, bucketOf(0)); // The low bits of mixBits(0).
        CPPUNIT_ASSERT(rc::check("buckets are in range", [] {
            RC_ASSERT(bucketOf(*rc::gen::arbitrary<std::uint64_t>()) < bucketCount);
        }));
    }

    // Guards against callers whose flow numbers share bits and so use only a part of the buckets. The bound
    // is five standard deviations of 4,096 times 100 keys: 100 in a bucket, plus or minus 10.
    void consecutiveKeysFillAllBuckets()
    {
        constexpr int keysPerBucket = 100;
        std::array<int, bucketCount> counts{};
        for (std::uint64_t key = 0; key < bucketCount * keysPerBucket; ++key)
            ++counts[bucketOf(key * bucketCount)];
        CPPUNIT_ASSERT(*std::ranges::min_element(counts) >= keysPerBucket - 50);
        CPPUNIT_ASSERT(*std::ranges::max_element(counts) <= keysPerBucket + 50);
    }

    // Guards against a step that gives a target more than twice what it has just shown that it can bear, and
    // against a warm target that does not get its full limits.
    void eachRampLevelDoublesTheLimits()
    {
        CPPUNIT_ASSERT(rc::check("each ramp level doubles the limits", [] {
            TargetLimits const full{.slots = *rc::gen::inRange(0U, 5000U),
                                    .connections = *rc::gen::inRange(0U, 100'000U)};
            for (std::uint8_t level = 0; level < maxRampLevel; ++level) {
                TargetLimits const lower = limitsAtLevel(full, level);
                TargetLimits const upper = limitsAtLevel(full, static_cast<std::uint8_t>(level + 1));
                RC_ASSERT(lower.slots <= upper.slots && upper.slots <= 2 * lower.slots + 1);
                RC_ASSERT(lower.connections <= upper.connections
                          && upper.connections <= 2 * lower.connections + 1);
            }
            RC_ASSERT(limitsAtLevel(full, maxRampLevel) == full);
            RC_ASSERT(limitsAtLevel(full, 255) == full);
        }));
    }

    // Guards against a target that gets nothing at level 0 and so can never show that it works.
    void smallTargetsGetOneSlotAtTheLowestLevel()
    {
        TargetLimits const lowest = limitsAtLevel({.slots = 2, .connections = 2000}, 0);
        CPPUNIT_ASSERT_EQUAL(1U, lowest.slots);
        CPPUNIT_ASSERT_EQUAL(125U, lowest.connections);
        CPPUNIT_ASSERT(limitsAtLevel({.slots = 0, .connections = 0}, 0)
                       == (TargetLimits{.slots = 0, .connections = 0}));
    }

    // Guards against an incomplete answer that is passed on as complete, and against a missing part that is
    // not asked for again.
    void onlyWholeAnswersAreComplete()
    {
        CPPUNIT_ASSERT(rc::check("only whole answers are complete", [] {
            auto const partCount = *rc::gen::inRange<std::size_t>(1, 6);
            StoredAnswer answer = anyAnswer(partCount);
            std::vector<std::uint32_t> expected;
            for (std::uint32_t index = 0; index < partCount; ++index) {
                if (answer.parts[index] == nullptr)
                    expected.push_back(index);
            }
            RC_ASSERT(answer.missingParts() == expected);
            RC_ASSERT(!answer.isComplete()); // The last part is not known yet.
            answer.lastPart = static_cast<std::uint32_t>(partCount - 1);
            RC_ASSERT(answer.isComplete() == expected.empty());
            answer.lastPart = static_cast<std::uint32_t>(partCount);
            RC_ASSERT(!answer.isComplete());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingViewTest);

} // namespace almondwing
