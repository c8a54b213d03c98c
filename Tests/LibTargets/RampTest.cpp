// Tests of the ramp and of load reports.

#include "TargetFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

namespace almondwing {

namespace {

// The highest level that the rules of the ramp allow; the controller may stay below it.
struct HighestLevel
{
    std::uint8_t level = 0;
    Timestamp since;
    std::uint64_t done = 0;
    std::uint64_t doneBefore = 0; // When the level began.

    void pass(Timestamp now)
    {
        auto const slots = limitsAtLevel({.slots = 32, .connections = 1600}, this->level).slots;
        if (this->level == maxRampLevel || now - this->since < minimumTimeAtLevel
            || this->done - this->doneBefore < slots)
            return;
        ++this->level;
        this->since = now;
        this->doneBefore = this->done;
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
    CPPUNIT_TEST(limitsFollowTheLevel);
    CPPUNIT_TEST(levelFollowsOwnCounts);
    CPPUNIT_TEST(singleShedCostsOneClimb);
    CPPUNIT_TEST(repeatedShedsSetCeiling);
    CPPUNIT_TEST(slowAnswersLeadBackToLevelZero);
    CPPUNIT_TEST(loadReportOnlyLowers);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a cold target that gets more than its share, or nothing at all.
    void limitsFollowTheLevel()
    {
        TargetLimits const full{.slots = 2, .connections = 2000};
        CPPUNIT_ASSERT(limitsAtLevel(full, 0) == (TargetLimits{1, 125}));
        CPPUNIT_ASSERT(limitsAtLevel(full, 3) == (TargetLimits{1, 1000}));
        CPPUNIT_ASSERT(limitsAtLevel(full, 4) == full);
        CPPUNIT_ASSERT(limitsAtLevel({}, 0) == TargetLimits{});
        checkTargetProperty("limits stay within the share of the level", [] {
            auto const slots = *rc::gen::inRange(1U, 100000U);
            auto const level = static_cast<std::uint8_t>(*rc::gen::inRange(0, 5));
            auto const limit = limitsAtLevel({.slots = slots, .connections = slots}, level).slots;
            RC_ASSERT(limit >= 1U);
            RC_ASSERT(limit == 1U || limit * (16U >> level) <= slots);
        });
    }

    // Guards against a target that climbs without work, too fast or by more than one level, keeps its level
    // over a restart or a shed, or rises because its endpoint says so; whatever the order of events.
    void levelFollowsOwnCounts()
    {
        checkTargetProperty("the level follows the own counts", [] {
            TargetFixture fixture;
            std::uint64_t startMark = 1;
            fixture.announce(fixture.announcement("t", startMark));
            HighestLevel highest{.since = fixture.now};
            int const stepCount = *rc::gen::inRange(1, 80);
            for (int step = 0; step < stepCount; ++step) {
                auto const before = fixture.record("t");
                switch (*rc::gen::inRange(0, 12)) {
                case 0:
                    fixture.announce(fixture.announcement("t", ++startMark));
                    RC_ASSERT(fixture.record("t").rampLevel == 0U);
                    RC_ASSERT(fixture.record("t").state == TargetState::Starting);
                    highest = {.since = fixture.now, .done = highest.done, .doneBefore = highest.done};
                    break;
                case 1:
                    fixture.shed("t");
                    highest = {.since = fixture.now, .done = highest.done, .doneBefore = highest.done};
                    break;
                case 2:
                case 3:
                    fixture.check("t", arbitraryReport());
                    break;
                case 4:
                    fixture.announce(fixture.announcement("t", startMark));
                    break;
                default: {
                    auto const count = *rc::gen::inRange<std::uint64_t>(0, 40);
                    fixture.answer("t", count);
                    highest.done += count;
                }
                }
                fixture.wait(*rc::gen::element<Duration>(50ms, 250ms, 1s));
                highest.pass(fixture.now);
                auto const after = fixture.record("t");
                RC_ASSERT(after.rampLevel <= highest.level);
                RC_ASSERT(after.rampLevel <= before.rampLevel + 1);
                RC_ASSERT(after == before || after.sequence > before.sequence);
            }
        });
    }

    // Guards against a target that stays below its limits for ever after one shed.
    void singleShedCostsOneClimb()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        fixture.shed("t0");
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
        // Late sheds of work that was sent before the fall are no second fall.
        fixture.shed("t0");
        fixture.wait();
        fixture.warmUp("t0");
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
    }

    // Guards against a target that climbs to the same level and sheds there again and again.
    void repeatedShedsSetCeiling()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        int falls = 0;
        for (int second = 0; second < 600; ++second) {
            fixture.answer("t0", 100);
            fixture.wait(1s);
            fixture.announce(fixture.announcement("t0"));
            if (fixture.record("t0").rampLevel < maxRampLevel)
                continue;
            fixture.shed("t0");
            ++falls;
        }
        // Without a ceiling the target would fall every 5 s, 120 times.
        CPPUNIT_ASSERT(falls > 1 && falls < 12);
    }

    // Guards against a target that is overloaded without shedding, and against a fall over a few slow answers
    // among many.
    void slowAnswersLeadBackToLevelZero()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        fixture.wait(slowWindow);
        fixture.answer("t0", 1000);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.slow += 5; });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        fixture.wait(slowWindow);
        fixture.answer("t0", 10);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.slow += 5; });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
    }

    // Guards against a load endpoint that lags or lies: it must not raise a limit, nor lower it by more than
    // one level or for good.
    void loadReportOnlyLowers()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        HealthReport const high{.answer = HealthAnswer::Healthy, .hasLoad = true, .load = 1};
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.busySlots = 32; });
        for (int count = 0; count < 5; ++count)
            fixture.check("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.busySlots = 0; });
        fixture.check("t0", high); // May lag by one check.
        fixture.check("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        for (int count = 0; count < 20; ++count)
            fixture.check("t0", high);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel - 1);
        fixture.wait(loweredTime);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
        for (double const impossible : {-1.0, 1.5, 1e9, std::numeric_limits<double>::infinity()}) {
            fixture.check("t0", {.answer = HealthAnswer::Healthy, .hasLoad = true, .load = impossible});
            fixture.check("t0", {.answer = HealthAnswer::Healthy, .hasLoad = true, .load = impossible});
        }
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RampTest);

} // namespace almondwing
