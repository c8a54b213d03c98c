// Tests of the search for flows whose dispatcher has lost their records while several targets claim their
// bucket.

#include "RoutingCluster.h"

#include <LibState/RoutingView.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <numeric>
#include <string>
#include <vector>

namespace almondwing {

namespace {

constexpr std::uint64_t flowCount = 60;
constexpr std::size_t domainCount = 4;

std::string targetName(std::size_t index)
{
    return fmt::format("cab-{}", index);
}

// Makes every instance believe that the target may have flows in any bucket.
void claimAllBuckets(RoutingCluster &cluster, std::size_t target)
{
    std::vector<std::uint16_t> buckets(bucketCount);
    std::iota(buckets.begin(), buckets.end(), std::uint16_t{0});
    for (std::size_t index = 0; index < cluster.instanceCount(); ++index) {
        auto const record = cluster.blackboardOf(index).targets.read(TargetId::fromName(targetName(target)));
        CPPUNIT_ASSERT(record);
        ClaimUpdate claim{.target = record->value.id,
                          .service = record->value.service,
                          .sequence = record->value.sequence,
                          .buckets = buckets};
        cluster.blackboardOf(index).claims.update(claim.target, [&](auto const &) { return claim; });
    }
}

// A process that starts again with nothing, after everyone has learned of its end.
void restartInstance(RoutingCluster &cluster, std::size_t index)
{
    cluster.killInstance(index);
    cluster.advance(1s);
    cluster.startInstance(index);
    cluster.advance(1s);
}

// One instance and one target in each of four failure domains. The table names the first target only; the
// flows of the others are known to nobody any more, and all of these claim all buckets.
void loseRecordsOfClaimants(RoutingCluster &cluster)
{
    for (std::size_t index = 0; index < domainCount; ++index)
        cluster.addTarget(targetName(index), fmt::format("domain-{}", index));
    cluster.advance(3s);
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        cluster.openFlow(flow);
    cluster.advance(1s);
    for (std::size_t index = 1; index < domainCount; ++index)
        cluster.setTargetState(targetName(index), TargetState::Draining);
    cluster.advance(1s);
    for (std::size_t index = 1; index < domainCount; ++index)
        restartInstance(cluster, index);
    for (std::size_t index = 1; index < domainCount; ++index)
        claimAllBuckets(cluster, index);
    // Past the time in which an unknown flow is not reported.
    cluster.advance(15s);
}

void sendRounds(RoutingCluster &cluster, std::uint64_t lastFlow)
{
    // One packet for each target that may have to disclaim a flow, and some more.
    for (int round = 0; round < 8; ++round) {
        for (std::uint64_t flow = 1; flow <= lastFlow; ++flow) {
            if (!cluster.broken.contains(flow))
                cluster.sendData(flow);
        }
        cluster.advance(500ms);
    }
}

} // namespace

class FlowSearchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowSearchTest);
    CPPUNIT_TEST(flowIsFoundAtWhicheverClaimantHasIt);
    CPPUNIT_TEST(flowIsFoundWhenTheTableNamesAnInstanceThatLostItsRecordsToo);
    CPPUNIT_TEST(flowThatNoClaimantHasIsReportedBroken);
    CPPUNIT_TEST(flowOfATargetThatItsDispatcherDoesNotKnowYetIsKept);
    CPPUNIT_TEST(flowOfATargetThatIsGoneIsReportedBroken);
    CPPUNIT_TEST(flowWhoseHandoverIsNotTakenInYetIsKept);
    CPPUNIT_TEST(handoverOfATargetThatIsNotKnownYetIsTakenInLater);
    CPPUNIT_TEST(handoverOfATargetThatStaysUnknownIsDropped);
    CPPUNIT_TEST_SUITE_END();

    void expectAllFlowsAnswer(RoutingCluster &cluster)
    {
        sendRounds(cluster, flowCount);
        cluster.answers.clear();
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.sendData(flow);
        cluster.advance(1s);
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            CPPUNIT_ASSERT_MESSAGE(cluster.describeFlow(flow), cluster.answers.contains(flow));
        CPPUNIT_ASSERT(cluster.broken.empty());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    // Guards against a flow that is adopted again and again for a target that does not know it.
    void flowIsFoundAtWhicheverClaimantHasIt()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            RoutingCluster cluster(seed, {"domain-0", "domain-1", "domain-2", "domain-3"}, 1);
            loseRecordsOfClaimants(cluster);
            this->expectAllFlowsAnswer(cluster);
        }
    }

    void flowIsFoundWhenTheTableNamesAnInstanceThatLostItsRecordsToo()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            RoutingCluster cluster(seed, {"domain-0", "domain-1", "domain-2", "domain-3"}, 1);
            loseRecordsOfClaimants(cluster);
            restartInstance(cluster, 0);
            for (std::size_t index = 1; index < domainCount; ++index)
                claimAllBuckets(cluster, index);
            this->expectAllFlowsAnswer(cluster);
        }
    }

    // Guards against a caller that waits for ever because each claimant passes its flow on to another.
    void flowThatNoClaimantHasIsReportedBroken()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1", "domain-2", "domain-3"}, 1);
        loseRecordsOfClaimants(cluster);
        constexpr std::uint64_t unknownFlows = 20;
        sendRounds(cluster, flowCount + unknownFlows);
        for (std::uint64_t flow = flowCount + 1; flow <= flowCount + unknownFlows; ++flow) {
            CPPUNIT_ASSERT_MESSAGE(cluster.describeFlow(flow), cluster.broken.contains(flow));
            CPPUNIT_ASSERT(cluster.broken.at(flow) == Reason::UnknownFlow);
        }
    }

    // Two failure domains; the flows of the second one's target, which takes no new ones, are found by its
    // claim only.
    static void drainSecondTarget(RoutingCluster &cluster)
    {
        for (std::size_t index = 0; index < 2; ++index)
            cluster.addTarget(targetName(index), fmt::format("domain-{}", index));
        cluster.advance(3s);
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.openFlow(flow);
        cluster.advance(1s);
        cluster.setTargetState(targetName(1), TargetState::Draining);
        cluster.advance(15s);
        CPPUNIT_ASSERT(cluster.openFlowsAt(targetName(1)) > 0);
    }

    static void expectNoneBroken(RoutingCluster &cluster)
    {
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.sendData(flow);
        cluster.deliverAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.broken.size());
    }

    // Guards against "unknown flow" while an instance that has just started fetches the records of targets.
    // Found by RestartTest::gracefulRestartsCutNothing.
    void flowOfATargetThatItsDispatcherDoesNotKnowYetIsKept()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &restarted = cluster.blackboardOf(1);
        for (auto const &[key, record] : restarted.flows.entries())
            restarted.flows.remove(key);
        auto const record = restarted.targets.read(TargetId::fromName(targetName(1)));
        restarted.targets.remove(record->value.id);
        restarted.flowTableStatus.remove(record->value.id);
        restarted.createdTargets.remove(record->value.id);
        cluster.advance(200ms);
        expectNoneBroken(cluster);

        restarted.targets.write(record->value.id, record->value, 0);
        cluster.advance(200ms);
        this->expectAllFlowsAnswer(cluster);
    }

    // Guards against a caller that waits for a target that has ended and can't be asked any more.
    void flowOfATargetThatIsGoneIsReportedBroken()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        std::size_t const lost = cluster.openFlowsAt(targetName(1));
        Blackboard &restarted = cluster.blackboardOf(1);
        for (auto const &[key, record] : restarted.flows.entries())
            restarted.flows.remove(key);
        cluster.setTargetState(targetName(1), TargetState::Gone);
        cluster.advance(searchGrace + 2s);
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.sendData(flow);
        cluster.deliverAll();
        CPPUNIT_ASSERT_EQUAL(lost, cluster.broken.size());
    }

    // Guards against "unknown flow" between the arrival of a handover and the table that names its receiver.
    void flowWhoseHandoverIsNotTakenInYetIsKept()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &successor = cluster.blackboardOf(1);
        for (auto const &[key, record] : successor.flows.entries()) {
            successor.flows.remove(key);
            successor.replicatedFlows.remove(key);
            FlowCopy const copy{.target = record.target, .caller = record.caller};
            successor.flowCopies.write(key, copy, 0);
        }
        expectNoneBroken(cluster);
        cluster.advance(idleHandoverInterval + 1s);
        this->expectAllFlowsAnswer(cluster);
    }

    // Guards against the loss of a handover that reaches a process before the record of the target does: the
    // flows were nobody's then, and callers were told "unknown flow".
    void handoverOfATargetThatIsNotKnownYetIsTakenInLater()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &successor = cluster.blackboardOf(1);
        auto const flows = successor.flows.entries();
        auto const record = successor.targets.read(TargetId::fromName(targetName(1)));
        successor.targets.remove(record->value.id);
        successor.flowTableStatus.remove(record->value.id);
        successor.createdTargets.remove(record->value.id);
        for (auto const &[key, flow] : flows) {
            successor.flows.remove(key);
            successor.replicatedFlows.remove(key);
            FlowCopy const copy{.target = flow.target, .caller = flow.caller, .receivedAt = cluster.time()};
            successor.flowCopies.write(key, copy, 0);
        }
        cluster.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(flows.size(), successor.flowCopies.size());
        successor.targets.write(record->value.id, record->value, 0);
        cluster.advance(500ms);
        for (auto const &[key, flow] : flows)
            CPPUNIT_ASSERT(successor.flows.contains(key));
    }

    void handoverOfATargetThatStaysUnknownIsDropped()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        Blackboard &successor = cluster.blackboardOf(1);
        FlowKey const key{.service = ServiceId{5}, .flow = 9};
        FlowCopy const copy{.target = TargetId::fromName("gone"), .receivedAt = cluster.time()};
        successor.flowCopies.write(key, copy, 0);
        cluster.advance(unknownTargetRetention + idleHandoverInterval + 1s);
        CPPUNIT_ASSERT(!successor.flowCopies.contains(key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSearchTest);

} // namespace almondwing
