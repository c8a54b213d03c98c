// Tests of instances that stop, restart and die under load.

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

int sumOf(Json const &counts)
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
        bool const isOpen = waitUntil(
            [&] { return deployment.metricEverywhere("almondwing_flows_opened_total") >= flowCount; });
        CPPUNIT_ASSERT_MESSAGE("the flows don't open", isOpen);
        return flows;
    }

    // The fabric keeps sending to the instance until its process has ended, which the stop must bear.
    static void restart(Deployment &deployment, InstancePlan const &plan)
    {
        deployment.process(plan.name).signal(SIGTERM);
        auto const exitCode = deployment.process(plan.name).wait();
        deployment.orderFabric("withdraw", plan);
        CPPUNIT_ASSERT_MESSAGE(plan.name + " does not stop", exitCode.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(plan.name + ": " + deployment.process(plan.name).errors(), 0, *exitCode);
        deployment.startInstance(plan);
        deployment.waitUntilServing(plan);
        deployment.orderFabric("restore", plan);
        deployment.waitUntilRouted({"desk-1", "desk-2", "desk-3", "desk-4"});
    }

    // Guards against a stop that loses records of flows or ends while an answer is on its way (R1, R9).
    void gracefulRestartsCutNothing()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = startFlows(deployment, "300000");
        // Six restarts took 210 s on a busy machine; the flows must outlast them.
        int caller = 100;
        for (InstancePlan const &plan : deployment.instances()) {
            // Four megabytes take longer than the stop of an idle instance.
            auto const downloads = deployment.startCaller({"--requests", "4", "--concurrency", "4", "--class",
                                                           "bulk", "--size", "4000000", "--deadline-ms",
                                                           "60000", "--caller-id", std::to_string(++caller)});
            bool const isRunning =
                waitUntil([&] { return !deployment.runs(static_cast<std::uint64_t>(caller)).empty(); });
            CPPUNIT_ASSERT_MESSAGE("no download starts", isRunning);
            restart(deployment, plan);
            Json const summary = deployment.summaryOf(*downloads);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("restart of " + plan.name + ": " + summary.dump(), 4,
                                         summary["requests"]["answered"].get<int>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, summary["requests"]["wrongAnswers"].get<int>());
        }
        // A flow without an echo for 30 s counts as silent.
        std::this_thread::sleep_for(31s);
        CPPUNIT_ASSERT_MESSAGE("the flows did not outlast the restarts", flows->isRunning());
        flows->signal(SIGTERM); // Ends the caller with its summary.
        expectFlowsAlive(deployment.summaryOf(*flows));
    }

    // Each outcome against what really happened at the targets.
    static void expectTrueOutcomes(Deployment const &deployment, std::string const &outcomes,
                                   std::uint64_t caller)
    {
        auto const runs = deployment.runs(caller);
        for (auto const &[number, count] : runs)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("runs of request {}", number), 1, count);
        std::istringstream lines(readFile(outcomes));
        for (std::string line; std::getline(lines, line);) {
            Json const outcome = Json::parse(line);
            auto const entry = runs.find(outcome.at("number").get<std::uint64_t>());
            int const count = entry == runs.end() ? 0 : entry->second;
            if (outcome.at("outcome") == "answered")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 1, count);
            else if (outcome.at("outcome") == "not-run")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 0, count);
            else
                CPPUNIT_ASSERT_MESSAGE(line, outcome.at("outcome") == "unknown");
        }
    }

    // Guards against a takeover that loses flows, runs a request a second time or tells a caller what is not
    // true (R6, R7).
    void killedInstanceBreaksNoFlow()
    {
        Deployment deployment;
        deployment.startFourTargets();
        auto const flows = startFlows(deployment, "40000");
        constexpr std::uint64_t caller = 200;
        std::string const outcomes = deployment.path("outcomes");
        auto const requests = deployment.startCaller(
            {"--requests", "300", "--rate", "15", "--non-idempotent", "--size", "3000", "--deadline-ms",
             "8000", "--caller-id", std::to_string(caller), "--outcomes", outcomes});
        // The first requests have run, so that the kill hits work in progress.
        constexpr std::size_t runsBeforeKill = 20;
        CPPUNIT_ASSERT(waitUntil([&] { return deployment.runs(caller).size() >= runsBeforeKill; }));
        // An instance that dispatches: the one with the most open flows.
        InstancePlan victim = deployment.instances().front();
        for (InstancePlan const &plan : deployment.instances()) {
            if (deployment.metric(plan, "almondwing_open_flows")
                > deployment.metric(victim, "almondwing_open_flows"))
                victim = plan;
        }
        CPPUNIT_ASSERT(deployment.metric(victim, "almondwing_open_flows") > 0);
        deployment.process(victim.name).kill();
        deployment.orderFabric("withdraw", victim);
        Json const summary = deployment.summaryOf(*requests);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, summary["requests"]["withoutOutcome"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0,
                                     summary["requests"]["answeredAfterNotRun"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 300,
                                     summary["requests"]["answered"].get<int>()
                                         + sumOf(summary["requests"]["notRun"])
                                         + sumOf(summary["requests"]["unknown"]));
        expectTrueOutcomes(deployment, outcomes, caller);
        expectFlowsAlive(deployment.summaryOf(*flows));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartTest);

} // namespace almondwing
