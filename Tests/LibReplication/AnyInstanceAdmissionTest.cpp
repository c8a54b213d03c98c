// Tests of VoterAdmission::AnyInstance: the log admits every instance that asks, so that a machine can be
// replaced without a change of settings.

#include "StartedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

bool isVoter(ReplicationCluster const &cluster, std::size_t index)
{
    auto const leader = cluster.leader();
    if (!leader)
        return false;
    auto const &voters = cluster.nodes[*leader].status.committedVoters;
    return std::ranges::find(voters, cluster.nodes[index].instance, &Replica::instance) != voters.end();
}

} // namespace

class AnyInstanceAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnyInstanceAdmissionTest);
    CPPUNIT_TEST(unlistedInstanceBecomesVoter);
    CPPUNIT_TEST(newInstanceReplacesStoppedVoter);
    CPPUNIT_TEST(silentVoterIsRemovedAndReadmitted);
    CPPUNIT_TEST(silentVoterOfThreeIsKept);
    CPPUNIT_TEST(allMachinesCanBeReplacedInTurn);
    CPPUNIT_TEST(silentVoterIsKeptWhileItMayBeNeeded);
    CPPUNIT_TEST(removalsKeepTheNumberOfToleratedLosses);
    CPPUNIT_TEST_SUITE_END();

    void unlistedInstanceBecomesVoter()
    {
        ReplicationCluster cluster(3, 1, anyInstanceSettings());
        std::size_t const fourth = cluster.addNode();
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return isVoter(cluster, fourth); }));
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    // Guards against a second loss that stops the log because the first lost instance still counts as a
    // voter.
    void newInstanceReplacesStoppedVoter()
    {
        ReplicationCluster cluster(3, 2, anyInstanceSettings());
        cluster.waitForLeader();
        cluster.stop(2);
        std::size_t const replacement = cluster.addNode();
        CPPUNIT_ASSERT(
            cluster.waitUntil([&] { return isVoter(cluster, replacement) && !isVoter(cluster, 2); }));
        cluster.stop(1);
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    void silentVoterIsRemovedAndReadmitted()
    {
        ReplicationCluster cluster(4, 3, anyInstanceSettings());
        cluster.waitForLeader();
        cluster.run(2s);
        std::size_t const leader = *cluster.leader();
        std::size_t const silent = (leader + 1) % 4;
        cluster.nodes[silent].partition = 1;
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return !isVoter(cluster, silent); }));
        CPPUNIT_ASSERT(cluster.commitOne());
        cluster.heal();
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return isVoter(cluster, silent); }));
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    void silentVoterOfThreeIsKept()
    {
        ReplicationCluster cluster(3, 4, anyInstanceSettings());
        cluster.waitForLeader();
        std::size_t const silent = (*cluster.leader() + 1) % 3;
        cluster.stop(silent);
        cluster.run(20s);
        CPPUNIT_ASSERT(isVoter(cluster, silent));
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    // Guards against a log that stops permanently: two of five voters have lost their disks, a third is only
    // down, and the leader removes the third. Without it, only two of the remaining four respond, which is no
    // majority.
    void silentVoterIsKeptWhileItMayBeNeeded()
    {
        ReplicationCluster cluster(5, 6, anyInstanceSettings());
        cluster.run(1550ms);
        cluster.wipe(2);
        cluster.losePower(0);
        cluster.run(3150ms); // A little longer than voterRemovalTimeout.
        cluster.wipe(1);
        cluster.run(300ms);
        cluster.heal();
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    // Guards against a log that stops permanently although no more disks are lost than its voters tolerate:
    // two of six voters are down for some seconds and are removed, and two of the other four, among them the
    // leader, then lose their disks.
    void removalsKeepTheNumberOfToleratedLosses()
    {
        ReplicationCluster cluster(6, 7, anyInstanceSettings());
        std::size_t const leader = cluster.waitForLeader();
        cluster.run(2s);
        std::vector<std::size_t> others;
        for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
            if (index != leader)
                others.push_back(index);
        }
        cluster.losePower(others[0]);
        cluster.losePower(others[1]);
        cluster.run(8s);
        CPPUNIT_ASSERT(cluster.commitOne());
        cluster.wipe(leader);
        cluster.wipe(others[2]);
        cluster.run(1s);
        cluster.heal();
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }

    void allMachinesCanBeReplacedInTurn()
    {
        ReplicationCluster cluster(3, 5, anyInstanceSettings());
        for (std::size_t stopped = 0; stopped < 3; ++stopped) {
            CPPUNIT_ASSERT(cluster.commitOne());
            cluster.stop(stopped);
            std::size_t const replacement = cluster.addNode();
            CPPUNIT_ASSERT(cluster.waitUntil([&] { return isVoter(cluster, replacement); }));
            cluster.run(4s);
        }
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnyInstanceAdmissionTest);

} // namespace almondwing
