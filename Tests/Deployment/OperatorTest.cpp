// Tests of operators who compete, resend and use wrong tokens, and of the configuration over restarts and
// pauses.

#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace almondwing {

namespace {

constexpr int exitConflict = 3;
constexpr int exitUnreachable = 4;
constexpr int exitUnauthorized = 7;

// The longest election timeout is 4 s; twice that is surely longer.
constexpr Duration longPause = 8s;

std::uint64_t versionAt(Deployment const &deployment, InstancePlan const &plan)
{
    Json const answer = deployment.getJson(plan.http, "/v1/version");
    return answer.is_object() ? answer.at("configurationVersion").get<std::uint64_t>() : 0;
}

void expectVersionAt(Deployment const &deployment, std::vector<InstancePlan> const &plans,
                     std::uint64_t version)
{
    for (InstancePlan const &plan : plans) {
        bool const isInForce = waitUntil([&] { return versionAt(deployment, plan) == version; });
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} has version {} instead of {}", plan.name, versionAt(deployment, plan), version),
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

InstancePlan leaderOf(Deployment const &deployment)
{
    InstancePlan leader;
    bool const isKnown = waitUntil([&] {
        for (InstancePlan const &plan : deployment.instances()) {
            if (plan.isControl && deployment.metric(plan, "almondwing_replication_leader") == 1)
                leader = plan;
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
    CPPUNIT_TEST(continuedLeaderRevertsNothing);
    CPPUNIT_TEST(changeDuringAnElectionIsAccepted);
    CPPUNIT_TEST(changeWithoutMajorityIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against changes by anyone who reaches an instance.
    void wrongTokenIsRefused()
    {
        Deployment deployment;
        CommandResult const refused = deployment.controlWithToken({"drain", "desk-1"}, "wrong-token");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.errors, exitUnauthorized, refused.exitCode);
        expectVersionEverywhere(deployment, 1);
    }

    // Guards against two operators who overwrite each other's change unseen.
    void oneOfTwoCompetingChangesWins()
    {
        Deployment deployment;
        Arguments const apply{"apply", deployment.path("manifest.json"), "--base-version", "1"};
        auto const first = deployment.startControl(apply, deploymentToken);
        auto const second = deployment.startControl(apply, deploymentToken);
        std::vector<int> codes{deployment.resultOf(*first).exitCode, deployment.resultOf(*second).exitCode};
        std::ranges::sort(codes);
        CPPUNIT_ASSERT_EQUAL(0, codes[0]);
        CPPUNIT_ASSERT_EQUAL(exitConflict, codes[1]);
        expectVersionEverywhere(deployment, 2);
    }

    // Guards against a lost answer that leads to a second change.
    void resentChangeGetsTheFirstAnswer()
    {
        Deployment deployment;
        Arguments const drain{"drain", "desk-1", "--request-id", "resent"};
        CommandResult const first = deployment.control(drain);
        acceptedVersion(first);
        acceptedVersion(deployment.control({"undrain", "desk-1"}));
        CommandResult const again = deployment.control(drain);
        CPPUNIT_ASSERT_EQUAL(first.output, again.output);
        CPPUNIT_ASSERT_EQUAL(first.exitCode, again.exitCode);
        expectVersionEverywhere(deployment, 3);
    }

    // Guards against processes that act on older state after a restart (R10). They are killed, because a
    // change is durable before it is accepted.
    void restartOfAllKeepsTheVersion()
    {
        Deployment deployment;
        std::uint64_t version = 0;
        for (int change = 0; change < 20; ++change)
            version = acceptedVersion(
                deployment.control({change % 2 == 0 ? "drain" : "undrain", fmt::format("desk-{}", change)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, version);
        expectVersionEverywhere(deployment, version);
        std::string const before = deployment.get(deployment.instances().front().http, "/v1/configuration");
        for (InstancePlan const &plan : deployment.instances())
            deployment.process(plan.name).kill();
        for (InstancePlan const &plan : deployment.instances())
            deployment.startInstance(plan);
        for (InstancePlan const &plan : deployment.instances())
            deployment.waitUntilServing(plan);
        expectVersionEverywhere(deployment, version);
        for (InstancePlan const &plan : deployment.instances())
            CPPUNIT_ASSERT_EQUAL(before, deployment.get(plan.http, "/v1/configuration"));
        CPPUNIT_ASSERT_EQUAL(version + 1, acceptedVersion(deployment.control({"drain", "desk-1"})));
    }

    // Guards against a leader that was isolated and goes on as if nothing had happened (R10).
    void continuedLeaderRevertsNothing()
    {
        Deployment deployment;
        InstancePlan const paused = leaderOf(deployment);
        std::vector<InstancePlan> others = deployment.instances();
        std::erase(others, paused);
        deployment.process(paused.name).signal(SIGSTOP);
        std::this_thread::sleep_for(longPause);
        // The change may find the members without a leader; resends carry the same request id.
        CommandResult changed;
        waitUntil([&] {
            changed = deployment.controlAt(others, {"drain", "desk-2", "--request-id", "while-paused"});
            return changed.exitCode == 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, acceptedVersion(changed));
        // An accepted change comes into force within seconds, not at once.
        expectVersionAt(deployment, others, 2);
        std::string const before = deployment.get(others.front().http, "/v1/configuration");
        deployment.process(paused.name).signal(SIGCONT);
        expectVersionEverywhere(deployment, 2);
        // A change through the continued instance comes on top of the one it has missed.
        CPPUNIT_ASSERT_EQUAL(before, deployment.get(paused.http, "/v1/configuration"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             acceptedVersion(deployment.controlAt({paused}, {"drain", "desk-3"})));
        expectVersionEverywhere(deployment, 3);
        std::string const after = deployment.get(paused.http, "/v1/configuration");
        for (std::string const target : {"desk-2", "desk-3"})
            CPPUNIT_ASSERT_MESSAGE(after, after.find(target) != std::string::npos);
    }

    // Guards against an operator who is refused because the leader has just been lost.
    void changeDuringAnElectionIsAccepted()
    {
        Deployment deployment;
        InstancePlan const lost = leaderOf(deployment);
        std::vector<InstancePlan> others = deployment.instances();
        std::erase(others, lost);
        deployment.process(lost.name).kill();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             acceptedVersion(deployment.controlAt(others, {"drain", "desk-2"})));
    }

    // Guards against a change that is acknowledged, or refused as "nothing was changed", wrongly while most
    // of the disks are lost.
    void changeWithoutMajorityIsRefused()
    {
        Deployment deployment;
        InstancePlan const leader = leaderOf(deployment);
        std::vector<InstancePlan> others;
        bool isFirstFollower = true;
        for (InstancePlan const &plan : deployment.instances()) {
            bool const isKilled = plan == leader || (plan.isControl && isFirstFollower);
            isFirstFollower = isFirstFollower && (plan == leader || !plan.isControl);
            if (isKilled)
                deployment.process(plan.name).kill();
            else
                others.push_back(plan);
        }
        CommandResult const refused = deployment.controlAt(others, {"drain", "desk-2"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.output + refused.errors, exitUnreachable, refused.exitCode);
        for (InstancePlan const &plan : others)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, versionAt(deployment, plan));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTest);

} // namespace almondwing
