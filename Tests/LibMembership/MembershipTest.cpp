// Tests of the membership protocol on a fake link.

#include "FakeCluster.h"

#include <LibMembership/Dissemination.h>
#include <LibMembership/MemberRecords.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <thread>

namespace almondwing {

namespace {

constexpr std::size_t nodeCount = 6;
constexpr std::size_t domainCount = 2;

// Even nodes are in one failure domain, odd nodes in the other.
bool isEven(std::size_t node)
{
    return node % 2 == 0;
}

// Starts all nodes and waits until they know each other.
struct RunningCluster : FakeCluster
{
    explicit RunningCluster(std::uint64_t seed, MembershipSettings options = {})
        : FakeCluster(nodeCount, domainCount, seed, std::move(options))
    {
        this->startAll();
        this->run(5s);
        CPPUNIT_ASSERT(this->isConverged());
    }
};

TargetRecord targetRecord(std::string const &name, TargetSequence sequence)
{
    TargetRecord record;
    record.id = TargetId::fromName(name);
    record.name = name;
    record.sequence = sequence;
    return record;
}

void checkProperty(std::string const &name, std::function<void()> const &property)
{
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(convergesAfterFaultsEnd);
    CPPUNIT_TEST(healthyMembersAreNotSuspected);
    CPPUNIT_TEST(lostDirectPathIsBridged);
    CPPUNIT_TEST(leaseEndsBeforeOthersTakeOver);
    CPPUNIT_TEST(bothSidesOfPartitionServe);
    CPPUNIT_TEST(returningInstanceKillsNobody);
    CPPUNIT_TEST(pausedProcessGivesUpItsLease);
    CPPUNIT_TEST(leavingIsNotAFailure);
    CPPUNIT_TEST(lonelyInstanceServes);
    CPPUNIT_TEST(majorityContactIsLostInTime);
    CPPUNIT_TEST(ownTargetRecordYieldsOnlyToHigherEpoch);
    CPPUNIT_TEST(messagesStaySmall);
    CPPUNIT_TEST(missedUpdateIsFetched);
    CPPUNIT_TEST(fetchNeedsConfirmedDifference);
    CPPUNIT_TEST(evidenceOfControlInstancesIsPassedOn);
    CPPUNIT_TEST(suspectedMemberIsAsked);
    CPPUNIT_TEST(fetchedRecordsStayQuiet);
    CPPUNIT_TEST(callsFromSeveralThreads);
    CPPUNIT_TEST_SUITE_END();

    // Guards against members that stay dead or records that stay different after faults of any kind, and
    // against record versions that go back.
    void convergesAfterFaultsEnd()
    {
        checkProperty("converges after faults end", [] {
            FakeCluster cluster(nodeCount, domainCount, *rc::gen::arbitrary<std::uint64_t>());
            cluster.faults = {.loss = *rc::gen::inRange(0, 40) / 100.0, .duplication = 0.1};
            cluster.faults.longestDelay = *rc::gen::element<Duration>(2ms, 100ms, 800ms);
            cluster.startAll();
            std::uint64_t epoch = 0;
            int const faultCount = *rc::gen::inRange(1, 6);
            for (int fault = 0; fault < faultCount; ++fault) {
                auto const node = *rc::gen::inRange<std::size_t>(0, nodeCount);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    cluster.isCut = [](std::size_t from, std::size_t to) {
                        return isEven(from) != isEven(to);
                    };
                    break;
                case 1:
                    cluster.isCut = [node](std::size_t from, std::size_t to) {
                        return (from == node) != (to == node);
                    };
                    break;
                case 2:
                    cluster.isCut = [node](std::size_t from, std::size_t) { return from == node; };
                    break;
                case 3:
                    cluster.nodes[node].isPaused = cluster.nodes[node].isRunning;
                    break;
                default:
                    cluster.start(node);
                }
                if (cluster.nodes[node].isRunning)
                    cluster.writeTarget(node,
                                        targetRecord("target", {++epoch, 1, cluster.nodes[node].self.id}));
                cluster.run(*rc::gen::inRange(1, 10) * 1s);
            }
            cluster.isCut = [](std::size_t, std::size_t) { return false; };
            cluster.faults = {};
            for (FakeNode &node : cluster.nodes)
                node.isPaused = false;
            cluster.run(20s);
            RC_ASSERT(cluster.isConverged());
            RC_ASSERT(cluster.versionsGoneBack == 0U);
            for (FakeNode const &node : cluster.nodes)
                RC_ASSERT(node.controller->canDispatch(cluster.now));
        });
    }

