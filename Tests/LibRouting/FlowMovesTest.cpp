// Property tests that established flows survive planned changes and losses of instances. Packets reach random
// instances, and the instances learn of a change at different times.

#include "RoutingCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace almondwing {

namespace {

constexpr std::uint64_t flowCount = 60;
constexpr std::size_t targetCount = 6;

std::string targetName(std::size_t index)
{
    return fmt::format("cab-{}", index);
}

RoutingCluster makeCluster(std::uint64_t seed)
{
    RoutingCluster cluster(seed, {"zvolen", "banska", "brezno"}, 2);
    for (std::size_t index = 0; index < targetCount; ++index)
        cluster.addTarget(targetName(index),
                          index % 3 == 0       ? "zvolen"
                              : index % 3 == 1 ? "banska"
                                               : "brezno");
    cluster.advance(3s);
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        cluster.openFlow(flow);
    cluster.advance(1s);
    return cluster;
}

// Sends a packet on each flow while changes spread, so that packets meet instances with different routing
// views.
void sendOnAllFlows(RoutingCluster &cluster)
{
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow) {
        if (cluster.established.contains(flow))
            cluster.sendData(flow);
    }
    cluster.advance(200ms);
}

void sendFor(RoutingCluster &cluster, int rounds)
{
    for (int round = 0; round < rounds; ++round)
        sendOnAllFlows(cluster);
}

// Reports the broken flows and their reasons if the property fails.
void expectNoBrokenFlows(RoutingCluster const &cluster)
{
    for (auto const &[flow, reason] : cluster.broken)
        RC_LOG() << "broken: " << reasonName(reason) << '\n' << cluster.describeFlow(flow);
    for (std::string const &violation : cluster.violations)
        RC_LOG() << violation << '\n';
    RC_ASSERT(cluster.broken.empty());
    RC_ASSERT(cluster.violations.empty());
}

void expectAllFlowsAnswer(RoutingCluster &cluster)
{
    cluster.answers.clear();
    cluster.lossProbability = 0;
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        cluster.sendData(flow);
    cluster.advance(1s);
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow) {
        if (!cluster.answers.contains(flow))
            RC_LOG() << cluster.describeFlow(flow);
        RC_ASSERT(cluster.answers.contains(flow));
    }
}

enum class PlannedChange { DrainTarget, UndrainTarget, AddTarget, RampDown, RampUp, LeaveInstance };

void apply(RoutingCluster &cluster, PlannedChange change, std::size_t &added, std::vector<std::size_t> &left)
{
    std::size_t const target = *rc::gen::inRange<std::size_t>(0, targetCount - 1);
    switch (change) {
    case PlannedChange::DrainTarget:
        cluster.setTargetState(targetName(target), TargetState::Draining);
        return;
    case PlannedChange::UndrainTarget:
        cluster.setTargetState(targetName(target), TargetState::Warm);
        return;
    case PlannedChange::AddTarget:
        cluster.addTarget(targetName(targetCount + added++), "banska");
        return;
    case PlannedChange::RampDown:
        cluster.setRampLevel(targetName(target), 2);
        return;
    case PlannedChange::RampUp:
        cluster.setRampLevel(targetName(target), 4);
        return;
    case PlannedChange::LeaveInstance: {
        // Only the first instance of each failure domain may leave, so that the other one stays.
        std::size_t const instance = 2 * *rc::gen::inRange<std::size_t>(0, 3);
        if (std::ranges::find(left, instance) == left.end()) {
            left.push_back(instance);
            cluster.leaveInstance(instance);
        }
        return;
    }
    }
}

} // namespace

class FlowMovesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowMovesTest);
    CPPUNIT_TEST(flowsSurvivePlannedChanges);
    CPPUNIT_TEST(repeatedPacketsOpenNoSecondFlow);
    CPPUNIT_TEST(flowsSurviveTheLossOfADispatcher);
    CPPUNIT_TEST(flowsSurviveTwoLossesInARow);
    CPPUNIT_TEST(unusedFlowsSurviveALossAndAMove);
    CPPUNIT_TEST(copiedExceptionsSurviveTheLossOfADispatcher);
    CPPUNIT_TEST(packetsStayWithinTheirService);
    CPPUNIT_TEST(restartedInstancesLearnTheClaims);
    CPPUNIT_TEST(flowsOfATemporaryDispatcherSurvive);
    CPPUNIT_TEST_SUITE_END();

    // Guards against flows that break when targets drain, join or change their ramp level, or when instances
    // leave.
    void flowsSurvivePlannedChanges()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            RC_ASSERT(cluster.established.size() == flowCount);
            auto const changes = *rc::gen::container<std::vector<PlannedChange>>(rc::gen::element(
                PlannedChange::DrainTarget, PlannedChange::UndrainTarget, PlannedChange::AddTarget,
                PlannedChange::RampDown, PlannedChange::RampUp, PlannedChange::LeaveInstance));
            std::size_t added = 0;
            std::vector<std::size_t> left;
            for (PlannedChange const change : changes) {
                apply(cluster, change, added, left);
                sendFor(cluster, *rc::gen::inRange(1, 8));
            }
            sendFor(cluster, 10);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a retransmitted OpenFlow that opens the flow at a second target because it reaches an
    // instance with another routing view.
    void repeatedPacketsOpenNoSecondFlow()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.duplicateProbability = 0.3;
            cluster.addTarget(targetName(targetCount), "zvolen");
            cluster.setTargetState(targetName(1), TargetState::Draining);
            for (int round = 0; round < 10; ++round) {
                for (std::uint64_t flow = 1; flow <= 20; ++flow) {
                    cluster.openFlow(1000 + flow);
                    cluster.openFlow(1000 + flow);
                }
                cluster.advance(100ms);
            }
            expectNoBrokenFlows(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against flows that break with the instance that dispatched for their target.
    void flowsSurviveTheLossOfADispatcher()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.killInstance(*rc::gen::inRange<std::size_t>(0, cluster.instanceCount()));
            sendFor(cluster, 20);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against flows that break when the second instance of a failure domain is lost soon after the
    // first one has restarted.
    void flowsSurviveTwoLossesInARow()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            std::size_t const first = *rc::gen::inRange<std::size_t>(0, cluster.instanceCount());
            std::size_t const second = first ^ 1U; // The other instance of the same failure domain.
            cluster.killInstance(first);
            sendFor(cluster, 8);
            cluster.startInstance(first);
            sendFor(cluster, 8);
            cluster.killInstance(second);
            sendFor(cluster, 20);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against the loss of flows that send nothing from the loss of their dispatcher until their
    // buckets have moved. The successor has no records of these flows from which it could derive its claim.
    void unusedFlowsSurviveALossAndAMove()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.killInstance(*rc::gen::inRange<std::size_t>(0, cluster.instanceCount()));
            cluster.advance(15s);
            cluster.setTargetState(targetName(0), TargetState::Draining);
            cluster.setTargetState(targetName(4), TargetState::Draining);
            cluster.advance(15s); // Longer than bucket moves are retained.
            sendFor(cluster, 5);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against exceptions that are lost with their dispatcher. An exception is a flow that is not at
    // the target of its bucket.
    void copiedExceptionsSurviveTheLossOfADispatcher()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.setTargetState(targetName(0), TargetState::Draining);
            cluster.setTargetState(targetName(3), TargetState::Draining);
            sendFor(cluster, 25);
            cluster.killInstance(*rc::gen::inRange<std::size_t>(0, cluster.instanceCount()));
            sendFor(cluster, 20);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a restarted instance that does not receive the claims published before its start and
    // breaks the flows.
    void restartedInstancesLearnTheClaims()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.setTargetState(targetName(0), TargetState::Draining);
            cluster.setTargetState(targetName(4), TargetState::Draining);
            sendFor(cluster, 70); // Longer than claims are resent and bucket moves retained.
            for (std::size_t instance = 0; instance < cluster.instanceCount(); ++instance) {
                cluster.killInstance(instance);
                sendFor(cluster, 10);
                cluster.startInstance(instance);
                sendFor(cluster, 15);
            }
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against an instance that received the first announcement of a target, was replaced as its
    // dispatcher for some time, and then treats its flow table of the target as complete.
    void flowsOfATemporaryDispatcherSurvive()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), {"zvolen"}, 2);
            std::size_t const temporary = *rc::gen::inRange<std::size_t>(0, 2);
            cluster.killInstance(temporary);
            cluster.advance(3s);
            for (std::size_t index = 0; index < targetCount; ++index)
                cluster.addTarget(targetName(index), "zvolen");
            cluster.advance(3s);
            cluster.startInstance(temporary);
            cluster.advance(15s);
            for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
                cluster.openFlow(flow);
            cluster.advance(1s);
            RC_ASSERT(cluster.established.size() == flowCount);
            cluster.killInstance(temporary);
            cluster.advance(15s); // No packet is sent until the grace period is over.
            sendFor(cluster, 5);
            expectNoBrokenFlows(cluster);
            expectAllFlowsAnswer(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a packet that reaches a target of another service while tables change and dispatchers
    // die.
    void packetsStayWithinTheirService()
    {
        bool const holds = rc::check([] {
            RoutingCluster cluster = makeCluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.duplicateProbability = 0.1;
            for (std::size_t index = 0; index < targetCount; ++index)
                cluster.addTarget(fmt::format("desk-{}", index), index % 2 == 0 ? "zvolen" : "banska",
                                  "manifest-desk");
            cluster.advance(2s);
            cluster.killInstance(*rc::gen::inRange<std::size_t>(0, cluster.instanceCount()));
            cluster.setTargetState(targetName(*rc::gen::inRange<std::size_t>(0, targetCount)),
                                   TargetState::Draining);
            for (std::uint64_t round = 0; round < 10; ++round) {
                for (std::uint64_t flow = 1; flow <= flowCount; ++flow) {
                    std::uint64_t const deskFlow = RoutingCluster::firstDeskFlow + flow;
                    cluster.openFlow(deskFlow);
                    // Data of a flow that is not accepted yet may overtake its OpenFlow and is then correctly
                    // reported as broken.
                    if (cluster.established.contains(deskFlow))
                        cluster.sendData(deskFlow);
                    cluster.sendData(flow);
                }
                cluster.advance(200ms);
            }
            RC_ASSERT(cluster.established.size() > flowCount);
            expectNoBrokenFlows(cluster);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowMovesTest);

} // namespace almondwing
