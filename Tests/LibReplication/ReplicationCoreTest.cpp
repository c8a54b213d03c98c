// Tests of single properties of the replicated log.

#include "ReplicationCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

using Status = ReplicationStatus;

std::size_t otherThan(std::size_t first, std::size_t second = 99)
{
    std::size_t index = 0;
    while (index == first || index == second)
        ++index;
    return index;
}

// The first command is committed, so everything that follows starts from a working cluster.
class StartedCluster : public ReplicationCluster
{
public:
    explicit StartedCluster(std::size_t size, ReplicationSettings newSettings = testSettings())
        : ReplicationCluster(size, 20261204, std::move(newSettings))
    {
        CPPUNIT_ASSERT(this->commitOne());
        this->run(3s);
    }
};

} // namespace

class ReplicationCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationCoreTest);
    CPPUNIT_TEST(emptyInstancesBootstrapOnce);
    CPPUNIT_TEST(bootstrapWaitsForEveryInstance);
    CPPUNIT_TEST(lateBootstrapOfAnEarlierCoordinatorIsRefused);
    CPPUNIT_TEST(evidenceOfAnEarlierHistoryPreventsBootstrap);
    CPPUNIT_TEST(wipedDiskJoinsUnderANewId);
    CPPUNIT_TEST(secondDiskIsLostRightAfterTheRepair);
    CPPUNIT_TEST(learnerIsAdmittedOnlyOnceItHasCaughtUp);
    CPPUNIT_TEST(majorityOfWipedDisksIsRefused);
    CPPUNIT_TEST(replacedReplicaThatComesBackDoesNoHarm);
    CPPUNIT_TEST(secondReplicaOfALiveInstanceIsNotAdmitted);
    CPPUNIT_TEST(isolatedReplicaDoesNotDisturbTheLeader);
    CPPUNIT_TEST(votesAreNotGrantedAgainstALiveLeaderOrToAnotherHistory);
    CPPUNIT_TEST(leaderWithoutMajorityStepsDown);
    CPPUNIT_TEST(entryOfAnEarlierTermIsNotCommittedOrReadAlone);
    CPPUNIT_TEST(staleLeaderConfirmsNoRead);
    CPPUNIT_TEST(failedSyncGivesNoAcknowledgement);
    CPPUNIT_TEST(restartAfterManyChangesRestoresTheLastState);
    CPPUNIT_TEST(startWithSnapshotDoesNotReplayTheTruncatedLog);
    CPPUNIT_TEST(followerWithEntriesOfAnOldLeaderCatchesUp);
    CPPUNIT_TEST(followerBehindTheSnapshotCatchesUp);
    CPPUNIT_TEST(snapshotOfAnotherTermDropsTheLog);
    CPPUNIT_TEST(proposalsAreBounded);
    CPPUNIT_TEST(idleTrafficDoesNotGrowWithTheLog);
    CPPUNIT_TEST_SUITE_END();

    static void requireSound(ReplicationCluster const &cluster)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             cluster.violations.empty() ? std::string() : cluster.violations.front());
    }

    static void requireRepaired(ReplicationCluster &cluster)
    {
        CPPUNIT_ASSERT(cluster.commitOne());
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return cluster.hasConverged(); }));
        requireSound(cluster);
    }

    // Guards against a first start that never elects a leader, or that starts two histories.
    void emptyInstancesBootstrapOnce()
    {
        ReplicationCluster cluster(3, 1);
        requireRepaired(cluster);
        std::size_t bootstraps = 0;
        for (auto const &node : cluster.nodes)
            bootstraps +=
                static_cast<std::size_t>(std::ranges::count(node.events, Event::BootstrapCompleted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bootstraps);
    }

    // Guards against a bootstrap without an instance that may hold a history.
    void bootstrapWaitsForEveryInstance()
    {
        ReplicationCluster cluster(5, 1);
        cluster.stop(4);
        cluster.run(60s);
        for (auto const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.status.standing == ReplicaStanding::Empty);
        cluster.heal();
        requireRepaired(cluster);
    }

    // Guards against two histories: a coordinator is wiped after its bootstrap, the next one asks again, and
    // the commands of the first arrive only then.
    void lateBootstrapOfAnEarlierCoordinatorIsRefused()
    {
        ReplicationCluster cluster(3, 1);
        cluster.holdBack<BootstrapCommand>();
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return cluster.hasReported(Event::BootstrapCompleted); }));
        HistoryId const first = cluster.nodes[0].status.history;
        cluster.wipe(0);
        cluster.start(0);
        CPPUNIT_ASSERT(cluster.waitUntil([&] { return !cluster.nodes[0].status.history.isNone(); }));
        cluster.releaseHeldBack();
        requireRepaired(cluster);
        for (auto const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.status.history != first);
    }

    // Guards against a new history when all control disks are empty but other instances know a configuration.
    void evidenceOfAnEarlierHistoryPreventsBootstrap()
    {
        ReplicationCluster cluster(3, 1);
        cluster.bootstrapPermission = false;
        cluster.run(30s);
        CPPUNIT_ASSERT(cluster.hasReported(Event::BootstrapRefused));
        CPPUNIT_ASSERT(!cluster.leader().has_value());
    }

    // Guards against a wiped disk that votes, that starts a second history, or that stays out for good.
    void wipedDiskJoinsUnderANewId()
    {
        for (std::size_t wiped = 0; wiped < 3; ++wiped) {
            StartedCluster cluster(3);
            HistoryId const history = cluster.nodes[0].status.history;
            Replica const old = cluster.nodes[wiped].status.self;
            cluster.wipe(wiped);
            cluster.start(wiped);
            CPPUNIT_ASSERT(cluster.nodes[wiped].status.standing == ReplicaStanding::Empty);
            requireRepaired(cluster);
            CPPUNIT_ASSERT(cluster.nodes[wiped].status.self.id != old.id);
            for (auto const &node : cluster.nodes)
                CPPUNIT_ASSERT(node.status.history == history);
        }
    }

    // Guards against a repair that is reported before the new replica counts.
    void secondDiskIsLostRightAfterTheRepair()
    {
        StartedCluster cluster(3);
        cluster.wipe(0);
        cluster.start(0);
        CPPUNIT_ASSERT(cluster.waitUntil([&] {
            return cluster.mayLoseDisk(1) && cluster.nodes[0].status.standing == ReplicaStanding::Voter;
        }));
        cluster.wipe(1);
        cluster.start(1);
        requireRepaired(cluster);
    }

    // Guards against a voter that is removed, or added, while its successor can't get the log.
    void learnerIsAdmittedOnlyOnceItHasCaughtUp()
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
        requireRepaired(cluster);
    }

    // Guards against a minority that goes on alone, or a second history, when most disks were wiped.
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
        requireSound(cluster);
    }

    // Guards against a disk that was only away: while its replica is being replaced it comes back, and with a
    // member that has not seen the change it must not commit anything beside the new majority.
    void replacedReplicaThatComesBackDoesNoHarm()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const away = otherThan(leader);
        std::size_t const behind = otherThan(leader, away);
        ReplicaId const oldId = cluster.nodes[away].status.self.id;
        FakeDisk const oldDisk = cluster.nodes[away].disk;
        cluster.wipe(away);
        cluster.start(away);
        auto const isReplacing = [&] {
            auto const &voters = cluster.nodes[leader].status.voters;
            return std::ranges::find(voters, oldId, &Replica::id) == voters.end();
        };
        CPPUNIT_ASSERT(cluster.waitUntil(isReplacing));
        cluster.nodes[behind].island = 1;
        cluster.propose(leader);
        cluster.run(10s);
        cluster.stop(away);
        cluster.nodes[away].disk = oldDisk;
        cluster.nodes[away].island = 1;
        cluster.start(away);
        for (int second = 0; second < 30; ++second) {
            cluster.run(1s);
            cluster.propose(away);
            cluster.propose(behind);
        }
        cluster.heal();
        requireRepaired(cluster);
    }

    // Guards against two machines with one instance name that replace each other again and again.
    void secondReplicaOfALiveInstanceIsNotAdmitted()
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
        requireSound(cluster);
    }

    // Guards against elections that a returning replica forces with a higher term.
    void isolatedReplicaDoesNotDisturbTheLeader()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const isolated = otherThan(leader);
        Status const before = cluster.nodes[leader].status;
        cluster.nodes[isolated].island = 1;
        cluster.run(600s);
        CPPUNIT_ASSERT_EQUAL(before.term, cluster.nodes[isolated].status.term);
        cluster.propose(leader);
        cluster.heal();
        requireRepaired(cluster);
        CPPUNIT_ASSERT(cluster.nodes[leader].status.role == ReplicaRole::Leader);
        CPPUNIT_ASSERT_EQUAL(before.term, cluster.nodes[leader].status.term);
    }

    // Guards against a removed replica, or one of another cluster, that unseats the leader with a high term.
    void votesAreNotGrantedAgainstALiveLeaderOrToAnotherHistory()
    {
        StartedCluster cluster(3);
        auto &follower = cluster.nodes[otherThan(cluster.waitForLeader())];
        Status const before = follower.core->status();
        VoteRequest const request{.kind = VoteKind::Binding, .term = 99, .lastIndex = 999, .lastTerm = 98};
        follower.core->handleMessage({before.voters.front(), before.self, before.history, request},
                                     cluster.now);
        CPPUNIT_ASSERT(follower.core->status() == before);
        follower.core->handleMessage({{ReplicaId{77}, "x"}, before.self, HistoryId{5}, request},
                                     cluster.now + 60s);
        CPPUNIT_ASSERT(follower.core->status() == before);
        CPPUNIT_ASSERT(cluster.hasReported(Event::ForeignHistoryRefused));
    }

    // Guards against a leader that goes on accepting changes that can't be committed.
    void leaderWithoutMajorityStepsDown()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        cluster.nodes[leader].island = 1;
        CPPUNIT_ASSERT(cluster.propose(leader).has_value());
        cluster.run(ReplicationCluster::testSettings().shortestElectionTimeout + 100ms);
        CPPUNIT_ASSERT(cluster.nodes[leader].status.role != ReplicaRole::Leader);
        CPPUNIT_ASSERT(!cluster.propose(leader).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.acknowledged.size());
        cluster.heal();
        requireRepaired(cluster);
    }

    // Guards against an entry of an earlier term that is applied although a later leader may replace it
    // (Ongaro 2014, figure 3.7).
    void entryOfAnEarlierTermIsNotCommittedOrReadAlone()
    {
        Replica const self{.id = ReplicaId{1}, .instance = "a"};
        Replica const other{.id = ReplicaId{2}, .instance = "b"};
        std::vector const voters{self, other, Replica{.id = ReplicaId{3}, .instance = "c"}};
        HistoryId const history{9};
        StoredState const stored{
            .self = self,
            .hardState = {.history = history, .term = 2, .vote = {}, .promisedCoordinator = {}},
            .snapshot = {.index = 1, .term = 1, .voters = voters, .state = {}},
            .entries = {LogEntry{.index = 2, .term = 2, .kind = EntryKind::Command, .payload = "change"}}};
        FakeDisk disk;
        auto const random = [] { return std::uint64_t{0}; };
        auto const ignoreEvent = [](Event, std::string const &) {};
        auto const storage = FileStorage::open(disk.hooks(), "a", random, ignoreEvent);
        std::size_t applied = 0;
        std::size_t readsResolved = 0;
        ReplicationHooks const hooks{.send = [](ReplicaEnvelope const &) {},
                                     .apply = [&](LogEntry const &) { ++applied; },
                                     .restore = [](Snapshot const &) {},
                                     .takeSnapshot = {},
                                     .resolveProposal = {},
                                     .resolveRead = [&](ReadToken, absl::Status const &) { ++readsResolved; },
                                     .mayBootstrap = {},
                                     .random = random,
                                     .report = ignoreEvent};
        Timestamp const now{1h};
        ReplicationCore core(ReplicationCluster::testSettings(), stored, (*storage)->hooks(), hooks, now);
        core.tick(now + 10s);
        for (VoteKind const kind : {VoteKind::Probe, VoteKind::Binding})
            core.handleMessage({other, self, history, VoteReply{kind, 3, VoteVerdict::Granted}}, now + 10s);
        CPPUNIT_ASSERT(core.status().role == ReplicaRole::Leader);
        // A read waits as well, because the earlier leader may have acknowledged the entry.
        CPPUNIT_ASSERT(core.confirmLeadership(now + 10s).ok());
        for (LogIndex const match : {2U, 3U}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, applied + readsResolved);
            core.handleMessage(
                {other, self, history, AppendReply{3, AppendVerdict::Accepted, match, 0, 0, 1}}, now + 10s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readsResolved);
    }

    // Guards against an operator who reads an old configuration from a leader that was replaced unnoticed.
    void staleLeaderConfirmsNoRead()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        cluster.beginRead(leader);
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.readsConfirmed);
        cluster.nodes[leader].island = 1;
        cluster.beginRead(leader);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.nodes[leader].reads.size());
        cluster.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.readsConfirmed);
        CPPUNIT_ASSERT(cluster.nodes[leader].reads.empty());
    }

    // Guards against an acknowledgement of what a full disk did not take, by a follower or by the leader.
    void failedSyncGivesNoAcknowledgement()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const follower = otherThan(leader);
        cluster.stop(otherThan(leader, follower));
        cluster.nodes[follower].disk.setFull(true);
        CPPUNIT_ASSERT(cluster.propose(leader).has_value());
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.acknowledged.size());
        CPPUNIT_ASSERT(cluster.nodes[follower].status.role == ReplicaRole::Failed);
        CPPUNIT_ASSERT(!cluster.nodes[follower].status.failure.ok());
        cluster.heal();
        requireRepaired(cluster);

        std::size_t const next = cluster.waitForLeader();
        cluster.nodes[next].disk.setFull(true);
        CPPUNIT_ASSERT(!cluster.propose(next).has_value());
        // Space that is freed later does not bring the replica back by itself.
        cluster.nodes[next].disk.setFull(false);
        CPPUNIT_ASSERT(!cluster.propose(next).has_value());
        CPPUNIT_ASSERT(cluster.hasReported(Event::ReplicaStorageFailed));
        requireSound(cluster);
    }

    // Guards against a process that acts on older state after a restart.
    void restartAfterManyChangesRestoresTheLastState()
    {
        StartedCluster cluster(3);
        for (int change = 0; change < 500; ++change) {
            cluster.propose(cluster.waitForLeader());
            cluster.run(200ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{501}, cluster.committed.size());
        cluster.run(2s);
        for (std::size_t index = 0; index < 3; ++index)
            cluster.stop(index);
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.start(index);
            CPPUNIT_ASSERT(cluster.nodes[index].commands == cluster.committed);
        }
        requireRepaired(cluster);
    }

    // Guards against effects that happen a second time, or out of entries that were cut off.
    void startWithSnapshotDoesNotReplayTheTruncatedLog()
    {
        auto settings = ReplicationCluster::testSettings();
        settings.entriesPerSnapshot = 100;
        StartedCluster cluster(3, settings);
        for (int change = 0; change < 250; ++change) {
            cluster.propose(cluster.waitForLeader());
            cluster.run(200ms);
        }
        cluster.run(2s);
        cluster.crash(1);
        cluster.start(1);
        auto const &node = cluster.nodes[1];
        CPPUNIT_ASSERT(node.status.snapshotIndex >= 200);
        CPPUNIT_ASSERT(node.appliedIndexes.empty()
                       || node.appliedIndexes.front() > node.status.snapshotIndex);
        requireRepaired(cluster);
    }

    // Guards against a leader that ignores a refusal because the conflict begins in what was acknowledged.
    // The replica keeps entries of its own old term, acknowledges a part of the new leader's log, and dies
    // before it has stored the rest.
    void followerWithEntriesOfAnOldLeaderCatchesUp()
    {
        for (std::uint64_t operations = 1; operations < 10; ++operations) {
            StartedCluster cluster(3);
            std::size_t const old = cluster.waitForLeader();
            cluster.nodes[old].island = 1;
            cluster.propose(old);
            cluster.propose(old);
            cluster.run(10s);
            std::size_t const leader = cluster.waitForLeader();
            Term const term = cluster.nodes[leader].status.term;
            cluster.heal();
            cluster.nodes[old].disk.crashAfter(operations);
            // It restarts before the leader notices the silence.
            cluster.waitUntil([&] { return cluster.nodes[old].core == nullptr; });
            cluster.heal();
            requireRepaired(cluster);
            CPPUNIT_ASSERT_EQUAL(term, cluster.nodes[leader].status.term);
        }
    }

    // Guards against a leader that keeps probing a follower whose next entry was cut off with a snapshot.
    void followerBehindTheSnapshotCatchesUp()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const behind = otherThan(leader);
        cluster.stop(behind);
        for (int change = 0; change < 30; ++change) {
            cluster.propose(leader);
            cluster.run(200ms);
        }
        cluster.heal();
        requireRepaired(cluster);
        CPPUNIT_ASSERT(cluster.hasReported(Event::SnapshotInstalled));
    }

    // Guards against uncommitted entries that stay behind a snapshot they do not continue.
    void snapshotOfAnotherTermDropsTheLog()
    {
        std::vector const entries{LogEntry{.index = 1, .term = 1}, LogEntry{.index = 2, .term = 1}};
        for (Term const term : {1U, 2U}) {
            ReplicationLog log({}, entries);
            log.rebase(Snapshot{.index = 1, .term = term, .voters = {}, .state = {}});
            CPPUNIT_ASSERT_EQUAL(term == 1 ? LogIndex{2} : LogIndex{1}, log.lastIndex());
        }
    }

    // Guards against memory that grows while no majority answers, and against payloads no message could
    // carry.
    void proposalsAreBounded()
    {
        auto settings = ReplicationCluster::testSettings();
        settings.largestUncommittedEntries = 10;
        StartedCluster cluster(3, settings);
        std::size_t const leader = cluster.waitForLeader();
        for (std::size_t index = 0; index < 3; ++index)
            cluster.nodes[index].island = static_cast<int>(index);
        for (int change = 0; change < 10; ++change)
            CPPUNIT_ASSERT(cluster.propose(leader).has_value());
        CPPUNIT_ASSERT(!cluster.propose(leader).has_value());
        auto const large =
            cluster.nodes[leader].core->propose(std::string(settings.largestPayload + 1, '.'), cluster.now);
        CPPUNIT_ASSERT(absl::IsInvalidArgument(large.status()));
    }

    // Guards against control traffic that grows with the number of changes instead of with their rate.
    void idleTrafficDoesNotGrowWithTheLog()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        auto const idleMessages = [&] {
            auto const before = cluster.nodes[leader].core->counters();
            cluster.run(60s);
            auto const after = cluster.nodes[leader].core->counters();
            CPPUNIT_ASSERT_EQUAL(before.payloadBytesSent, after.payloadBytesSent);
            return after.messagesSent - before.messagesSent;
        };
        auto const first = idleMessages();
        for (int change = 0; change < 100; ++change) {
            cluster.propose(leader);
            cluster.run(200ms);
        }
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(first, idleMessages());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationCoreTest);

} // namespace almondwing