    // Guards against false suspicion and lost leases on a link that is merely bad.
    void healthyMembersAreNotSuspected()
    {
        checkProperty("healthy members are not considered dead", [] {
            RunningCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.faults = {.loss = 0.1, .duplication = 0.1, .longestDelay = 50ms};
            cluster.run(30s);
            RC_ASSERT(cluster.countEvents(Event::MemberDead) == 0U);
        });
    }

    // Guards against a member that is declared dead because one path to it is lost while others work.
    void lostDirectPathIsBridged()
    {
        RunningCluster cluster(1);
        cluster.isCut = [](std::size_t from, std::size_t to) { return from + to == 1; };
        cluster.run(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.countEvents(Event::MemberSuspected));
    }

    // Guards against two dispatchers of one target: an instance that is cut off must have lost its lease when
    // the first of the others considers it dead. It may have a lease again only after it has found itself to
    // be the last of its failure domain, which docs/design.md allows.
    void leaseEndsBeforeOthersTakeOver()
    {
        checkProperty("the lease ends before others take over", [] {
            RunningCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            auto const node = *rc::gen::inRange<std::size_t>(0, nodeCount);
            cluster.run(*rc::gen::inRange(0, 20) * 100ms);
            cluster.isCut = [node](std::size_t from, std::size_t to) {
                return (from == node) != (to == node);
            };
            bool isTakenOver = false;
            cluster.inspect = [&] {
                for (std::size_t other = 0; other < nodeCount; ++other) {
                    if (isTakenOver || !cluster.sees(other, node, MemberState::Dead))
                        continue;
                    isTakenOver = true;
                    bool const isLast = cluster.sees(node, (node + 2) % nodeCount, MemberState::Dead)
                        && cluster.sees(node, (node + 4) % nodeCount, MemberState::Dead);
                    auto const &cutOff = cluster.nodes[node];
                    RC_ASSERT(isLast || !cutOff.controller->canDispatch(cluster.now));
                    RC_ASSERT(isLast || cutOff.blackboard->ownStatus.read()->lease == LeaseState::Expired);
                }
            };
            cluster.run(10s);
            RC_ASSERT(isTakenOver);
        });
    }

    // Guards against a failure domain that stops serving because it is cut off, and against members that stay
    // dead after a partition that lasted longer than all suspicions, be it that records can be fetched or
    // not.
    void bothSidesOfPartitionServe()
    {
        this->checkPartition([](FakeCluster &) {});
        this->checkPartition([](FakeCluster &cluster) { cluster.canFetch = false; });
    }

