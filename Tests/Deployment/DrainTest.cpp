// Tests of draining a target and of taking a failure domain out and bringing it back, under load.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace almondwing {

namespace {

constexpr Duration drainBound = 3s; // R8
constexpr Duration takeOutBound = 5s; // R4

// Enough that a target in use gets its share with certainty.
constexpr int workElsewhere = 100;

int workOf(Deployment const &deployment, std::string const &target)
{
    Json const statistics = deployment.targetStatistics(target);
    return statistics.at("flowsOpened").get<int>() + statistics.at("runsStarted").get<int>()
        + statistics.at("runsShed").get<int>() + statistics.at("flowsRefused").get<int>();
}

int workOf(Deployment const &deployment, std::vector<std::string> const &targets)
{
    int sum = 0;
    for (std::string const &target : targets)
        sum += workOf(deployment, target);
    return sum;
}

void expectWork(Deployment const &deployment, std::vector<std::string> const &targets, int amount)
{
    int const before = workOf(deployment, targets);
    CPPUNIT_ASSERT_MESSAGE("no work at " + targets.front(),
                           waitUntil([&] { return workOf(deployment, targets) >= before + amount; }));
}

void expectSuccess(CommandResult const &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, 0, result.exitCode);
}

// Flows and requests that go on until the test ends.
std::unique_ptr<ChildProcess> startEndlessWork(Deployment &deployment)
{
    return deployment.startCaller({"--flows", "100000", "--flow-rate", "20", "--ports", "4", "--interval-ms",
                                   "1000", "--flows-for-ms", "600000", "--requests", "100000", "--rate",
                                   "10"});
}

// Packets that the instances of a failure domain sent to its targets. Only they dispatch for these targets.
double packetsInto(Deployment const &deployment, std::string const &failureDomain)
{
    double sum = 0;
    for (InstancePlan const &plan : deployment.instances()) {
        if (plan.failureDomain == failureDomain)
            sum += deployment.metric(plan, "almondwing_datagrams_sent_total{socket=\"target\"}");
    }
    return sum;
}

} // namespace

class DrainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainTest);
    CPPUNIT_TEST(drainedTargetGetsNoNewWork);
    CPPUNIT_TEST(failureDomainTakenOutGetsNoPacket);
    CPPUNIT_TEST_SUITE_END();

    // Guards against new work at a leaving target (R8), and against a drain that cuts its flows (R1).
    void drainedTargetGetsNoNewWork()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = deployment.startCaller(
            {"--flows", "40", "--flow-rate", "40", "--interval-ms", "200", "--flows-for-ms", "25000"});
        auto const work = startEndlessWork(deployment);
        expectWork(deployment, {"desk-1"}, 5);
        expectSuccess(deployment.control({"drain", "desk-1"}));
        std::this_thread::sleep_for(drainBound);
        int const workAfterBound = workOf(deployment, "desk-1");
        expectWork(deployment, {"desk-2", "desk-3", "desk-4"}, workElsewhere);
        CPPUNIT_ASSERT_EQUAL(workAfterBound, workOf(deployment, "desk-1"));
        expectSuccess(deployment.control({"undrain", "desk-1"}));
        expectWork(deployment, {"desk-1"}, 5);
        Json const summary = deployment.summaryOf(*flows);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 40, summary["flows"]["aliveAtEnd"].get<int>());
    }

    // Guards against packets in a failure domain that is out of service (R4), and against one that does not
    // come back into use.
    void failureDomainTakenOutGetsNoPacket()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const work = startEndlessWork(deployment);
        expectWork(deployment, {"desk-3"}, 5);
        expectSuccess(deployment.control({"take-out", "dar-c"}));
        std::this_thread::sleep_for(takeOutBound);
        int const workAfterBound = workOf(deployment, "desk-3");
        double const packetsAfterBound = packetsInto(deployment, "dar-c");
        CPPUNIT_ASSERT(packetsAfterBound > 0);
        expectWork(deployment, {"desk-1", "desk-2", "desk-4"}, workElsewhere);
        auto const flows = deployment.startCaller(
            {"--flows", "20", "--flow-rate", "20", "--interval-ms", "200", "--flows-for-ms", "3000"});
        Json const summary = deployment.summaryOf(*flows);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 20, summary["flows"]["aliveAtEnd"].get<int>());
        CPPUNIT_ASSERT_EQUAL(workAfterBound, workOf(deployment, "desk-3"));
        CPPUNIT_ASSERT_EQUAL(packetsAfterBound, packetsInto(deployment, "dar-c"));
        expectSuccess(deployment.control({"bring-back", "dar-c"}));
        expectWork(deployment, {"desk-3"}, 5);
        for (std::string const target : {"desk-1", "desk-2", "desk-3", "desk-4"})
            CPPUNIT_ASSERT_EQUAL(0, deployment.targetStatistics(target).at("foreignPackets").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace almondwing
