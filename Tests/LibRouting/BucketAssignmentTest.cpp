// Tests of the assignment of buckets to targets.

#include <LibRouting/BucketAssignment.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace almondwing {

namespace {

std::vector<WeightedTarget> equalTargets(std::size_t count)
{
    std::vector<WeightedTarget> targets;
    for (std::size_t index = 0; index < count; ++index)
        targets.push_back(
            WeightedTarget{.id = TargetId::fromName(fmt::format("target-{}", index)), .weight = 2000});
    return targets;
}

std::vector<std::size_t> countBuckets(BucketArray const &buckets, std::size_t targetCount)
{
    std::vector<std::size_t> counts(targetCount, 0);
    for (std::uint16_t const index : buckets)
        ++counts[index];
    return counts;
}

std::size_t countMoves(BucketArray const &before, std::vector<WeightedTarget> const &targetsBefore,
                       BucketArray const &after, std::vector<WeightedTarget> const &targetsAfter)
{
    std::size_t moves = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        moves += targetsBefore[before[bucket]].id != targetsAfter[after[bucket]].id ? 1 : 0;
    return moves;
}

} // namespace

class BucketAssignmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BucketAssignmentTest);
    CPPUNIT_TEST(sharesStayBelowTheCap);
    CPPUNIT_TEST(targetWithoutWeightGetsNoBucket);
    CPPUNIT_TEST(removalMovesFewBuckets);
    CPPUNIT_TEST(assignmentIgnoresOrderOfTargets);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a target that gets far more new flows than its share by weight.
    void sharesStayBelowTheCap()
    {
        bool const holds = rc::check([] {
            auto const count = *rc::gen::inRange<std::size_t>(1, 24);
            std::vector<WeightedTarget> targets;
            for (std::size_t index = 0; index < count; ++index)
                targets.push_back(
                    WeightedTarget{.id = TargetId{*rc::gen::nonZero<std::uint64_t>()},
                                   .weight = *rc::gen::element(125.0, 250.0, 500.0, 1000.0, 2000.0)});
            auto const counts = countBuckets(assignBuckets(targets), count);
            double const total =
                std::accumulate(targets.begin(), targets.end(), 0.0,
                                [](double sum, auto const &target) { return sum + target.weight; });
            for (std::size_t index = 0; index < count; ++index) {
                double const fair = bucketCount * targets[index].weight / total;
                RC_ASSERT(static_cast<double>(counts[index]) <= fair * shareCap + 1);
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a draining target that still gets new flows.
    void targetWithoutWeightGetsNoBucket()
    {
        auto targets = equalTargets(15);
        targets[3].weight = 0;
        auto const counts = countBuckets(assignBuckets(targets), targets.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, counts[3]);
    }

    // Guards against a removal of one target that moves buckets of all others. Besides the buckets of the
    // removed target, the cap moves some more; the test permits twice the share of the removed target.
    void removalMovesFewBuckets()
    {
        auto const targets = equalTargets(15);
        auto const before = assignBuckets(targets);
        for (std::size_t removed = 0; removed < targets.size(); ++removed) {
            auto rest = targets;
            rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
            std::size_t const moves = countMoves(before, targets, assignBuckets(rest), rest);
            CPPUNIT_ASSERT(moves <= 2 * bucketCount / targets.size());
        }
    }

    // Guards against instances that build different tables because they learned of the targets in different
    // order.
    void assignmentIgnoresOrderOfTargets()
    {
        auto const targets = equalTargets(15);
        auto reversed = targets;
        std::ranges::reverse(reversed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             countMoves(assignBuckets(targets), targets, assignBuckets(reversed), reversed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketAssignmentTest);

} // namespace almondwing
