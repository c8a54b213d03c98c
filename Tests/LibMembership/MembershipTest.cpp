// Tests of the membership protocol on a simulated network.

#include "FakeCluster.h"

#include <LibMembership/Dissemination.h>
#include <LibMembership/MemberRecords.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <thread>

namespace almondwing {

namespace {

constexpr std::size_t instanceCount = 6;
constexpr std::size_t domainCount = 2;

// Instances with an even index are in one failure domain, those with an odd index in the other.
bool isEven(std::size_t instance)
{
    return instance % 2 == 0;
}

// A cluster whose instances have all started and converged.
struct ConvergedCluster : FakeCluster
{
    explicit ConvergedCluster(std::uint64_t seed, MembershipSettings options = {})
        : FakeCluster(instanceCount, domainCount, seed, std::move(options))
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
    CPPUNIT_TEST(healthyMembersAreNotDeclaredDead);
    CPPUNIT_TEST(indirectProbesPreventSuspicion);
    CPPUNIT_TEST(leaseExpiresBeforeTakeover);
    CPPUNIT_TEST(bothSidesOfPartitionServe);
    CPPUNIT_TEST(othersStayAliveWhenInstanceReturns);
    CPPUNIT_TEST(pausedProcessLosesItsLease);
    CPPUNIT_TEST(leavingMemberIsNotSuspected);
    CPPUNIT_TEST(isolatedInstanceServes);
    CPPUNIT_TEST(majorityContactExpires);
    CPPUNIT_TEST(ownTargetRecordYieldsOnlyToHigherEpoch);
    CPPUNIT_TEST(messagesStayBelowSizeLimit);
    CPPUNIT_TEST(missedUpdateIsFetched);
    CPPUNIT_TEST(fetchNeedsConfirmedDifference);
    CPPUNIT_TEST(controlContactsAreShared);
    CPPUNIT_TEST(suspectIsPingedBeforeTimeout);
    CPPUNIT_TEST(fetchedRecordsAreNotGossipedAgain);
    CPPUNIT_TEST(concurrentCallsKeepAllMembers);
    CPPUNIT_TEST_SUITE_END();

    // Guards against members that stay dead or records that stay different after random faults have ended,
    // and against record versions that decrease.
    void convergesAfterFaultsEnd()
    {
        checkProperty("the cluster converges after faults end", [] {
            FakeCluster cluster(instanceCount, domainCount, *rc::gen::arbitrary<std::uint64_t>());
            cluster.faults = {.loss = *rc::gen::inRange(0, 40) / 100.0, .duplication = 0.1};
            cluster.faults.maxDelay = *rc::gen::element<Duration>(2ms, 100ms, 800ms);
            cluster.startAll();
            std::uint64_t epoch = 0;
            int const faultCount = *rc::gen::inRange(1, 6);
            for (int fault = 0; fault < faultCount; ++fault) {
                auto const instance = *rc::gen::inRange<std::size_t>(0, instanceCount);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    cluster.isBlocked = [](std::size_t from, std::size_t to) {
                        return isEven(from) != isEven(to);
                    };
                    break;
                case 1:
                    cluster.isBlocked = [instance](std::size_t from, std::size_t to) {
                        return (from == instance) != (to == instance);
                    };
                    break;
                case 2:
                    cluster.isBlocked = [instance](std::size_t from, std::size_t) {
                        return from == instance;
                    };
                    break;
                case 3:
                    cluster.instances[instance].isPaused = cluster.instances[instance].isRunning;
                    break;
                default:
                    cluster.start(instance);
                }
                if (cluster.instances[instance].isRunning)
                    cluster.writeTarget(
                        instance, targetRecord("target", {++epoch, 1, cluster.instances[instance].self.id}));
                cluster.run(*rc::gen::inRange(1, 10) * 1s);
            }
            cluster.isBlocked = [](std::size_t, std::size_t) { return false; };
            cluster.faults = {};
            for (FakeInstance &instance : cluster.instances)
                instance.isPaused = false;
            cluster.run(20s);
            RC_ASSERT(cluster.isConverged());
            RC_ASSERT(cluster.versionRegressions == 0U);
            for (FakeInstance const &instance : cluster.instances)
                RC_ASSERT(instance.controller->canDispatch(cluster.now));
        });
    }

    // Guards against running members that are declared dead because the network loses, duplicates and delays
    // messages.
    void healthyMembersAreNotDeclaredDead()
    {
        checkProperty("healthy members are not declared dead", [] {
            ConvergedCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            cluster.faults = {.loss = 0.1, .duplication = 0.1, .maxDelay = 50ms};
            cluster.run(30s);
            RC_ASSERT(cluster.countEvents(Event::MemberDead) == 0U);
        });
    }

