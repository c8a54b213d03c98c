// Tests of operators who make concurrent changes, resend them or use wrong tokens, and of the configuration
// after restarts and pauses of instances.

#include "Deployment.h"

#include <LibFrontEnd/HttpServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace almondwing {

namespace {

constexpr int exitConflict = 3;
constexpr int exitUnreachable = 4;
constexpr int exitUnknown = 5;
constexpr int exitUnauthorized = 7;

// Exceeds the maximum election timeout of 6 s, so that the other replicas start an election meanwhile.
constexpr Duration longPause = 8s;

std::uint64_t versionAt(Deployment const &deployment, InstanceSpec const &instance)
{
    Json const answer = deployment.getJson(instance.http, "/v1/version");
    return answer.is_object() ? answer.at("configurationVersion").get<std::uint64_t>() : 0;
}

void expectVersionAt(Deployment const &deployment, std::vector<InstanceSpec> const &instances,
                     std::uint64_t version)
{
    for (InstanceSpec const &instance : instances) {
        bool const isInForce = waitUntil([&] { return versionAt(deployment, instance) == version; });
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} has version {} instead of {}", instance.name,
                                           versionAt(deployment, instance), version),
                               isInForce);
    }
}

void expectVersionEverywhere(Deployment const &deployment, std::uint64_t version)
{
    expectVersionAt(deployment, deployment.instances(), version);
}

std::uint64_t acceptedVersion(CommandResult const &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, 0, result.exitCode);
    return result.json().at("version").get<std::uint64_t>();
}

InstanceSpec leaderOf(Deployment const &deployment)
{
    InstanceSpec leader;
    bool const isKnown = waitUntil([&] {
        for (InstanceSpec const &instance : deployment.instances()) {
            if (instance.isControl && deployment.metric(instance, "almondwing_replication_leader") == 1)
                leader = instance;
        }
        return !leader.name.empty();
    });
    CPPUNIT_ASSERT_MESSAGE("there is no leader", isKnown);
    return leader;
}

} // namespace

class OperatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorTest);
    CPPUNIT_TEST(wrongTokenIsRefused);
    CPPUNIT_TEST(oneOfTwoCompetingChangesWins);
    CPPUNIT_TEST(resentChangeGetsTheFirstAnswer);
    CPPUNIT_TEST(restartOfAllKeepsTheVersion);
    CPPUNIT_TEST(resumedLeaderRevertsNothing);
    CPPUNIT_TEST(changeDuringAnElectionIsAccepted);
    CPPUNIT_TEST(lostAnswerIsReportedAsUnknown);
    CPPUNIT_TEST(changeWithoutMajorityStaysUnconfirmed);
    CPPUNIT_TEST_SUITE_END();

    // Guards against changes by clients without an operator's token.
    void wrongTokenIsRefused()
    {
        Deployment deployment;
        CommandResult const refused = deployment.runCtlWithToken({"drain", "desk-1"}, "wrong-token");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.errors, exitUnauthorized, refused.exitCode);
        expectVersionEverywhere(deployment, 1);
    }

    // Guards against an operator who overwrites a concurrent change without noticing it.
    void oneOfTwoCompetingChangesWins()
    {
        Deployment deployment;
        Arguments const apply{"apply", deployment.path("manifest.json"), "--base-version", "1"};
        auto const first = deployment.startCtl(apply, operatorToken);
        auto const second = deployment.startCtl(apply, operatorToken);
        std::vector<int> codes{deployment.waitForResult(*first).exitCode,
                               deployment.waitForResult(*second).exitCode};
        std::ranges::sort(codes);
        CPPUNIT_ASSERT_EQUAL(0, codes[0]);
        CPPUNIT_ASSERT_EQUAL(exitConflict, codes[1]);
        expectVersionEverywhere(deployment, 2);
    }

    // Guards against a change that is applied twice because its first answer was lost.
    void resentChangeGetsTheFirstAnswer()
    {
        Deployment deployment;
        Arguments const drain{"drain", "desk-1", "--request-id", "resent"};
        CommandResult const first = deployment.runCtl(drain);
        acceptedVersion(first);
        acceptedVersion(deployment.runCtl({"undrain", "desk-1"}));
        CommandResult const again = deployment.runCtl(drain);
        CPPUNIT_ASSERT_EQUAL(first.output, again.output);
        CPPUNIT_ASSERT_EQUAL(first.exitCode, again.exitCode);
        expectVersionEverywhere(deployment, 3);
    }

    // Guards against processes that use an older configuration after a restart. The test kills them,
    // because a change must be durable before it is accepted.
    void restartOfAllKeepsTheVersion()
    {
        Deployment deployment;
        std::uint64_t version = 0;
        for (int change = 0; change < 20; ++change)
            version = acceptedVersion(
                deployment.runCtl({change % 2 == 0 ? "drain" : "undrain", fmt::format("desk-{}", change)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, version);
        expectVersionEverywhere(deployment, version);
        std::string const before = deployment.get(deployment.instances().front().http, "/v1/configuration");
        for (InstanceSpec const &instance : deployment.instances())
            deployment.process(instance.name).kill();
        for (InstanceSpec const &instance : deployment.instances())
            deployment.startInstance(instance);
        for (InstanceSpec const &instance : deployment.instances())
            deployment.waitUntilServing(instance);
        expectVersionEverywhere(deployment, version);
        for (InstanceSpec const &instance : deployment.instances())
            CPPUNIT_ASSERT_EQUAL(before, deployment.get(instance.http, "/v1/configuration"));
        CPPUNIT_ASSERT_EQUAL(version + 1, acceptedVersion(deployment.runCtl({"drain", "desk-1"})));
    }

    // Guards against a leader that resumes after a pause and continues to act as leader on its old state.
    void resumedLeaderRevertsNothing()
    {
        Deployment deployment;
        InstanceSpec const paused = leaderOf(deployment);
        std::vector<InstanceSpec> others = deployment.instances();
        std::erase(others, paused);
        deployment.process(paused.name).signal(SIGSTOP);
        std::this_thread::sleep_for(longPause);
        // The change may arrive while there is no leader; resends carry the same request id.
        CommandResult changed;
        waitUntil([&] {
            changed = deployment.runCtlAt(others, {"drain", "desk-2", "--request-id", "while-paused"});
            return changed.exitCode == 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, acceptedVersion(changed));
        // An accepted change comes into force within seconds, not immediately.
        expectVersionAt(deployment, others, 2);
        std::string const before = deployment.get(others.front().http, "/v1/configuration");
        deployment.process(paused.name).signal(SIGCONT);
        expectVersionEverywhere(deployment, 2);
        // A change through the resumed instance is applied on top of the change that it has missed.
        CPPUNIT_ASSERT_EQUAL(before, deployment.get(paused.http, "/v1/configuration"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             acceptedVersion(deployment.runCtlAt({paused}, {"drain", "desk-3"})));
        expectVersionEverywhere(deployment, 3);
        std::string const after = deployment.get(paused.http, "/v1/configuration");
        for (std::string const target : {"desk-2", "desk-3"})
            CPPUNIT_ASSERT_MESSAGE(after, after.find(target) != std::string::npos);
    }

    // Guards against a change that is refused because the leader has just been lost.
    void changeDuringAnElectionIsAccepted()
    {
        Deployment deployment;
        InstanceSpec const lost = leaderOf(deployment);
        std::vector<InstanceSpec> others = deployment.instances();
        std::erase(others, lost);
        deployment.process(lost.name).kill();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             acceptedVersion(deployment.runCtlAt(others, {"drain", "desk-2"})));
    }

    // Guards against "nothing was changed" after an attempt whose answer was lost: the change may be in
    // force.
    void lostAnswerIsReportedAsUnknown()
    {
        std::atomic<int> changes = 0;
        IoRuntime runtime;
        auto const server = HttpServer::open(
            runtime, Endpoint{.address = 0x7f000001, .port = 0},
            HttpServerHooks{.handle = [&](HttpRequest const &, HttpResponder const &respond) {
                // Without an answer the connection is closed when the last copy of the responder is gone.
                if (++changes > 1)
                    respond(HttpResponse{.status = 503, .body = R"({"error":"nothing was changed"})"});
            }});
        CPPUNIT_ASSERT(server.ok());
        std::jthread const loop([&runtime] { runtime.run(1); });
        Deployment deployment;
        InstanceSpec losing = deployment.instances().front();
        losing.http = (*server)->localEndpoint();
        CommandResult const result = deployment.runCtlAt({losing}, {"drain", "desk-2"});
        runtime.stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, exitUnknown, result.exitCode);
        CPPUNIT_ASSERT(changes > 1);
    }

    // Guards against a change that is acknowledged, or refused as "nothing was changed", although
    // neither is certain while the majority of the disks is unavailable.
    void changeWithoutMajorityStaysUnconfirmed()
    {
        Deployment deployment;
        InstanceSpec const leader = leaderOf(deployment);
        std::vector<InstanceSpec> others;
        bool isFirstFollower = true;
        for (InstanceSpec const &instance : deployment.instances()) {
            bool const isKilled = instance == leader || (instance.isControl && isFirstFollower);
            isFirstFollower = isFirstFollower && (instance == leader || !instance.isControl);
            if (isKilled)
                deployment.process(instance.name).kill();
            else
                others.push_back(instance);
        }
        CommandResult const unconfirmed = deployment.runCtlAt(others, {"drain", "desk-2"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(unconfirmed.output + unconfirmed.errors, exitUnreachable,
                                     unconfirmed.exitCode);
        for (InstanceSpec const &instance : others)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, versionAt(deployment, instance));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTest);

} // namespace almondwing