    void checkPartition(std::function<void(FakeCluster &)> const &prepare)
    {
        RunningCluster cluster(2);
        prepare(cluster);
        cluster.isCut = [](std::size_t from, std::size_t to) { return isEven(from) != isEven(to); };
        cluster.run(20s);
        CPPUNIT_ASSERT(cluster.sees(0, 1, MemberState::Dead));
        for (FakeNode const &node : cluster.nodes)
            CPPUNIT_ASSERT(node.controller->canDispatch(cluster.now));
        cluster.isCut = [](std::size_t, std::size_t) { return false; };
        cluster.run(15s);
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against an instance that returns from isolation and spreads that everybody else is dead.
    void returningInstanceKillsNobody()
    {
        checkProperty("a returning instance kills nobody", [] {
            RunningCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            auto const isolation = *rc::gen::inRange(2, 20) * 1s;
            cluster.isCut = [](std::size_t from, std::size_t to) { return (from == 0) != (to == 0); };
            cluster.run(isolation);
            RC_ASSERT(isolation < 8s || cluster.sees(0, 1, MemberState::Dead));
            cluster.isCut = [](std::size_t, std::size_t) { return false; };
            for (FakeNode &node : cluster.nodes)
                node.events.clear();
            cluster.run(20s);
            for (std::size_t observer = 1; observer < nodeCount; ++observer) {
                for (auto const &[event, name] : cluster.nodes[observer].events)
                    RC_ASSERT(event != Event::MemberDead || name == "node-0");
            }
            RC_ASSERT(cluster.isConverged());
        });
    }

    // Guards against a process that goes on with its old leases after it was stopped for a while, be it
    // before its first tick or because of acks that waited in its socket.
    void pausedProcessGivesUpItsLease()
    {
        RunningCluster cluster(3);
        auto &node = cluster.nodes[2];
        CPPUNIT_ASSERT(node.controller->canDispatch(cluster.now));
        auto const incarnation = node.blackboard->ownStatus.read()->self.incarnation;
        node.isPaused = true;
        cluster.run(1500ms);
        CPPUNIT_ASSERT(!node.controller->canDispatch(cluster.now));
        node.isPaused = false;
        auto const &other = cluster.nodes[0].self;
        node.controller->handlePeerMessage(other.id, other.peerEndpoint, Ping{}, cluster.now);
        CPPUNIT_ASSERT(node.blackboard->ownStatus.read()->self.incarnation > incarnation);
        CPPUNIT_ASSERT(node.blackboard->ownStatus.read()->lease == LeaseState::Expired);
        CPPUNIT_ASSERT(node.blackboard->ownStatus.read()->phase == InstancePhase::Joining);
        CPPUNIT_ASSERT(!node.controller->canDispatch(cluster.now));
        cluster.run(5s);
        CPPUNIT_ASSERT(node.controller->canDispatch(cluster.now));
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against a planned stop that costs the time of failure detection.
    void leavingIsNotAFailure()
    {
        RunningCluster cluster(4);
        cluster.nodes[5].controller->leave(cluster.now);
        cluster.run(1s);
        for (std::size_t observer = 0; observer < nodeCount; ++observer)
            CPPUNIT_ASSERT(cluster.sees(observer, 5, MemberState::Leaving));
        cluster.stop(5);
        cluster.run(8s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.countEvents(Event::MemberSuspected));
    }

    // Guards against an instance that serves nothing because all seeds are down.
    void lonelyInstanceServes()
    {
        FakeCluster cluster(nodeCount, domainCount, 5);
        cluster.start(3);
        cluster.run(1900ms);
        CPPUNIT_ASSERT(!cluster.nodes[3].controller->canDispatch(cluster.now));
        cluster.run(200ms);
        CPPUNIT_ASSERT(cluster.nodes[3].controller->canDispatch(cluster.now));
    }

    // Guards against an instance that goes on sending to failure domains that may have been taken out, and
    // against evidence of the control instances that is passed around after they are gone.
    void majorityContactIsLostInTime()
    {
        checkProperty("majority contact is lost in time", [] {
            RunningCluster cluster(*rc::gen::arbitrary<std::uint64_t>(),
                                   {.controlInstances = {"node-0", "node-1", "node-2"}});
            auto const statusOf = [&](std::size_t node) {
                return cluster.nodes[node].blackboard->ownStatus.read()->majorityContact;
            };
            cluster.faults.longestDelay = *rc::gen::element<Duration>(2ms, 250ms);
            cluster.inspect = [&] {
                for (std::size_t node = 0; node < nodeCount; ++node)
                    RC_ASSERT(statusOf(node) == MajorityContact::Recent);
            };
            cluster.run(20s);
            cluster.inspect = [] {};
            // Node 3 to 5 lose the first two control instances; the third alone is no majority.
            cluster.isCut = [](std::size_t from, std::size_t to) { return (from < 2) != (to < 2); };
            cluster.run(majorityContactPeriod + 300ms);
            for (std::size_t node = 2; node < nodeCount; ++node)
                RC_ASSERT(statusOf(node) == MajorityContact::Lost);
            RC_ASSERT(statusOf(0) == MajorityContact::Recent);
        });
    }

    // Guards against a dispatcher whose record is replaced by late records of its predecessor, and against
    // two owners that use the same epoch forever.
    void ownTargetRecordYieldsOnlyToHigherEpoch()
    {
        InstanceId const self{1};
        InstanceId const other{2};
        auto const own = targetRecord("t", {5, 1, self});
        CPPUNIT_ASSERT(!mergeTarget(own, targetRecord("t", {4, 9, other}), self));
        CPPUNIT_ASSERT(mergeTarget(own, targetRecord("t", {6, 1, other}), self)->sequence.owner == other);
        auto const tie = mergeTarget(own, targetRecord("t", {5, 9, other}), self);
        CPPUNIT_ASSERT(tie && tie->sequence == (TargetSequence{6, 1, self}));
        auto const foreign = targetRecord("t", {5, 1, other});
        CPPUNIT_ASSERT(mergeTarget(foreign, targetRecord("t", {5, 2, InstanceId{3}}), self));
    }

    // Guards against membership messages that do not fit into a datagram while much changes at once, and
    // against updates that never get their turn.
    void messagesStaySmall()
    {
        RunningCluster cluster(6);
        constexpr int targetCount = 200;
        for (int index = 0; index < targetCount; ++index)
            cluster.writeTarget(0, targetRecord("target-" + std::to_string(index), {1, 1, InstanceId{1}}));
        cluster.run(40s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT(cluster.largestRecordBytes > recordBytesPerMessage / 2);
        CPPUNIT_ASSERT(cluster.largestRecordBytes <= recordBytesPerMessage);
    }

    // Guards against a record that stays missing because its updates were all lost.
    void missedUpdateIsFetched()
    {
        RunningCluster cluster(7);
        auto const target = targetRecord("target", {1, 1, InstanceId{1}});
        cluster.nodes[0].blackboard->targets.update(target.id,
                                                    [&](auto const &) { return std::optional(target); });
        cluster.run(15s);
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against fetches of all records after each change: a difference while updates are on their way is
    // no reason, nor one that the peer does not confirm.
    void fetchNeedsConfirmedDifference()
    {
        InstanceId const peer{1};
        auto const begin = Timestamp(100s);
        auto const normal = FetchUrgency::Normal;
        auto watch = notePeerDigest({}, peer, 10, 20, begin);
        CPPUNIT_ASSERT(peerToFetch(watch, FetchUrgency::AtOnce, begin) == peer);
        CPPUNIT_ASSERT(!peerToFetch(watch, normal, begin + 5s));
        CPPUNIT_ASSERT(!peerToAsk(watch, begin + 1s));
        CPPUNIT_ASSERT(peerToAsk(watch, begin + 3s) == peer);
        CPPUNIT_ASSERT(!peerToAsk(noteQuestion(watch, begin + 3s), begin + 3500ms));
        CPPUNIT_ASSERT(!notePeerDigest(watch, peer, 20, 20, begin + 3s).difference);
        CPPUNIT_ASSERT(!noteOwnDigest(watch, 10, begin + 3s).difference);
        CPPUNIT_ASSERT(!peerToFetch(notePeerDigest(watch, peer, 10, 21, begin + 3s), normal, begin + 3s));
        CPPUNIT_ASSERT(!peerToFetch(notePeerDigest(watch, peer, 11, 20, begin + 3s), normal, begin + 3s));
        watch = notePeerDigest(watch, peer, 10, 20, begin + 3s);
        CPPUNIT_ASSERT(peerToFetch(watch, normal, begin + 3s) == peer);
        // The next fetch waits, and longer if this one brings nothing.
        watch = noteFetch(watch, begin + 3s);
        watch = notePeerDigest(watch, peer, 10, 20, begin + 3s);
        CPPUNIT_ASSERT(!peerToFetch(watch, FetchUrgency::AtOnce, begin + 3s));
        CPPUNIT_ASSERT(watch.fetchPause > shortestFetchPause);
        CPPUNIT_ASSERT(noteFetchResult(watch, FetchResult::NewRecords).fetchPause == shortestFetchPause);
    }

    // Guards against an instance that loses the majority although a peer is in contact with it, which would
    // be common where each instance can probe only few control instances.
    void evidenceOfControlInstancesIsPassedOn()
    {
        RunningCluster cluster(8, {.controlInstances = {"node-0", "node-1", "node-2"}});
        cluster.isCut = [](std::size_t from, std::size_t to) {
            return std::min(from, to) < 2 && std::max(from, to) > 2;
        };
        cluster.inspect = [&] {
            for (FakeNode const &node : cluster.nodes)
                CPPUNIT_ASSERT(node.blackboard->ownStatus.read()->majorityContact == MajorityContact::Recent);
        };
        cluster.run(20s);
    }

    // Guards against a live member that is given up because its refutation has not arrived in time.
    void suspectedMemberIsAsked()
    {
        FakeCluster cluster(30, 1, 9);
        cluster.startAll();
        cluster.run(10s);
        auto suspected = cluster.nodes[20].blackboard->ownStatus.read()->self;
        suspected.state = MemberState::Suspect;
        Ping ping;
        ping.gossip.members = {suspected};
        // Only the suspected member and the one that has heard of the suspicion reach each other.
        cluster.isCut = [](std::size_t from, std::size_t to) { return from + to != 30 || from % 10 != 0; };
        auto const &sender = cluster.nodes[0].self;
        cluster.nodes[10].controller->handlePeerMessage(sender.id, sender.peerEndpoint, ping, cluster.now);
        CPPUNIT_ASSERT(cluster.sees(10, 20, MemberState::Suspect));
        cluster.run(suspicionPeriod + 500ms);
        CPPUNIT_ASSERT(cluster.sees(10, 20, MemberState::Alive));
    }

    // Guards against a joining instance that spreads all records again, and against fetched reports of dead
    // members that are believed without a probe.
    void fetchedRecordsStayQuiet()
    {
        RunningCluster cluster(10);
        for (std::size_t index = 0; index < 2 * mostFetchedRecordsToSpread; ++index)
            cluster.writeTarget(0, targetRecord("target-" + std::to_string(index), {1, 1, InstanceId{1}}));
        cluster.run(40s);
        cluster.start(5);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT(cluster.nodes[5].controller->counters().targetRecords < mostFetchedRecordsToSpread);
        auto dead = cluster.nodes[1].blackboard->ownStatus.read()->self;
        dead.state = MemberState::Dead;
        cluster.nodes[0].controller->mergeRecords(std::vector{dead}, {}, cluster.now);
        CPPUNIT_ASSERT(cluster.sees(0, 1, MemberState::Alive));
    }

    // Guards against data races between the threads of the front end; the sanitizer runs look at it.
    void callsFromSeveralThreads()
    {
        Blackboard blackboard;
        std::atomic<std::uint64_t> counter{1};
        Outbox outbox;
        outbox.sendToInstance = [](InstanceId, PeerMessage const &) {};
        outbox.report = [](Event, std::string const &) {};
        MembershipController controller(blackboard, {}, outbox, [&] { return mixBits(++counter); });
        MemberRecord self;
        self.id = InstanceId{1};
        self.incarnation = 1;
        auto const begin = Timestamp(1s);
        controller.start(self, {}, begin);
        std::vector<std::jthread> threads;
        for (std::uint64_t thread = 2; thread < 6; ++thread)
            threads.emplace_back([&, thread] {
                for (int count = 1; count <= 200; ++count) {
                    auto const now = begin + count * 50ms;
                    MemberRecord member = self;
                    member.id = InstanceId{thread};
                    Gossip gossip;
                    gossip.members = {member};
                    controller.handlePeerMessage(member.id, {}, Ping{.nonce = 1, .gossip = gossip}, now);
                    controller.tick(now);
                    (void)controller.canDispatch(now);
                }
            });
        threads.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, blackboard.members.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace almondwing