    // Guards against a member that is suspected because one path to it is blocked while others work.
    void indirectProbesPreventSuspicion()
    {
        ConvergedCluster cluster(1);
        cluster.isBlocked = [](std::size_t from, std::size_t to) { return from + to == 1; };
        cluster.run(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.countEvents(Event::MemberSuspected));
    }

    // Guards against two dispatchers of one target: the lease of an isolated instance must have expired when
    // the first other instance declares it dead. It may hold a lease again only after it considers itself the
    // last instance of its failure domain, which docs/design.md allows.
    void leaseExpiresBeforeTakeover()
    {
        checkProperty("the lease expires before others take over", [] {
            ConvergedCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            auto const instance = *rc::gen::inRange<std::size_t>(0, instanceCount);
            cluster.run(*rc::gen::inRange(0, 20) * 100ms);
            cluster.isBlocked = [instance](std::size_t from, std::size_t to) {
                return (from == instance) != (to == instance);
            };
            bool isDeclaredDead = false;
            cluster.afterStep = [&] {
                for (std::size_t other = 0; other < instanceCount; ++other) {
                    if (isDeclaredDead || !cluster.sees(other, instance, MemberState::Dead))
                        continue;
                    isDeclaredDead = true;
                    bool const isLast =
                        cluster.sees(instance, (instance + 2) % instanceCount, MemberState::Dead)
                        && cluster.sees(instance, (instance + 4) % instanceCount, MemberState::Dead);
                    auto const &isolated = cluster.instances[instance];
                    RC_ASSERT(isLast || !isolated.controller->canDispatch(cluster.now));
                    RC_ASSERT(isLast || isolated.blackboard->ownStatus.read()->lease == LeaseState::Expired);
                }
            };
            cluster.run(10s);
            RC_ASSERT(isDeclaredDead);
        });
    }

    // Guards against a failure domain that stops serving because it is partitioned, and against members that
    // stay dead after a partition that lasted longer than all timeouts, whether or not records can be
    // fetched.
    void bothSidesOfPartitionServe()
    {
        this->checkPartition([](FakeCluster &) {});
        this->checkPartition([](FakeCluster &cluster) { cluster.isFetchPossible = false; });
    }

