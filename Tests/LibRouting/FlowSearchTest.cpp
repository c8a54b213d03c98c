// Tests of the search for flows whose dispatcher has lost their records, while several targets claim the
// buckets of these flows.

#include "RoutingCluster.h"

#include <LibRouting/ClaimTiming.h>
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

// Stores a claim of the target for all buckets at every instance.
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

// Restarts an instance without state, after the other instances have learned of its end.
void restartInstance(RoutingCluster &cluster, std::size_t index)
{
    cluster.killInstance(index);
    cluster.advance(1s);
    cluster.startInstance(index);
    cluster.advance(1s);
}

// Sets up one instance and one target in each of four failure domains. The bucket table contains only the
// first target. No instance has records of the flows of the other targets, and each of these claims all
// buckets.
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
    // The grace period, in which unknown flows are not reported, is over then.
    cluster.advance(15s);
}

void sendRounds(RoutingCluster &cluster, std::uint64_t lastFlow)
{
    // Sends at least one packet for each target that may have to reject a flow as unknown.
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
    CPPUNIT_TEST(flowIsFoundAtAnyClaimant);
    CPPUNIT_TEST(flowIsFoundAfterLossOfAllRecords);
    CPPUNIT_TEST(flowWithoutOwnerIsReportedBroken);
    CPPUNIT_TEST(flowSurvivesMissingTargetRecord);
    CPPUNIT_TEST(flowOfGoneTargetIsReportedBroken);
    CPPUNIT_TEST(flowSurvivesUnpromotedHandover);
    CPPUNIT_TEST(earlyHandoverIsPromotedLater);
    CPPUNIT_TEST(handoverOfUnknownTargetIsDropped);
    CPPUNIT_TEST(flowSurvivesTakeoverDuringRestart);
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

    // Guards against a flow that is repeatedly adopted for a target that does not know it.
    void flowIsFoundAtAnyClaimant()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            RoutingCluster cluster(seed, {"domain-0", "domain-1", "domain-2", "domain-3"}, 1);
            loseRecordsOfClaimants(cluster);
            this->expectAllFlowsAnswer(cluster);
        }
    }

    void flowIsFoundAfterLossOfAllRecords()
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

    // Guards against a caller that waits indefinitely because each claimant forwards its flow to another.
    void flowWithoutOwnerIsReportedBroken()
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

    // Sets up two failure domains with one target each. The second target drains, so its flows are found only
    // by its claim.
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

    // Guards against breaking flows as unknown while an instance that has just started does not have the
    // records of their targets yet. RestartTest::gracefulRestartsCutNothing covers the same failure.
    void flowSurvivesMissingTargetRecord()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &restarted = cluster.blackboardOf(1);
        for (auto const &[key, record] : restarted.flows.entries())
            restarted.flows.remove(key);
        auto const record = restarted.targets.read(TargetId::fromName(targetName(1)));
        restarted.targets.remove(record->value.id);
        restarted.flowTableStatus.remove(record->value.id);
        restarted.targetsSeenFromStart.remove(record->value.id);
        cluster.advance(200ms);
        expectNoneBroken(cluster);

        restarted.targets.write(record->value.id, record->value, 0);
        cluster.advance(200ms);
        this->expectAllFlowsAnswer(cluster);
    }

    // Guards against a caller that waits for a flow of a target that is gone and can't be searched any more.
    void flowOfGoneTargetIsReportedBroken()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        std::size_t const lost = cluster.openFlowsAt(targetName(1));
        Blackboard &restarted = cluster.blackboardOf(1);
        for (auto const &[key, record] : restarted.flows.entries())
            restarted.flows.remove(key);
        cluster.setTargetState(targetName(1), TargetState::Gone);
        cluster.advance(searchGracePeriod + 2s);
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
            cluster.sendData(flow);
        cluster.deliverAll();
        CPPUNIT_ASSERT_EQUAL(lost, cluster.broken.size());
    }

    // Guards against breaking flows as unknown between the arrival of their handover and the routing view in
    // which the receiver is their dispatcher.
    void flowSurvivesUnpromotedHandover()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &successor = cluster.blackboardOf(1);
        for (auto const &[key, record] : successor.flows.entries()) {
            successor.flows.remove(key);
            successor.sentFlowCopies.remove(key);
            FlowCopy const copy{.target = record.target, .caller = record.caller};
            successor.receivedFlowCopies.write(key, copy, 0);
        }
        expectNoneBroken(cluster);
        cluster.advance(regularHandoverInterval + 1s);
        this->expectAllFlowsAnswer(cluster);
    }

    // Guards against the loss of a handover that arrives before the record of the target. Without the
    // handover no instance has a record of the flows, and they are reported as unknown.
    void earlyHandoverIsPromotedLater()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        drainSecondTarget(cluster);
        Blackboard &successor = cluster.blackboardOf(1);
        auto const flows = successor.flows.entries();
        auto const record = successor.targets.read(TargetId::fromName(targetName(1)));
        successor.targets.remove(record->value.id);
        successor.flowTableStatus.remove(record->value.id);
        successor.targetsSeenFromStart.remove(record->value.id);
        for (auto const &[key, flow] : flows) {
            successor.flows.remove(key);
            successor.sentFlowCopies.remove(key);
            FlowCopy const copy{.target = flow.target, .caller = flow.caller, .receivedAt = cluster.time()};
            successor.receivedFlowCopies.write(key, copy, 0);
        }
        cluster.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(flows.size(), successor.receivedFlowCopies.size());
        successor.targets.write(record->value.id, record->value, 0);
        cluster.advance(500ms);
        for (auto const &[key, flow] : flows)
            CPPUNIT_ASSERT(successor.flows.contains(key));
    }

    void handoverOfUnknownTargetIsDropped()
    {
        RoutingCluster cluster(7, {"domain-0", "domain-1"}, 1);
        Blackboard &successor = cluster.blackboardOf(1);
        FlowKey const key{.service = ServiceId{5}, .flow = 9};
        FlowCopy const copy{.target = TargetId::fromName("gone"), .receivedAt = cluster.time()};
        successor.receivedFlowCopies.write(key, copy, 0);
        cluster.advance(unknownTargetRetention + regularHandoverInterval + 1s);
        CPPUNIT_ASSERT(!successor.receivedFlowCopies.contains(key));
    }

    static std::size_t dispatcherOf(RoutingCluster &cluster, std::string const &target)
    {
        auto const view = cluster.blackboardOf(0).routingView.read();
        InstanceId const dispatcher = view->findTarget(TargetId::fromName(target))->dispatcher;
        for (std::size_t index = 0; index < cluster.instanceCount(); ++index) {
            if (cluster.blackboardOf(index).ownStatus.read()->self.id == dispatcher)
                return index;
        }
        return cluster.instanceCount();
    }

    // Guards against breaking flows as unknown at an instance that has just started, while the claim of their
    // target passes from a leaving dispatcher to its successor, which publishes it after transferPeriod.
    void flowSurvivesTakeoverDuringRestart()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RoutingCluster cluster(seed, {"domain-0", "domain-1"}, 2);
            drainSecondTarget(cluster);
            std::size_t const restarted = dispatcherOf(cluster, targetName(0));
            std::size_t const leaving = dispatcherOf(cluster, targetName(1));
            cluster.killInstance(restarted);
            cluster.advance(1s);
            cluster.startInstance(restarted);
            cluster.advance(200ms);
            cluster.leaveInstance(leaving);
            for (int round = 0; round < 80; ++round) {
                for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
                    cluster.sendData(flow);
                cluster.advance(100ms);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), std::size_t{0}, cluster.broken.size());
            this->expectAllFlowsAnswer(cluster);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSearchTest);

} // namespace almondwing
