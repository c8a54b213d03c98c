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
        ClaimUpdate const claim{.target = record->value.id,
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSearchTest);

} // namespace almondwing