    void checkPartition(std::function<void(FakeCluster &)> const &prepare)
    {
        ConvergedCluster cluster(2);
        prepare(cluster);
        cluster.isBlocked = [](std::size_t from, std::size_t to) { return isEven(from) != isEven(to); };
        cluster.run(20s);
        CPPUNIT_ASSERT(cluster.sees(0, 1, MemberState::Dead));
        for (FakeInstance const &instance : cluster.instances)
            CPPUNIT_ASSERT(instance.controller->canDispatch(cluster.now));
        cluster.isBlocked = [](std::size_t, std::size_t) { return false; };
        cluster.run(15s);
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against other instances that are declared dead because an instance that returns from isolation
    // considers them dead.
    void othersStayAliveWhenInstanceReturns()
    {
        checkProperty("no other instance is declared dead when an isolated one returns", [] {
            ConvergedCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
            auto const isolation = *rc::gen::inRange(2, 20) * 1s;
            cluster.isBlocked = [](std::size_t from, std::size_t to) { return (from == 0) != (to == 0); };
            cluster.run(isolation);
            RC_ASSERT(isolation < 8s || cluster.sees(0, 1, MemberState::Dead));
            cluster.isBlocked = [](std::size_t, std::size_t) { return false; };
            for (FakeInstance &instance : cluster.instances)
                instance.events.clear();
            cluster.run(20s);
            for (std::size_t observer = 1; observer < instanceCount; ++observer) {
                for (auto const &[event, name] : cluster.instances[observer].events)
                    RC_ASSERT(event != Event::MemberDead || name == "node-0");
            }
            RC_ASSERT(cluster.isConverged());
        });
    }

    // Guards against a process that keeps its old lease after a pause, either until its first tick or because
    // of messages that waited in its socket.
    void pausedProcessLosesItsLease()
    {
        ConvergedCluster cluster(3);
        auto &instance = cluster.instances[2];
        CPPUNIT_ASSERT(instance.controller->canDispatch(cluster.now));
        auto const incarnation = instance.blackboard->ownStatus.read()->self.incarnation;
        instance.isPaused = true;
        cluster.run(1500ms);
        CPPUNIT_ASSERT(!instance.controller->canDispatch(cluster.now));
        instance.isPaused = false;
        auto const &other = cluster.instances[0].self;
        instance.controller->handlePeerMessage(other.id, other.peerEndpoint, Ping{}, cluster.now);
        CPPUNIT_ASSERT(instance.blackboard->ownStatus.read()->self.incarnation > incarnation);
        CPPUNIT_ASSERT(instance.blackboard->ownStatus.read()->lease == LeaseState::Expired);
        CPPUNIT_ASSERT(instance.blackboard->ownStatus.read()->phase == InstancePhase::Joining);
        CPPUNIT_ASSERT(!instance.controller->canDispatch(cluster.now));
        cluster.run(5s);
        CPPUNIT_ASSERT(instance.controller->canDispatch(cluster.now));
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against a planned stop that is handled as a failure and takes the time of failure detection.
    void leavingMemberIsNotSuspected()
    {
        ConvergedCluster cluster(4);
        cluster.instances[5].controller->leave(cluster.now);
        cluster.run(1s);
        for (std::size_t observer = 0; observer < instanceCount; ++observer)
            CPPUNIT_ASSERT(cluster.sees(observer, 5, MemberState::Leaving));
        cluster.stop(5);
        cluster.run(8s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.countEvents(Event::MemberSuspected));
    }

    // Guards against an instance that never starts to serve because all seeds are down.
    void isolatedInstanceServes()
    {
        FakeCluster cluster(instanceCount, domainCount, 5);
        cluster.start(3);
        cluster.run(1900ms);
        CPPUNIT_ASSERT(!cluster.instances[3].controller->canDispatch(cluster.now));
        cluster.run(200ms);
        CPPUNIT_ASSERT(cluster.instances[3].controller->canDispatch(cluster.now));
    }

    // Guards against an instance that continues to send to failure domains that may have been taken out of
    // service, and against contact ages of unreachable control instances that peers keep renewing for each
    // other.
    void majorityContactExpires()
    {
        checkProperty("majority contact expires in time", [] {
            ConvergedCluster cluster(*rc::gen::arbitrary<std::uint64_t>(),
                                     {.controlInstances = {"node-0", "node-1", "node-2"}});
            auto const statusOf = [&](std::size_t instance) {
                return cluster.instances[instance].blackboard->ownStatus.read()->majorityContact;
            };
            cluster.faults.maxDelay = *rc::gen::element<Duration>(2ms, 250ms);
            cluster.afterStep = [&] {
                for (std::size_t instance = 0; instance < instanceCount; ++instance)
                    RC_ASSERT(statusOf(instance) == MajorityContact::Recent);
            };
            cluster.run(20s);
            cluster.afterStep = [] {};
            // Instances 2 to 5 reach only one of the three control instances, which is no majority.
            cluster.isBlocked = [](std::size_t from, std::size_t to) { return (from < 2) != (to < 2); };
            cluster.run(majorityContactTimeout + 300ms);
            for (std::size_t instance = 2; instance < instanceCount; ++instance)
                RC_ASSERT(statusOf(instance) == MajorityContact::Lost);
            RC_ASSERT(statusOf(0) == MajorityContact::Recent);
        });
    }

    // Guards against a dispatcher whose record is replaced by a late record of its predecessor, and against
    // two owners that keep using the same epoch.
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

    // Guards against membership messages that exceed a datagram while many records change at once, and
    // against updates that are never sent.
    void messagesStayBelowSizeLimit()
    {
        ConvergedCluster cluster(6);
        constexpr int targetCount = 200;
        for (int index = 0; index < targetCount; ++index)
            cluster.writeTarget(0, targetRecord("target-" + std::to_string(index), {1, 1, InstanceId{1}}));
        cluster.run(40s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT(cluster.maxRecordBytes > maxRecordBytesPerMessage / 2);
        CPPUNIT_ASSERT(cluster.maxRecordBytes <= maxRecordBytesPerMessage);
    }

    // Guards against a record that stays missing on other instances because all its updates were lost.
    void missedUpdateIsFetched()
    {
        ConvergedCluster cluster(7);
        auto const target = targetRecord("target", {1, 1, InstanceId{1}});
        cluster.instances[0].blackboard->targets.update(target.id,
                                                        [&](auto const &) { return std::optional(target); });
        cluster.run(15s);
        CPPUNIT_ASSERT(cluster.isConverged());
    }

    // Guards against a fetch of all records after each change: neither a difference while updates are still
    // in flight nor one that the peer does not confirm may cause a fetch.
    void fetchNeedsConfirmedDifference()
    {
        InstanceId const peer{1};
        auto const begin = Timestamp(100s);
        auto const normal = FetchUrgency::Normal;
        auto state = updatePeerDigest({}, peer, 10, 20, begin);
        CPPUNIT_ASSERT(peerToFetch(state, FetchUrgency::Immediate, begin) == peer);
        CPPUNIT_ASSERT(!peerToFetch(state, normal, begin + 5s));
        CPPUNIT_ASSERT(!peerToPing(state, begin + 1s));
        CPPUNIT_ASSERT(peerToPing(state, begin + 3s) == peer);
        CPPUNIT_ASSERT(!peerToPing(stateAfterPing(state, begin + 3s), begin + 3500ms));
        CPPUNIT_ASSERT(!updatePeerDigest(state, peer, 20, 20, begin + 3s).difference);
        CPPUNIT_ASSERT(!updateOwnDigest(state, 10, begin + 3s).difference);
        CPPUNIT_ASSERT(!peerToFetch(updatePeerDigest(state, peer, 10, 21, begin + 3s), normal, begin + 3s));
        CPPUNIT_ASSERT(!peerToFetch(updatePeerDigest(state, peer, 11, 20, begin + 3s), normal, begin + 3s));
        state = updatePeerDigest(state, peer, 10, 20, begin + 3s);
        CPPUNIT_ASSERT(peerToFetch(state, normal, begin + 3s) == peer);
        // The next fetch waits for the backoff, which grows unless this fetch brings new records.
        state = stateAfterFetch(state, begin + 3s);
        state = updatePeerDigest(state, peer, 10, 20, begin + 3s);
        CPPUNIT_ASSERT(!peerToFetch(state, FetchUrgency::Immediate, begin + 3s));
        CPPUNIT_ASSERT(state.fetchBackoff > minFetchBackoff);
        CPPUNIT_ASSERT(stateAfterFetchResult(state, FetchResult::NewRecords).fetchBackoff == minFetchBackoff);
    }

    // Guards against an instance that loses majority contact although one of its peers has it. That would be
    // common, because each instance can probe only few control instances.
    void controlContactsAreShared()
    {
        ConvergedCluster cluster(8, {.controlInstances = {"node-0", "node-1", "node-2"}});
        cluster.isBlocked = [](std::size_t from, std::size_t to) {
            return std::min(from, to) < 2 && std::max(from, to) > 2;
        };
        cluster.afterStep = [&] {
            for (FakeInstance const &instance : cluster.instances)
                CPPUNIT_ASSERT(instance.blackboard->ownStatus.read()->majorityContact
                               == MajorityContact::Recent);
        };
        cluster.run(20s);
    }

    // Guards against a running member that is declared dead because its refutation does not arrive through
    // gossip before the suspicion timeout.
    void suspectIsPingedBeforeTimeout()
    {
        FakeCluster cluster(30, 1, 9);
        cluster.startAll();
        cluster.run(10s);
        auto suspected = cluster.instances[20].blackboard->ownStatus.read()->self;
        suspected.state = MemberState::Suspect;
        Ping ping;
        ping.gossip.members = {suspected};
        // Only the suspected member and the one that has received the suspicion can reach each other.
        cluster.isBlocked = [](std::size_t from, std::size_t to) {
            return from + to != 30 || from % 10 != 0;
        };
        auto const &sender = cluster.instances[0].self;
        cluster.instances[10].controller->handlePeerMessage(sender.id, sender.peerEndpoint, ping,
                                                            cluster.now);
        CPPUNIT_ASSERT(cluster.sees(10, 20, MemberState::Suspect));
        cluster.run(suspicionTimeout + 500ms);
        CPPUNIT_ASSERT(cluster.sees(10, 20, MemberState::Alive));
    }

    // Guards against a joining instance that gossips the records of a large fetch again, and against members
    // that are marked dead because of a fetched record, without a probe.
    void fetchedRecordsAreNotGossipedAgain()
    {
        ConvergedCluster cluster(10);
        for (std::size_t index = 0; index < 2 * maxFetchedRecordsToGossip; ++index)
            cluster.writeTarget(0, targetRecord("target-" + std::to_string(index), {1, 1, InstanceId{1}}));
        cluster.run(40s);
        cluster.start(5);
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.isConverged());
        CPPUNIT_ASSERT(cluster.instances[5].controller->counters().targetRecords < maxFetchedRecordsToGossip);
        auto dead = cluster.instances[1].blackboard->ownStatus.read()->self;
        dead.state = MemberState::Dead;
        cluster.instances[0].controller->mergeRecords(std::vector{dead}, {}, cluster.now);
        CPPUNIT_ASSERT(cluster.sees(0, 1, MemberState::Alive));
    }

    // Guards against data races between the threads that call the controller. The sanitizer builds detect
    // them.
    void concurrentCallsKeepAllMembers()
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
