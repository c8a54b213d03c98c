// Tests of the choice of a target for a new flow.

#include "TokenFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>

namespace almondwing {

class FlowPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowPlacementTest);
    CPPUNIT_TEST(burstSpreadsEvenlyOverSlots);
    CPPUNIT_TEST(ownFailureDomainIsPreferred);
    CPPUNIT_TEST(fullFailureDomainSpills);
    CPPUNIT_TEST(flowsOfOtherInstancesCount);
    CPPUNIT_TEST(loadedFailureDomainGetsNoSpill);
    CPPUNIT_TEST(warmTargetIsPreferredToColdOne);
    CPPUNIT_TEST(coldTargetGetsFlowsOnlyFromPermittedInstances);
    CPPUNIT_TEST(coldPermitExpires);
    CPPUNIT_TEST(suspectTargetsAreAvoidedUnlessMostAre);
    CPPUNIT_TEST(targetsWithSameTokenDoNotShareFlows);
    CPPUNIT_TEST(sweepForgetsIdleFlows);
    CPPUNIT_TEST_SUITE_END();

    TokenFixture fixture;

    std::map<TargetNumber, int> openMany(int count, int firstPort = 1000)
    {
        std::map<TargetNumber, int> counts;
        for (int index = 0; index < count; ++index)
            ++counts[this->fixture.targetOf(
                this->fixture.decide(openPacket(static_cast<std::uint16_t>(firstPort + index))))];
        return counts;
    }

    // Guards against uneven load when all callers reconnect simultaneously after an outage.
    void burstSpreadsEvenlyOverSlots()
    {
        RegisteredTarget large = testTarget(1, "dar-a");
        large.slots = 4;
        this->fixture.setTargets({large, testTarget(2, "dar-a"), testTarget(3, "dar-a")});
        auto const counts = this->openMany(80);
        CPPUNIT_ASSERT_EQUAL(40, counts.at(TargetNumber{1}));
        CPPUNIT_ASSERT_EQUAL(20, counts.at(TargetNumber{2}));
        CPPUNIT_ASSERT_EQUAL(20, counts.at(TargetNumber{3}));
    }

    void ownFailureDomainIsPreferred()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-b")});
        auto const counts = this->openMany(20);
        CPPUNIT_ASSERT_EQUAL(20, counts.at(TargetNumber{1}));
    }

    void fullFailureDomainSpills()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-b")});
        auto const counts = this->openMany(200);
        CPPUNIT_ASSERT(counts.at(TargetNumber{2}) >= 60);
        CPPUNIT_ASSERT(counts.at(TargetNumber{1}) > counts.at(TargetNumber{2}));
    }

    void flowsOfOtherInstancesCount()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        setRemoteActivity(this->fixture.board,
                          {TargetActivity{.token = tokenOf(TargetNumber{1}), .flows = 10}});
        auto counts = this->openMany(10);
        CPPUNIT_ASSERT_EQUAL(10, counts.at(TargetNumber{2}));
        clearRemoteActivity(this->fixture.board);
        counts = this->openMany(4, 2000);
        CPPUNIT_ASSERT_EQUAL(4, counts.at(TargetNumber{1}));
    }

    // Guards against spilling into a failure domain that is just as loaded: an instance sees the load of its
    // own domain, but in another domain only the few flows that it has placed there itself.
    void loadedFailureDomainGetsNoSpill()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-b")});
        setGroupLoads(this->fixture.board,
                      {GroupLoad{.group = TargetGroup{"orders", "dar-b"}, .flows = 400, .slots = 2}});
        auto const counts = this->openMany(200);
        CPPUNIT_ASSERT_EQUAL(200, counts.at(TargetNumber{1}));
    }

    void warmTargetIsPreferredToColdOne()
    {
        RegisteredTarget cold = testTarget(1, "dar-a");
        cold.coldUntil = testStart + 2s;
        this->fixture.setTargets({cold, testTarget(2, "dar-b")});
        CPPUNIT_ASSERT_EQUAL(20, this->openMany(20).at(TargetNumber{2}));
        this->fixture.now += 3s;
        CPPUNIT_ASSERT(this->openMany(1, 2000).contains(TargetNumber{1}));
    }

    // Guards against a cold target that is overloaded because each instance only limits its own rate of
    // flows.
    void coldTargetGetsFlowsOnlyFromPermittedInstances()
    {
        constexpr std::size_t instances = 6;
        constexpr std::size_t permits = 4;
        RegisteredTarget cold = testTarget(1, "dar-a");
        cold.coldUntil = testStart + 1h;
        std::vector<std::unique_ptr<TokenFixture>> fixtures;
        for (std::size_t index = 0; index < instances; ++index) {
            fixtures.push_back(std::make_unique<TokenFixture>());
            fixtures.back()->setTargets({cold});
            if (index < permits)
                fixtures.back()->router.permitColdFlows(testStart + 1h);
        }
        std::vector<Timestamp> opened;
        for (Duration passed = 0s; passed < 20s; passed += 10ms) {
            for (std::size_t index = 0; index < instances; ++index) {
                fixtures[index]->now = testStart + passed;
                auto const port = static_cast<std::uint16_t>(passed / 10ms + 1);
                if (fixtures[index]->targetOf(fixtures[index]->decide(openPacket(port))).isNone())
                    continue;
                CPPUNIT_ASSERT(index < permits);
                opened.push_back(fixtures[index]->now);
            }
        }
        CPPUNIT_ASSERT(opened.size() > 20);
        for (Timestamp const from : opened) {
            auto const inSecond =
                std::ranges::count_if(opened, [&](Timestamp at) { return at >= from && at < from + 1s; });
            CPPUNIT_ASSERT(inSecond <= static_cast<std::ptrdiff_t>(permits));
        }
    }

    void coldPermitExpires()
    {
        RegisteredTarget cold = testTarget(1, "dar-a");
        cold.coldUntil = testStart + 1h;
        this->fixture.setTargets({cold});
        this->fixture.router.permitColdFlows(testStart + 1s);
        CPPUNIT_ASSERT(this->openMany(1).contains(TargetNumber{1}));
        this->fixture.now += 2s;
        CPPUNIT_ASSERT(!this->openMany(1, 2000).contains(TargetNumber{1}));
    }

    void suspectTargetsAreAvoidedUnlessMostAre()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-a")});
        markSuspect(this->fixture.board, tokenOf(TargetNumber{1}), openPacket(1).flow, RouteTerms{},
                    PassiveHealthSettings{}, this->fixture.now);
        CPPUNIT_ASSERT(!this->openMany(20).contains(TargetNumber{1}));
        markSuspect(this->fixture.board, tokenOf(TargetNumber{2}), openPacket(1).flow, RouteTerms{},
                    PassiveHealthSettings{}, this->fixture.now);
        CPPUNIT_ASSERT(this->openMany(40, 2000).contains(TargetNumber{1}));
    }

    // Guards against packets that reach the wrong one of two targets with the same token.
    void targetsWithSameTokenDoNotShareFlows()
    {
        std::vector<ViewTarget> targets;
        RegisteredTarget later = testTarget(1, "dar-a");
        later.reportVersion.startUnixMilliseconds = 200;
        later.service = "prints";
        targets.push_back(ViewTarget{.target = later});
        targets.push_back(ViewTarget{.target = testTarget(1, "dar-a")});
        ServingView const view = makeServingView(testConfiguration(), targets, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.targets.size());
        CPPUNIT_ASSERT(view.targetOf(tokenOf(TargetNumber{1}))->target.service == "orders");
        CPPUNIT_ASSERT(!view.tokensOfService.contains("prints"));
    }

    void sweepForgetsIdleFlows()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        this->openMany(10);
        auto const activity = sweepFlows(this->fixture.board, this->fixture.now);
        CPPUNIT_ASSERT(activity
                       == (std::vector{TargetActivity{.token = tokenOf(TargetNumber{1}), .flows = 10}}));
        CPPUNIT_ASSERT(sweepFlows(this->fixture.board, this->fixture.now + 5s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, this->fixture.board.flows.size());
        sweepFlows(this->fixture.board, this->fixture.now + 16s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->fixture.board.flows.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPlacementTest);

} // namespace almondwing
