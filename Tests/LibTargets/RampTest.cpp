// Tests of the slow-start ramp and of load reports.

#include "TargetFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

namespace almondwing {

namespace {

// A model of the highest level that the rules of the ramp allow. The controller may stay below it.
struct MaxLevel
{
    std::uint8_t level = 0;
    Timestamp since;
    std::uint64_t completed = 0;
    std::uint64_t completedAtLevelStart = 0;

    void advance(Timestamp now)
    {
        auto const slots = limitsAtLevel({.slots = 32, .connections = 1600}, this->level).slots;
        if (this->level == maxRampLevel || now - this->since < minTimeAtLevel
            || this->completed - this->completedAtLevelStart < slots)
            return;
        ++this->level;
        this->since = now;
        this->completedAtLevelStart = this->completed;
    }
};

HealthReport arbitraryReport()
{
    return {.answer =
                *rc::gen::element(HealthAnswer::Healthy, HealthAnswer::Unhealthy, HealthAnswer::NoAnswer),
            .hasLoad = true,
            .load = *rc::gen::element(-1.0, 0.0, 1.0, 1e9, std::numeric_limits<double>::quiet_NaN())};
}

} // namespace

class RampTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RampTest);
    CPPUNIT_TEST(limitsMatchLevel);
    CPPUNIT_TEST(levelRisesOnlyWithCountedWork);
    CPPUNIT_TEST(singleShedSetsNoCeiling);
    CPPUNIT_TEST(repeatedShedsSetCeiling);
    CPPUNIT_TEST(slowAnswersResetLevel);
    CPPUNIT_TEST(loadReportOnlyLowersLevel);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a cold target that gets more than its share of the limits, or no work at all.
    void limitsMatchLevel()
    {
        TargetLimits const full{.slots = 2, .connections = 2000};
        CPPUNIT_ASSERT(limitsAtLevel(full, 0) == (TargetLimits{1, 125}));
        CPPUNIT_ASSERT(limitsAtLevel(full, 3) == (TargetLimits{1, 1000}));
        CPPUNIT_ASSERT(limitsAtLevel(full, 4) == full);
        CPPUNIT_ASSERT(limitsAtLevel({}, 0) == TargetLimits{});
        requireProperty("limits stay within the share of the level", [] {
            auto const slots = *rc::gen::inRange(1U, 100000U);
            auto const level = static_cast<std::uint8_t>(*rc::gen::inRange(0, 5));
            auto const limit = limitsAtLevel({.slots = slots, .connections = slots}, level).slots;
            RC_ASSERT(limit >= 1U);
            RC_ASSERT(limit == 1U || limit * (16U >> level) <= slots);
        });
    }

    // Guards against a ramp that rises without completed work, too fast, by more than one level or because of
    // a load report, or that keeps its level across a restart or a shed. Events come in random order.
    void levelRisesOnlyWithCountedWork()
    {
        requireProperty("the level rises only with counted work", [] {
            TargetFixture fixture;
            std::uint64_t startMark = 1;
            fixture.announce(fixture.announcement("t", startMark));
            MaxLevel maxLevel{.since = fixture.now};
            int const stepCount = *rc::gen::inRange(1, 80);
            for (int step = 0; step < stepCount; ++step) {
                auto const before = fixture.record("t");
                switch (*rc::gen::inRange(0, 12)) {
                case 0:
                    fixture.announce(fixture.announcement("t", ++startMark));
                    RC_ASSERT(fixture.record("t").rampLevel == 0U);
                    RC_ASSERT(fixture.record("t").state == TargetState::Starting);
                    maxLevel = {.since = fixture.now,
                                .completed = maxLevel.completed,
                                .completedAtLevelStart = maxLevel.completed};
                    break;
                case 1:
                    fixture.shed("t");
                    maxLevel = {.since = fixture.now,
                                .completed = maxLevel.completed,
                                .completedAtLevelStart = maxLevel.completed};
                    break;
                case 2:
                case 3:
                    fixture.reportHealthCheck("t", arbitraryReport());
                    break;
                case 4:
                    fixture.announce(fixture.announcement("t", startMark));
                    break;
                default: {
                    auto const count = *rc::gen::inRange<std::uint64_t>(0, 40);
                    fixture.answerRequests("t", count);
                    maxLevel.completed += count;
                }
                }
                fixture.advance(*rc::gen::element<Duration>(50ms, 250ms, 1s));
                maxLevel.advance(fixture.now);
                auto const after = fixture.record("t");
                RC_ASSERT(after.rampLevel <= maxLevel.level);
                RC_ASSERT(after.rampLevel <= before.rampLevel + 1);
                RC_ASSERT(after == before || after.sequence > before.sequence);
            }
        });
    }

    // Guards against a target that stays below its limits permanently after one shed.
    void singleShedSetsNoCeiling()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        fixture.shed("t0");
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
        // A late shed of work that was sent before the reset does not count as a second reset.
        fixture.shed("t0");
        fixture.advance();
        fixture.warmUp("t0");
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
    }

    // Guards against a target that repeatedly climbs to the same level and sheds there.
    void repeatedShedsSetCeiling()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        int resets = 0;
        for (int second = 0; second < 600; ++second) {
            fixture.answerRequests("t0", 100);
            fixture.advance(1s);
            fixture.announce(fixture.announcement("t0"));
            if (fixture.record("t0").rampLevel < maxRampLevel)
                continue;
            fixture.shed("t0");
            ++resets;
        }
        // Without a ceiling the level would be reset every 5 s, that is 120 times.
        CPPUNIT_ASSERT(resets > 1 && resets < 12);
    }

    // Guards against a target that is overloaded and does not shed, and against a reset because of a few slow
    // answers among many.
    void slowAnswersResetLevel()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        fixture.advance(slowWindow);
        fixture.answerRequests("t0", 1000);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.slow += 5; });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        fixture.advance(slowWindow);
        fixture.answerRequests("t0", 10);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.slow += 5; });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
    }

    // Guards against a load endpoint that is behind or wrong: it must not raise the level, nor lower it by
    // more than one or permanently.
    void loadReportOnlyLowersLevel()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        HealthReport const high{.answer = HealthAnswer::Healthy, .hasLoad = true, .load = 1};
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.busySlots = 32; });
        for (int count = 0; count < 5; ++count)
            fixture.reportHealthCheck("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.busySlots = 0; });
        fixture.reportHealthCheck("t0", high); // A report may lag by one check.
        fixture.reportHealthCheck("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        for (int count = 0; count < 20; ++count)
            fixture.reportHealthCheck("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel - 1);
        fixture.advance(loweredDuration);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        for (double const invalidLoad : {-1.0, 1.5, 1e9, std::numeric_limits<double>::infinity()}) {
            fixture.reportHealthCheck(
                "t0", {.answer = HealthAnswer::Healthy, .hasLoad = true, .load = invalidLoad});
            fixture.reportHealthCheck(
                "t0", {.answer = HealthAnswer::Healthy, .hasLoad = true, .load = invalidLoad});
        }
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RampTest);

} // namespace almondwing
