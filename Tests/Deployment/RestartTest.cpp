// Tests of instances that are stopped, restarted and killed under load.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace almondwing {

namespace {

constexpr int flowCount = 50;

void expectFlowsAlive(Json const &summary)
{
    Json const &flows = summary["flows"];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), flowCount, flows["opened"].get<int>());
    CPPUNIT_ASSERT_MESSAGE("broken: " + summary.dump(), flows["broken"].empty());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, flows["silent"].get<int>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), flowCount, flows["aliveAtEnd"].get<int>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, flows["wrongPayloads"].get<int>());
}

int sumCounts(Json const &counts)
{
    int sum = 0;
    for (Json const &entry : counts)
        sum += entry.get<int>();
    return sum;
}

} // namespace

class RestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestartTest);
    CPPUNIT_TEST(gracefulRestartsCutNothing);
    CPPUNIT_TEST(killedInstanceBreaksNoFlow);
    CPPUNIT_TEST_SUITE_END();

    static std::unique_ptr<ChildProcess> startFlows(Deployment &deployment, std::string const &milliseconds)
    {
        auto flows =
            deployment.startCaller({"--flows", std::to_string(flowCount), "--flow-rate", "50", "--ports", "8",
                                    "--interval-ms", "200", "--flows-for-ms", milliseconds});
        bool const isOpen =
            waitUntil([&] { return deployment.metricSum("almondwing_flows_opened_total") >= flowCount; });
        CPPUNIT_ASSERT_MESSAGE("the flows do not open", isOpen);
        return flows;
    }

    // The fabric continues to send to the instance until its process has ended; the graceful stop has to
    // handle these packets.
    static void restart(Deployment &deployment, InstanceSpec const &instance)
    {
        deployment.process(instance.name).signal(SIGTERM);
        auto const exitCode = deployment.process(instance.name).wait();
        deployment.controlFabric("withdraw", instance);
        CPPUNIT_ASSERT_MESSAGE(instance.name + " did not stop", exitCode.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(instance.name + ": " + deployment.process(instance.name).errors(), 0,
                                     *exitCode);
        deployment.startInstance(instance);
        deployment.waitUntilServing(instance);
        deployment.controlFabric("restore", instance);
        deployment.waitUntilRouted({"desk-1", "desk-2", "desk-3", "desk-4"});
    }

    // Guards against a stop that loses flow records or ends while an answer is in transit.
    void gracefulRestartsCutNothing()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = startFlows(deployment, "300000");
        // Six restarts took 210 s on a busy machine, and the flows must stay open longer than that.
        int callerId = 100;
        for (InstanceSpec const &instance : deployment.instances()) {
            // A download of 4 MB takes longer than the stop of an idle instance.
            auto const downloads = deployment.startCaller(
                {"--requests", "4", "--concurrency", "4", "--class", "bulk", "--size", "4000000",
                 "--deadline-ms", "60000", "--caller-id", std::to_string(++callerId)});
            bool const isRunning = waitUntil(
                [&] { return !deployment.runCounts(static_cast<std::uint64_t>(callerId)).empty(); });
            CPPUNIT_ASSERT_MESSAGE("no download starts", isRunning);
            restart(deployment, instance);
            Json const summary = deployment.waitForSummary(*downloads);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("restart of " + instance.name + ": " + summary.dump(), 4,
                                         summary["requests"]["answered"].get<int>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, summary["requests"]["wrongAnswers"].get<int>());
        }
        // A caller counts a flow as silent after 30 s without a packet from the target.
        std::this_thread::sleep_for(31s);
        CPPUNIT_ASSERT_MESSAGE("the caller ended before the restarts were complete", flows->isRunning());
        flows->signal(SIGTERM); // The caller prints its summary and exits.
        expectFlowsAlive(deployment.waitForSummary(*flows));
    }

    // Compares each outcome that the caller received with the number of runs at the targets.
    static void expectTrueOutcomes(Deployment const &deployment, std::string const &outcomes,
                                   std::uint64_t callerId)
    {
        auto const runCounts = deployment.runCounts(callerId);
        for (auto const &[number, count] : runCounts)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("runs of request {}", number), 1, count);
        std::istringstream lines(readFile(outcomes));
        for (std::string line; std::getline(lines, line);) {
            Json const outcome = Json::parse(line);
            auto const entry = runCounts.find(outcome.at("number").get<std::uint64_t>());
            int const count = entry == runCounts.end() ? 0 : entry->second;
            if (outcome.at("outcome") == "answered")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 1, count);
            else if (outcome.at("outcome") == "not-run")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 0, count);
            else
                CPPUNIT_ASSERT_MESSAGE(line, outcome.at("outcome") == "unknown");
        }
    }

    // Guards against a takeover that loses flows, runs a request a second time or gives a caller a false
    // outcome.
    void killedInstanceBreaksNoFlow()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = startFlows(deployment, "40000");
        constexpr std::uint64_t callerId = 200;
        std::string const outcomes = deployment.path("outcomes");
        auto const requests = deployment.startCaller(
            {"--requests", "300", "--rate", "15", "--non-idempotent", "--size", "3000", "--deadline-ms",
             "8000", "--caller-id", std::to_string(callerId), "--outcomes", outcomes});
        // Kill only after the first requests have run, so that requests are in progress.
        constexpr std::size_t runsBeforeKill = 20;
        CPPUNIT_ASSERT(waitUntil([&] { return deployment.runCounts(callerId).size() >= runsBeforeKill; }));
        // The instance with the most open flows is certain to be a dispatcher.
        InstanceSpec victim = deployment.instances().front();
        for (InstanceSpec const &instance : deployment.instances()) {
            if (deployment.metric(instance, "almondwing_open_flows")
                > deployment.metric(victim, "almondwing_open_flows"))
                victim = instance;
        }
        CPPUNIT_ASSERT(deployment.metric(victim, "almondwing_open_flows") > 0);
        deployment.process(victim.name).kill();
        deployment.controlFabric("withdraw", victim);
        Json const summary = deployment.waitForSummary(*requests);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, summary["requests"]["withoutOutcome"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0,
                                     summary["requests"]["answeredAfterNotRun"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 300,
                                     summary["requests"]["answered"].get<int>()
                                         + sumCounts(summary["requests"]["notRun"])
                                         + sumCounts(summary["requests"]["unknown"]));
        expectTrueOutcomes(deployment, outcomes, callerId);
        expectFlowsAlive(deployment.waitForSummary(*flows));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartTest);

} // namespace almondwing
