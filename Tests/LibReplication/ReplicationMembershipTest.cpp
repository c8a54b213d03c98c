// Tests of the bootstrap, of lost disks and of the admission of replicas.

#include "StartedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

using Status = ReplicationStatus;

} // namespace

class ReplicationMembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationMembershipTest);
    CPPUNIT_TEST(emptyInstancesBootstrapOnce);
    CPPUNIT_TEST(bootstrapWaitsForEveryInstance);
    CPPUNIT_TEST(delayedBootstrapOfEarlierCoordinatorIsRefused);
    CPPUNIT_TEST(earlierHistoryPreventsBootstrap);
    CPPUNIT_TEST(wipedReplicaJoinsWithNewId);
    CPPUNIT_TEST(secondDiskLossAfterRepairIsTolerated);
    CPPUNIT_TEST(learnerIsAdmittedOnlyAfterCatchUp);
    CPPUNIT_TEST(majorityOfWipedDisksIsRefused);
    CPPUNIT_TEST(replacedReplicaCannotCommitAfterReturn);
    CPPUNIT_TEST(secondReplicaOfLiveInstanceIsNotAdmitted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a first start that elects no leader or creates two histories.
    void emptyInstancesBootstrapOnce()
    {
        ReplicationCluster cluster(3, 1);
        requireRecovered(cluster);
        std::size_t bootstraps = 0;
        for (auto const &node : cluster.nodes)
            bootstraps +=
                static_cast<std::size_t>(std::ranges::count(node.events, Event::BootstrapCompleted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bootstraps);
    }

    // Guards against a bootstrap that skips an instance which may have a history.
    void bootstrapWaitsForEveryInstance()
    {
        ReplicationCluster cluster(5, 1);
        cluster.stop(4);
        cluster.run(60s);
        for (auto const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.status.standing == ReplicaStanding::Empty);
        cluster.heal();
        requireRecovered(cluster);
    }

    // Guards against two histories: a coordinator is wiped after its bootstrap, its replacement starts
    // another one, and the delayed commands of the first arrive during the second.
    void delayedBootstrapOfEarlierCoordinatorIsRefused()
    {
        ReplicationCluster cluster(3, 1);
        cluster.holdBack<BootstrapCommand>();
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return cluster.hasReported(Event::BootstrapCompleted); }));
        HistoryId const first = cluster.nodes[0].status.history;
        cluster.wipe(0);
        cluster.start(0);
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return !cluster.nodes[0].status.history.isNone(); }));
        cluster.releaseHeldBack();
        requireRecovered(cluster);
        for (auto const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.status.history != first);
    }

    // Guards against a bootstrap that mayBootstrap() forbids because other instances have a configuration.
    void earlierHistoryPreventsBootstrap()
    {
        ReplicationCluster cluster(3, 1);
        cluster.isBootstrapAllowed = false;
        cluster.run(30s);
        CPPUNIT_ASSERT(cluster.hasReported(Event::BootstrapRefused));
        CPPUNIT_ASSERT(!cluster.leader().has_value());
    }

    // Guards against a wiped replica that votes, starts a second history, or is never admitted again.
    void wipedReplicaJoinsWithNewId()
    {
        for (std::size_t wiped = 0; wiped < 3; ++wiped) {
            StartedCluster cluster(3);
            HistoryId const history = cluster.nodes[0].status.history;
            Replica const old = cluster.nodes[wiped].status.self;
            cluster.wipe(wiped);
            cluster.start(wiped);
            CPPUNIT_ASSERT(cluster.nodes[wiped].status.standing == ReplicaStanding::Empty);
            requireRecovered(cluster);
            CPPUNIT_ASSERT(cluster.nodes[wiped].status.self.id != old.id);
            for (auto const &node : cluster.nodes)
                CPPUNIT_ASSERT(node.status.history == history);
        }
    }

    // Guards against a cluster that does not survive the loss of a second disk after the replica on the first
    // wiped disk was admitted again as a voter.
    void secondDiskLossAfterRepairIsTolerated()
    {
        StartedCluster cluster(3);
        cluster.wipe(0);
        cluster.start(0);
        CPPUNIT_ASSERT(cluster.waitUntil([&] {
            return cluster.canLoseDisk(1) && cluster.nodes[0].status.standing == ReplicaStanding::Voter;
        }));
        cluster.wipe(1);
        cluster.start(1);
        requireRecovered(cluster);
    }

    // Guards against a voter that is removed or added while the replacement can't receive the log.
    void learnerIsAdmittedOnlyAfterCatchUp()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        for (int change = 0; change < 20; ++change) {
            cluster.propose(leader);
            cluster.run(200ms);
        }
        auto const voters = cluster.nodes[leader].status.voters;
        cluster.holdBack<SnapshotPart>();
        cluster.wipe(otherThan(leader));
        cluster.heal();
        cluster.run(60s);
        CPPUNIT_ASSERT(cluster.nodes[leader].status.voters == voters);
        cluster.releaseHeldBack();
        requireRecovered(cluster);
    }

    // Guards against a minority that commits alone, and against a second history, after a majority of the
    // disks was wiped.
    void majorityOfWipedDisksIsRefused()
    {
        StartedCluster cluster(3);
        HistoryId const history = cluster.nodes[2].status.history;
        for (std::size_t const index : {0U, 1U}) {
            cluster.wipe(index);
            cluster.start(index);
        }
        cluster.run(60s);
        CPPUNIT_ASSERT(cluster.hasReported(Event::MajorityOfDisksLost));
        CPPUNIT_ASSERT(cluster.hasReported(Event::BootstrapRefused));
        CPPUNIT_ASSERT(!cluster.leader().has_value());
        for (auto const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.status.history.isNone() || node.status.history == history);
        auto const refused = cluster.nodes[2].core->propose("change", cluster.now);
        CPPUNIT_ASSERT(refused.status().message().find("majority") != std::string::npos);
        requireNoViolations(cluster);
    }

    // Guards against two majorities: a disk returns while its replica is being replaced. Together with a
    // voter that has not received the membership change, the old replica must not commit anything.
    void replacedReplicaCannotCommitAfterReturn()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const replaced = otherThan(leader);
        std::size_t const lagging = otherThan(leader, replaced);
        ReplicaId const oldId = cluster.nodes[replaced].status.self.id;
        FakeDisk const oldDisk = cluster.nodes[replaced].disk;
        cluster.wipe(replaced);
        cluster.start(replaced);
        auto const isReplacing = [&] {
            auto const &voters = cluster.nodes[leader].status.voters;
            return std::ranges::find(voters, oldId, &Replica::id) == voters.end();
        };
        CPPUNIT_ASSERT(cluster.waitUntil(isReplacing));
        cluster.nodes[lagging].partition = 1;
        cluster.propose(leader);
        cluster.run(10s);
        cluster.stop(replaced);
        cluster.nodes[replaced].disk = oldDisk;
        cluster.nodes[replaced].partition = 1;
        cluster.start(replaced);
        for (int second = 0; second < 30; ++second) {
            cluster.run(1s);
            cluster.propose(replaced);
            cluster.propose(lagging);
        }
        cluster.heal();
        requireRecovered(cluster);
    }

    // Guards against two machines with the same instance name that replace each other repeatedly.
    void secondReplicaOfLiveInstanceIsNotAdmitted()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        Replica const twin{.id = ReplicaId{77}, .instance = cluster.nodes[otherThan(leader)].instance};
        auto const voters = cluster.nodes[leader].status.voters;
        for (int second = 0; second < 10; ++second) {
            auto &core = *cluster.nodes[leader].core;
            Status const status = core.status();
            core.handleMessage({twin, status.self, status.history, JoinRequest{}}, cluster.now);
            core.handleMessage({twin, status.self, status.history,
                                AppendReply{.term = status.term,
                                            .verdict = AppendVerdict::Accepted,
                                            .matchIndex = status.lastIndex}},
                               cluster.now);
            cluster.run(1s);
        }
        CPPUNIT_ASSERT(cluster.hasReported(Event::DuplicateInstance));
        CPPUNIT_ASSERT(cluster.nodes[leader].status.voters == voters);
        requireNoViolations(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationMembershipTest);

} // namespace almondwing
