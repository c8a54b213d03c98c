// Tests of the whole path from callers to targets through real processes, of the queries of operators, and of
// the check of settings.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace almondwing {

class PathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathTest);
    CPPUNIT_TEST(flowsStayOpenAndRequestsRunOnce);
    CPPUNIT_TEST(operatorsGetAnswers);
    CPPUNIT_TEST(settingsErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against programs that don't work together: lost or mixed-up answers, and requests that run
    // twice.
    void flowsStayOpenAndRequestsRunOnce()
    {
        Deployment deployment;
        deployment.startFourTargets();
        deployment.warmUpTargets();
        auto const flows = deployment.startCaller(
            {"--flows", "20", "--flow-rate", "20", "--interval-ms", "200", "--flows-for-ms", "4000"});
        auto const requests =
            deployment.startCaller({"--requests", "40", "--concurrency", "2", "--non-idempotent", "--size",
                                    "5000", "--caller-id", "7", "--deadline-ms", "30000"});
        Json const flowSummary = deployment.waitForSummary(*flows);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(flowSummary.dump(), 20, flowSummary["flows"]["aliveAtEnd"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(flowSummary.dump(), 0, flowSummary["flows"]["wrongPayloads"].get<int>());
        Json const summary = deployment.waitForSummary(*requests);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 40, summary["requests"]["answered"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 0, summary["requests"]["wrongAnswers"].get<int>());
        auto const runCounts = deployment.runCounts(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, runCounts.size());
        for (auto const &[number, count] : runCounts)
            CPPUNIT_ASSERT_EQUAL_MESSAGE("request " + std::to_string(number), 1, count);
    }

    // Guards against answers to operators that can't be parsed or lack the requested data.
    void operatorsGetAnswers()
    {
        Deployment deployment;
        deployment.startFourTargets();
        Json const status = deployment.runCtl({"status"}).json();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(status.dump(), std::size_t{6}, status.at("members").size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(status.dump(), std::size_t{3}, status.at("failureDomains").size());
        for (Json const &target : status.at("services").at(0).at("targets"))
            CPPUNIT_ASSERT_MESSAGE(target.dump(), target.at("claimedBuckets").is_number_unsigned());

        Json const explanation =
            deployment.runCtl({"explain", "--service", serviceName, "--flow", "1"}).json();
        CPPUNIT_ASSERT_MESSAGE(explanation.dump(),
                               explanation.at("target").get<std::string>().starts_with("desk-"));
        CPPUNIT_ASSERT_MESSAGE(explanation.dump(), !explanation.at("dispatcher").get<std::string>().empty());

        Json const audit = deployment.runCtl({"audit"}).json();
        bool const isRecorded = std::ranges::any_of(audit.at("entries"), [](Json const &entry) {
            return entry.value("operator", "") == "tester" && entry.value("resultingVersion", 0) == 1;
        });
        CPPUNIT_ASSERT_MESSAGE(audit.dump(), isRecorded);

        Json const coverage = deployment.runCtl({"coverage"}).json();
        CPPUNIT_ASSERT_MESSAGE(coverage.dump(), coverage.at("inForceEverywhere").get<bool>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(coverage.dump(), std::size_t{6}, coverage.at("instances").size());
    }

    // Guards against a daemon that accepts invalid settings.
    void settingsErrorsAreReported()
    {
        char folder[] = "/tmp/almondwing-settings.XXXXXX";
        CPPUNIT_ASSERT(mkdtemp(folder) != nullptr);
        std::string const path = std::string(folder) + "/bad";
        std::ofstream(path + ".toml") << "cluster = 7\nthreads = -1\n";
        ChildProcess check({.program = PROGRAM_ALMONDWINGD,
                            .arguments = {"--check-settings", "--settings", path + ".toml"},
                            .outputPath = path + ".out",
                            .errorPath = path + ".err"});
        auto const exitCode = check.wait();
        std::string const errors = check.errors();
        std::filesystem::remove_all(folder);
        CPPUNIT_ASSERT(exitCode == 1);
        CPPUNIT_ASSERT_MESSAGE(errors, errors.find("cluster") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(errors, errors.find("threads") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);

} // namespace almondwing
