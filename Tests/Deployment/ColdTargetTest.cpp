// Tests of a target that is killed and restarts cold under the same name and endpoints.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

class ColdTargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdTargetTest);
    CPPUNIT_TEST(restartedTargetIsNotOverloaded);
    CPPUNIT_TEST_SUITE_END();

    static int rampLevel(Deployment const &deployment, std::string const &name)
    {
        Json const status = deployment.getJson(deployment.instances().front().http, "/v1/status");
        for (Json const &service : status.at("services")) {
            for (Json const &target : service.at("targets")) {
                if (target.at("name") == name)
                    return target.at("rampLevel").get<int>();
            }
        }
        return -1;
    }

    // Guards against a restarted, cold target that receives the load of its warm predecessor.
    void restartedTargetIsNotOverloaded()
    {
        constexpr int fullLevel = 4; // The value of maxRampLevel.
        constexpr int slots = 2;
        Deployment deployment;
        deployment.startFourTargets();
        // About three times the capacity of the slots of four targets.
        auto const work = deployment.startCaller({"--requests", "100000", "--rate", "50", "--sleep-ms", "500",
                                                  "--deadline-ms", "3000", "--flows", "100000", "--flow-rate",
                                                  "20", "--ports", "4", "--flows-for-ms", "600000"});
        CPPUNIT_ASSERT_MESSAGE("desk-1 does not become warm",
                               waitUntil([&] { return rampLevel(deployment, "desk-1") == fullLevel; }));
        std::string const packetEndpoint = deployment.targetPacketEndpoint("desk-1").toString();
        std::string const httpEndpoint = deployment.targetHttpEndpoint("desk-1").toString();
        deployment.process("desk-1").kill();
        // The target is cold for 1.5 s. The ramp allows it one slot until it has given four answers of 500 ms
        // each, which takes 2 s, so a correct ramp never overfills it.
        deployment.startTarget({.name = "desk-1",
                                .failureDomain = "dar-a",
                                .extraArguments = {"--packets", packetEndpoint, "--http", httpEndpoint,
                                                   "--cold-ms", "1500", "--cold-slots", "1"}});
        int maxRunning = 0;
        constexpr int answersBeyondRamp = 12; // Answers since the restart of desk-1.
        bool const isWarm = waitUntil([&] {
            Json const statistics = deployment.targetStatistics("desk-1");
            maxRunning = std::max(maxRunning, statistics.at("running").get<int>());
            return statistics.at("runsAnswered").get<int>() >= answersBeyondRamp
                && rampLevel(deployment, "desk-1") == fullLevel;
        });
        Json const statistics = deployment.targetStatistics("desk-1");
        CPPUNIT_ASSERT_MESSAGE(statistics.dump(), isWarm);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(statistics.dump(), 0, statistics.at("overfilledWhileCold").get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(statistics.dump(), 0, statistics.at("runsShed").get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(statistics.dump(), 0, statistics.at("flowsRefused").get<int>());
        CPPUNIT_ASSERT_MESSAGE(statistics.dump(), maxRunning <= slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdTargetTest);

} // namespace almondwing
