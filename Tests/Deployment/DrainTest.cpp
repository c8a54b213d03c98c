// Tests of draining a target, and of taking a failure domain out of service and bringing it back, under load.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace almondwing {

namespace {

constexpr Duration drainDeadline = 3s; // Until a drained target gets no new work.
constexpr Duration takeOutDeadline = 5s; // Until a failure domain taken out gets no packets.

// Flows and runs to wait for at the other targets. They are enough that the target under test would receive
// some of them if it got any new work.
constexpr int workAtOtherTargets = 100;

int workCount(Deployment const &deployment, std::string const &target)
{
    Json const statistics = deployment.targetStatistics(target);
    return statistics.at("flowsOpened").get<int>() + statistics.at("runsStarted").get<int>()
        + statistics.at("runsShed").get<int>() + statistics.at("flowsRefused").get<int>();
}

int workCount(Deployment const &deployment, std::vector<std::string> const &targets)
{
    int sum = 0;
    for (std::string const &target : targets)
        sum += workCount(deployment, target);
    return sum;
}

void expectWork(Deployment const &deployment, std::vector<std::string> const &targets, int amount)
{
    int const before = workCount(deployment, targets);
    CPPUNIT_ASSERT_MESSAGE("no work at " + targets.front(),
                           waitUntil([&] { return workCount(deployment, targets) >= before + amount; }));
}

void expectSuccess(CommandResult const &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, 0, result.exitCode);
}

// Starts flows and requests that continue until the test ends.
std::unique_ptr<ChildProcess> startContinuousLoad(Deployment &deployment)
{
    return deployment.startCaller({"--flows", "100000", "--flow-rate", "20", "--ports", "4", "--interval-ms",
                                   "1000", "--flows-for-ms", "600000", "--requests", "100000", "--rate",
                                   "10"});
}

// The number of packets sent to the targets of a failure domain. Only the instances of the domain dispatch to
// them.
double packetsInto(Deployment const &deployment, std::string const &failureDomain)
{
    double sum = 0;
    for (InstanceSpec const &instance : deployment.instances()) {
        if (instance.failureDomain == failureDomain)
            sum += deployment.metric(instance, "almondwing_datagrams_sent_total{socket=\"target\"}");
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

    // Guards against new work on a draining target, and against a drain that breaks flows.
    void drainedTargetGetsNoNewWork()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = deployment.startCaller(
            {"--flows", "40", "--flow-rate", "40", "--interval-ms", "200", "--flows-for-ms", "25000"});
        auto const work = startContinuousLoad(deployment);
        expectWork(deployment, {"desk-1"}, 5);
        expectSuccess(deployment.runCtl({"drain", "desk-1"}));
        std::this_thread::sleep_for(drainDeadline);
        int const workAfterDeadline = workCount(deployment, "desk-1");
        expectWork(deployment, {"desk-2", "desk-3", "desk-4"}, workAtOtherTargets);
        CPPUNIT_ASSERT_EQUAL(workAfterDeadline, workCount(deployment, "desk-1"));
        expectSuccess(deployment.runCtl({"undrain", "desk-1"}));
        expectWork(deployment, {"desk-1"}, 5);
        Json const summary = deployment.waitForSummary(*flows);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 40, summary["flows"]["aliveAtEnd"].get<int>());
    }

    // Guards against packets to a failure domain that is out of service, and against a failure domain
    // that stays unused after it is brought back.
    void failureDomainTakenOutGetsNoPacket()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const work = startContinuousLoad(deployment);
        expectWork(deployment, {"desk-3"}, 5);
        expectSuccess(deployment.runCtl({"take-out", "dar-c"}));
        std::this_thread::sleep_for(takeOutDeadline);
        int const workAfterDeadline = workCount(deployment, "desk-3");
        double const packetsAfterDeadline = packetsInto(deployment, "dar-c");
        CPPUNIT_ASSERT(packetsAfterDeadline > 0);
        expectWork(deployment, {"desk-1", "desk-2", "desk-4"}, workAtOtherTargets);
        auto const flows = deployment.startCaller(
            {"--flows", "20", "--flow-rate", "20", "--interval-ms", "200", "--flows-for-ms", "3000"});
        Json const summary = deployment.waitForSummary(*flows);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 20, summary["flows"]["aliveAtEnd"].get<int>());
        CPPUNIT_ASSERT_EQUAL(workAfterDeadline, workCount(deployment, "desk-3"));
        CPPUNIT_ASSERT_EQUAL(packetsAfterDeadline, packetsInto(deployment, "dar-c"));
        expectSuccess(deployment.runCtl({"bring-back", "dar-c"}));
        expectWork(deployment, {"desk-3"}, 5);
        for (std::string const target : {"desk-1", "desk-2", "desk-3", "desk-4"})
            CPPUNIT_ASSERT_EQUAL(0, deployment.targetStatistics(target).at("foreignPackets").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace almondwing
