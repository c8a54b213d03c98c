// Tests of individual decisions about flows: admission, spilling, and the ending of flows.

#include "RoutingCluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

// Opens 200 flows, with one target in each of two failure domains.
void openFlowsAtTwoTargets(RoutingCluster &cluster)
{
    cluster.addTarget("cab-1", "zvolen");
    cluster.addTarget("cab-2", "banska");
    cluster.advance(3s);
    for (std::uint64_t flow = 1; flow <= 200; ++flow)
        cluster.openFlow(flow);
    cluster.advance(1s);
}

} // namespace

class FlowControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowControllerTest);
    CPPUNIT_TEST(fullTargetSpillsThenRefuses);
    CPPUNIT_TEST(endedFlowReleasesItsConnection);
    CPPUNIT_TEST(unknownFlowIsReportedBroken);
    CPPUNIT_TEST(restartedTargetBreaksItsFlowsOnly);
    CPPUNIT_TEST(flowsOfTakenOutDomainAreBroken);
    CPPUNIT_TEST(onlySilentFlowIsReported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a target that gets more connections than its limit, and against refusals while another
    // target has free connections.
    void fullTargetSpillsThenRefuses()
    {
        RoutingCluster cluster(1, {"zvolen", "banska"}, 2);
        cluster.addTarget("cab-1", "zvolen");
        cluster.addTarget("cab-2", "banska");
        cluster.setRampLevel("cab-1", 0);
        cluster.setRampLevel("cab-2", 0);
        cluster.advance(3s);
        constexpr std::uint64_t flowCount = 400; // Level 0 of 2,000 connections is 125 for each target.
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.openFlow(flow);
        cluster.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{125}, cluster.openFlowsAt("cab-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{125}, cluster.openFlowsAt("cab-2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{150}, cluster.refused.size());
    }

    // Guards against connections that are not released, after which the target would get no new flows.
    void endedFlowReleasesItsConnection()
    {
        RoutingCluster cluster(2, {"zvolen"}, 2);
        cluster.addTarget("cab-1", "zvolen");
        cluster.advance(3s);
        for (std::uint64_t flow = 1; flow <= 100; ++flow)
            cluster.openFlow(flow);
        cluster.advance(1s);
        cluster.restartTarget("cab-1");
        cluster.advance(5s);
        std::uint32_t counted = 0;
        for (std::size_t index = 0; index < cluster.instanceCount(); ++index) {
            auto const usage = cluster.blackboardOf(index).usage.read(TargetId::fromName("cab-1"));
            counted += usage ? usage->value.connections : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, counted);
    }

    // Guards against a caller that waits indefinitely on a flow that no target has.
    void unknownFlowIsReportedBroken()
    {
        RoutingCluster cluster(3, {"zvolen"}, 2);
        cluster.addTarget("cab-1", "zvolen");
        cluster.advance(15s);
        cluster.sendData(7);
        cluster.advance(1s);
        CPPUNIT_ASSERT(cluster.broken.contains(7));
        CPPUNIT_ASSERT(cluster.broken.at(7) == Reason::UnknownFlow);
    }

    // Guards against a restart of one target that ends flows of another, or that is not reported to the
    // callers.
    void restartedTargetBreaksItsFlowsOnly()
    {
        RoutingCluster cluster(4, {"zvolen", "banska"}, 2);
        openFlowsAtTwoTargets(cluster);
        std::size_t const flowsBefore = cluster.openFlowsAt("cab-1");
        cluster.restartTarget("cab-1");
        cluster.advance(5s);
        CPPUNIT_ASSERT_EQUAL(flowsBefore, cluster.broken.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{200} - flowsBefore, cluster.openFlowsAt("cab-2"));
    }

    // Guards against packets that are still sent to a failure domain after operators have taken it out.
    void flowsOfTakenOutDomainAreBroken()
    {
        RoutingCluster cluster(5, {"zvolen", "banska"}, 2);
        openFlowsAtTwoTargets(cluster);
        std::size_t const flowsBefore = cluster.openFlowsAt("cab-1");
        cluster.setDomainState("zvolen", FailureDomainState::TakenOut);
        cluster.advance(3s);
        CPPUNIT_ASSERT_EQUAL(flowsBefore, cluster.broken.size());
        for (auto const &[flow, reason] : cluster.broken)
            CPPUNIT_ASSERT(reason == Reason::FailureDomainTakenOut);
        for (std::uint64_t flow = 1000; flow < 1100; ++flow)
            cluster.openFlow(flow);
        cluster.advance(1s);
        CPPUNIT_ASSERT_EQUAL(flowsBefore, cluster.openFlowsAt("cab-1"));
        CPPUNIT_ASSERT(cluster.refused.empty());
    }

    // Guards against a caller that waits indefinitely on a flow whose state a middlebox has lost, and against
    // the ending of other flows of the same target.
    void onlySilentFlowIsReported()
    {
        RoutingCluster cluster(6, {"zvolen"}, 2);
        cluster.addTarget("cab-1", "zvolen");
        cluster.advance(3s);
        for (std::uint64_t flow = 1; flow <= 20; ++flow)
            cluster.openFlow(flow);
        cluster.advance(1s);
        cluster.silenceFlow(7);
        for (int second = 0; second < 20; ++second) {
            CPPUNIT_ASSERT(second > 14 || !cluster.broken.contains(7));
            for (std::uint64_t flow = 1; flow <= 20; ++flow)
                cluster.sendData(flow);
            cluster.advance(1s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.broken.size());
        CPPUNIT_ASSERT(cluster.broken.at(7) == Reason::TargetSilent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowControllerTest);

} // namespace almondwing
