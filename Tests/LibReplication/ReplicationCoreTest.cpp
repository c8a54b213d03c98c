// Tests of elections, commits, restarts and the catch-up of followers in the replicated log.

#include "StartedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

using Status = ReplicationStatus;

} // namespace

class ReplicationCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationCoreTest);
    CPPUNIT_TEST(isolatedReplicaForcesNoElection);
    CPPUNIT_TEST(voteRequestIsIgnoredWithRecentLeaderOrForeignHistory);
    CPPUNIT_TEST(leaderWithoutMajorityStepsDown);
    CPPUNIT_TEST(entryOfEarlierTermIsNotCommittedAlone);
    CPPUNIT_TEST(staleLeaderConfirmsNoRead);
    CPPUNIT_TEST(failedWriteIsNotAcknowledged);
    CPPUNIT_TEST(restartRestoresTheLatestState);
    CPPUNIT_TEST(startFromSnapshotDoesNotReplayOlderEntries);
    CPPUNIT_TEST(followerWithStaleEntriesCatchesUp);
    CPPUNIT_TEST(followerBehindTheSnapshotCatchesUp);
    CPPUNIT_TEST(snapshotOfAnotherTermDropsTheLog);
    CPPUNIT_TEST(proposalsAreBounded);
    CPPUNIT_TEST(idleTrafficDoesNotGrowWithTheLog);
    CPPUNIT_TEST_SUITE_END();

    // Guards against elections that a replica forces with a higher term when its isolation ends.
    void isolatedReplicaForcesNoElection()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const isolated = otherThan(leader);
        Status const before = cluster.nodes[leader].status;
        cluster.nodes[isolated].partition = 1;
        cluster.run(600s);
        CPPUNIT_ASSERT_EQUAL(before.term, cluster.nodes[isolated].status.term);
        cluster.propose(leader);
        cluster.heal();
        requireRecovered(cluster);
        CPPUNIT_ASSERT(cluster.nodes[leader].status.role == ReplicaRole::Leader);
        CPPUNIT_ASSERT_EQUAL(before.term, cluster.nodes[leader].status.term);
    }

    // Guards against a removed replica, or a replica of another cluster, that makes the leader step down with
    // a higher term. Such a request gets no reply.
    void voteRequestIsIgnoredWithRecentLeaderOrForeignHistory()
    {
        StartedCluster cluster(3);
        auto &follower = cluster.nodes[otherThan(cluster.waitForLeader())];
        Status const before = follower.core->status();
        VoteRequest const request{.kind = VoteKind::Vote, .term = 99, .lastIndex = 999, .lastTerm = 98};
        follower.core->handleMessage({before.voters.front(), before.self, before.history, request},
                                     cluster.now);
        CPPUNIT_ASSERT(follower.core->status() == before);
        follower.core->handleMessage({{ReplicaId{77}, "x"}, before.self, HistoryId{5}, request},
                                     cluster.now + 60s);
        CPPUNIT_ASSERT(follower.core->status() == before);
        CPPUNIT_ASSERT(cluster.hasReported(Event::ForeignHistoryRefused));
    }

    // Guards against a leader that still accepts changes although it can't commit them.
    void leaderWithoutMajorityStepsDown()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        cluster.nodes[leader].partition = 1;
        CPPUNIT_ASSERT(cluster.propose(leader).has_value());
        cluster.run(ReplicationCluster::testSettings().minElectionTimeout + 100ms);
        CPPUNIT_ASSERT(cluster.nodes[leader].status.role != ReplicaRole::Leader);
        CPPUNIT_ASSERT(!cluster.propose(leader).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.acknowledged.size());
        cluster.heal();
        requireRecovered(cluster);
    }

    // Guards against an entry of an earlier term that is applied although a later leader may replace it
    // (Ongaro 2014, figure 3.7).
    void entryOfEarlierTermIsNotCommittedAlone()
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
        for (VoteKind const kind : {VoteKind::PreVote, VoteKind::Vote})
            core.handleMessage({other, self, history, VoteReply{kind, 3, VoteVerdict::Granted}}, now + 10s);
        CPPUNIT_ASSERT(core.status().role == ReplicaRole::Leader);
        // A read must wait as well, because the earlier leader may have acknowledged the entry.
        CPPUNIT_ASSERT(core.startRead(now + 10s).ok());
        for (LogIndex const match : {2U, 3U}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, applied + readsResolved);
            core.handleMessage(
                {other, self, history, AppendReply{3, AppendVerdict::Accepted, match, 0, 0, 1}}, now + 10s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readsResolved);
    }

    // Guards against an operator who reads an old configuration from a leader that does not know that it was
    // replaced.
    void staleLeaderConfirmsNoRead()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        cluster.startRead(leader);
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.readsConfirmed);
        cluster.nodes[leader].partition = 1;
        cluster.startRead(leader);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.nodes[leader].reads.size());
        cluster.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.readsConfirmed);
        CPPUNIT_ASSERT(cluster.nodes[leader].reads.empty());
    }

    // Guards against a follower or leader that acknowledges an entry although its full disk did not store it.
    void failedWriteIsNotAcknowledged()
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
        requireRecovered(cluster);

        std::size_t const next = cluster.waitForLeader();
        cluster.nodes[next].disk.setFull(true);
        CPPUNIT_ASSERT(!cluster.propose(next).has_value());
        // Free disk space alone does not end the failure; the replica must be restarted.
        cluster.nodes[next].disk.setFull(false);
        CPPUNIT_ASSERT(!cluster.propose(next).has_value());
        CPPUNIT_ASSERT(cluster.hasReported(Event::ReplicaStorageFailed));
        requireNoViolations(cluster);
    }

    // Guards against a process that has outdated state after a restart.
    void restartRestoresTheLatestState()
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
        requireRecovered(cluster);
    }

    // Guards against commands that are applied twice, or from entries that the snapshot replaced.
    void startFromSnapshotDoesNotReplayOlderEntries()
    {
        auto settings = ReplicationCluster::testSettings();
        settings.entriesPerSnapshot = 100;
        StartedCluster cluster(3, settings);
        for (int change = 0; change < 250; ++change) {
            cluster.propose(cluster.waitForLeader());
            cluster.run(200ms);
        }
        cluster.run(2s);
        cluster.losePower(1);
        cluster.start(1);
        auto const &node = cluster.nodes[1];
        CPPUNIT_ASSERT(node.status.snapshotIndex >= 200);
        CPPUNIT_ASSERT(node.appliedIndexes.empty()
                       || node.appliedIndexes.front() > node.status.snapshotIndex);
        requireRecovered(cluster);
    }

    // Guards against a leader that ignores a refusal because the conflict begins in the acknowledged part of
    // the log. A former leader with uncommitted entries acknowledges a part of the new leader's log and
    // crashes before it has stored the rest. Its next refusal then names an index that the new leader counts
    // as acknowledged.
    void followerWithStaleEntriesCatchesUp()
    {
        for (std::uint64_t operations = 1; operations < 10; ++operations) {
            StartedCluster cluster(3);
            std::size_t const old = cluster.waitForLeader();
            cluster.nodes[old].partition = 1;
            cluster.propose(old);
            cluster.propose(old);
            cluster.run(10s);
            std::size_t const leader = cluster.waitForLeader();
            Term const term = cluster.nodes[leader].status.term;
            cluster.heal();
            cluster.nodes[old].disk.failAfter(operations);
            // The replica restarts before the leader detects the missing replies.
            cluster.waitUntil([&] { return cluster.nodes[old].core == nullptr; });
            cluster.heal();
            requireRecovered(cluster);
            CPPUNIT_ASSERT_EQUAL(term, cluster.nodes[leader].status.term);
        }
    }

    // Guards against a leader that probes forever a follower whose next entry was replaced by a snapshot.
    void followerBehindTheSnapshotCatchesUp()
    {
        StartedCluster cluster(3);
        std::size_t const leader = cluster.waitForLeader();
        std::size_t const lagging = otherThan(leader);
        cluster.stop(lagging);
        for (int change = 0; change < 30; ++change) {
            cluster.propose(leader);
            cluster.run(200ms);
        }
        cluster.heal();
        requireRecovered(cluster);
        CPPUNIT_ASSERT(cluster.hasReported(Event::SnapshotInstalled));
    }

    // Guards against uncommitted entries that remain after a snapshot that they do not continue.
    void snapshotOfAnotherTermDropsTheLog()
    {
        std::vector const entries{LogEntry{.index = 1, .term = 1}, LogEntry{.index = 2, .term = 1}};
        for (Term const term : {1U, 2U}) {
            ReplicationLog log({}, entries);
            log.resetToSnapshot(Snapshot{.index = 1, .term = term, .voters = {}, .state = {}});
            CPPUNIT_ASSERT_EQUAL(term == 1 ? LogIndex{2} : LogIndex{1}, log.lastIndex());
        }
    }

    // Guards against memory that grows while no majority responds, and against payloads that are too large
    // for a message.
    void proposalsAreBounded()
    {
        auto settings = ReplicationCluster::testSettings();
        settings.maxUncommittedEntries = 10;
        StartedCluster cluster(3, settings);
        std::size_t const leader = cluster.waitForLeader();
        for (std::size_t index = 0; index < 3; ++index)
            cluster.nodes[index].partition = static_cast<int>(index);
        for (int change = 0; change < 10; ++change)
            CPPUNIT_ASSERT(cluster.propose(leader).has_value());
        CPPUNIT_ASSERT(!cluster.propose(leader).has_value());
        auto const large =
            cluster.nodes[leader].core->propose(std::string(settings.maxPayloadBytes + 1, '.'), cluster.now);
        CPPUNIT_ASSERT(absl::IsInvalidArgument(large.status()));
    }

    // Guards against idle control traffic that grows with the total number of changes.
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
