// Tests when openings without an answer are repeated at another target, and within which limit.

#include "TokenFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class LateOpeningsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateOpeningsTest);
    CPPUNIT_TEST(lateTimeFollowsTheService);
    CPPUNIT_TEST(nothingIsRepeatedWhileAllTargetsAreSlow);
    CPPUNIT_TEST(repetitionsAreLimited);
    CPPUNIT_TEST(openingAtGoneTargetIsRepeated);
    CPPUNIT_TEST(openingAtLivingTargetStays);
    CPPUNIT_TEST(openingsDuringACheckShareItsResult);
    CPPUNIT_TEST(openingsBeyondTheLimitAreWithheld);
    CPPUNIT_TEST(answeredOpeningIsNotRepeated);
    CPPUNIT_TEST(onlyRepeatableRoutesWithTimeAreWatched);
    CPPUNIT_TEST(limitOfZeroTurnsItOff);
    CPPUNIT_TEST_SUITE_END();

    static OpeningTimes timesOf(Duration usual, Duration slow, int slowOnesOf64)
    {
        OpeningTimes times;
        for (int index = 0; index < 64; ++index)
            times = withTime(times, index < slowOnesOf64 ? slow : usual);
        return times;
    }

    void lateTimeFollowsTheService()
    {
        RepeatSettings const settings{.share = 0.05};
        CPPUNIT_ASSERT(!lateAfter(OpeningTimes{}, settings).has_value());
        CPPUNIT_ASSERT(lateAfter(timesOf(4ms, 4ms, 0), settings) == settings.minWait);
        CPPUNIT_ASSERT(lateAfter(timesOf(10ms, 10ms, 0), settings) == Duration(30ms));
        // 3% of the openings seven times as slow, and one target in seven five times as slow.
        CPPUNIT_ASSERT(lateAfter(timesOf(4ms, 28ms, 2), settings) == settings.minWait);
        CPPUNIT_ASSERT(lateAfter(timesOf(4ms, 20ms, 9), settings) == Duration(60ms));
    }

    void nothingIsRepeatedWhileAllTargetsAreSlow()
    {
        CPPUNIT_ASSERT(!lateAfter(timesOf(40ms, 40ms, 0), RepeatSettings{.share = 0.05}).has_value());
    }

    // Guards against extra work beyond the limit when many openings are late in a burst.
    void repetitionsAreLimited()
    {
        RepeatSettings const settings{.share = 0.05};
        RepeatBudget budget;
        int repeated = 0;
        for (int opening = 0; opening < 1000; ++opening) {
            budget = refilled(budget, settings);
            if (auto const next = withdrawn(budget)) { // All of them are late.
                budget = *next;
                ++repeated;
            }
        }
        CPPUNIT_ASSERT(repeated >= 45 && repeated <= 50);
        for (int opening = 0; opening < 1000; ++opening)
            budget = refilled(budget, settings);
        CPPUNIT_ASSERT(budget.repetitions <= settings.maxBudget);
    }

    struct Watch
    {
        explicit Watch(RouteTerms terms, double share = 0.05)
            : router(
                fixture.board, PlacementSettings{.failureDomain = "dar-a"},
                TokenRouterHooks{.random = [] { return std::uint64_t{0}; },
                                 .checkTarget = [](ViewTarget const &) {},
                                 .flowEstablished = [](FlowPacket const &, ViewTarget const &, Duration) {}},
                RepeatSettings{.share = share})
        {
            this->fixture.configuration.routes.front().terms = terms;
            this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
            // Enough openings that are answered after 4 ms, and enough for the budget.
            for (std::uint16_t port = 1000; port < 1064; ++port) {
                TargetToken const token = this->open(port).token;
                this->fixture.now += 4ms;
                this->router.decide(dataPacket(port, token, 1001, 1), this->fixture.now);
            }
        }

        ForwardPacket open(std::uint16_t port, std::uint32_t copy = 0)
        {
            return std::get<ForwardPacket>(this->router.decide(openPacket(port, copy), this->fixture.now));
        }

        TokenFixture fixture;
        TokenRouter router;
    };

    static constexpr RouteTerms patient{.isRepeatable = true, .latencyObjective = 400ms};

    void openingAtGoneTargetIsRepeated()
    {
        Watch watch(patient);
        ForwardPacket const first = watch.open(1);
        CPPUNIT_ASSERT(first.lateAfter == RepeatSettings{}.minWait);
        watch.fixture.now += first.lateAfter;
        LateOpening const late = watch.router.examineLateOpening(openPacket(1), watch.fixture.now);
        CPPUNIT_ASSERT(late.action == LateOpeningAction::Check);
        CPPUNIT_ASSERT(late.target.target.number == first.target);
        watch.router.recordCheckResult(first.token, CheckResult::Refused, watch.fixture.now);
        ForwardPacket const second = watch.open(1);
        CPPUNIT_ASSERT(second.target != first.target);
        // It is repeated once; if the second target dies as well, the retransmission of the caller moves on.
        CPPUNIT_ASSERT(second.lateAfter == Duration::zero());
        watch.fixture.now += 200ms;
        watch.router.recordCheckResult(second.token, CheckResult::Refused, watch.fixture.now);
        CPPUNIT_ASSERT(watch.open(1, 1).target == first.target);
    }

    // Guards against two living targets that both answer an opening.
    void openingAtLivingTargetStays()
    {
        Watch watch(patient);
        ForwardPacket const first = watch.open(1);
        watch.fixture.now += first.lateAfter;
        watch.router.examineLateOpening(openPacket(1), watch.fixture.now);
        watch.router.recordCheckResult(first.token, CheckResult::Accepted, watch.fixture.now);
        CPPUNIT_ASSERT(watch.open(1).target == first.target);
    }

    // Guards against openings that wait for their callers because another one has started the check, and
    // against repetitions of openings that are over by the end of the check.
    void openingsDuringACheckShareItsResult()
    {
        Watch watch(patient);
        ForwardPacket const first = watch.open(1);
        watch.fixture.now += first.lateAfter;
        watch.router.examineLateOpening(openPacket(1), watch.fixture.now);
        // The placement takes the other target, so the second opening is placed by hand.
        FlowPacket const second = openPacket(2);
        auto const view = watch.fixture.board.view.read();
        recordPlacement(watch.fixture.board, second, *view->targetOf(first.token), watch.fixture.now);
        CPPUNIT_ASSERT(watch.router.examineLateOpening(second, watch.fixture.now + 20ms).action
                       == LateOpeningAction::Wait);
        Timestamp const checkedAt = watch.fixture.now + 30ms;
        watch.router.recordCheckResult(first.token, CheckResult::Refused, checkedAt);
        for (FlowPacket const &packet : {openPacket(1), second})
            CPPUNIT_ASSERT(watch.router.examineCheckedOpening(packet, checkedAt).action
                           == LateOpeningAction::Repeat);
        FlowPacket reused = second; // Another flow of the port.
        reused.sequence = 777;
        CPPUNIT_ASSERT(watch.router.examineCheckedOpening(reused, checkedAt).action
                       == LateOpeningAction::None);
        watch.fixture.board.flows.remove(second.flow);
        CPPUNIT_ASSERT(watch.router.examineCheckedOpening(second, checkedAt).action
                       == LateOpeningAction::None);
    }

    void openingsBeyondTheLimitAreWithheld()
    {
        Watch watch(patient, 0.001);
        ForwardPacket const first = watch.open(1);
        CPPUNIT_ASSERT(first.lateAfter > Duration::zero());
        watch.fixture.now += first.lateAfter;
        CPPUNIT_ASSERT(watch.router.examineLateOpening(openPacket(1), watch.fixture.now).action
                       == LateOpeningAction::Withheld);
    }

    void answeredOpeningIsNotRepeated()
    {
        Watch watch(patient);
        ForwardPacket const first = watch.open(1);
        watch.fixture.now += 4ms;
        watch.router.decide(dataPacket(1, first.token, 1001, 1), watch.fixture.now);
        watch.fixture.now += first.lateAfter;
        CPPUNIT_ASSERT(watch.router.examineLateOpening(openPacket(1), watch.fixture.now).action
                       == LateOpeningAction::None);
        // A target that has ended since is left by its flows, not by a repeated opening.
        watch.router.recordCheckResult(first.token, CheckResult::Refused, watch.fixture.now);
        CPPUNIT_ASSERT(watch.open(1).target == first.target);
    }

    void onlyRepeatableRoutesWithTimeAreWatched()
    {
        CPPUNIT_ASSERT(Watch(patient).open(1).lateAfter > Duration::zero());
        for (RouteTerms const &terms :
             {RouteTerms{}, RouteTerms{.isRepeatable = false, .latencyObjective = 400ms},
              RouteTerms{.isRepeatable = true, .latencyObjective = 100ms}})
            CPPUNIT_ASSERT(Watch(terms).open(1).lateAfter == Duration::zero());
    }

    void limitOfZeroTurnsItOff()
    {
        Watch watch(patient, 0);
        CPPUNIT_ASSERT(watch.open(1).lateAfter == Duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateOpeningsTest);

} // namespace almondwing
