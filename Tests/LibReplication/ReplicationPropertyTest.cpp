// Property tests of the replicated log under random faults of the network, the processes and the disks.

#include "StartedCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

namespace {

// One random action: its kind (see applyAction()), the number of the replica that it affects, and a parameter
// whose meaning depends on the kind.
struct Action
{
    std::uint8_t kind = 0;
    std::uint8_t node = 0;
    std::uint8_t amount = 0;
};

std::ostream &operator<<(std::ostream &stream, Action const &action)
{
    return stream << '{' << int{action.kind} << ", " << int{action.node} << ", " << int{action.amount} << '}';
}

rc::Gen<std::vector<Action>> actionLists()
{
    auto const action =
        rc::gen::construct<Action>(rc::gen::inRange<std::uint8_t>(0, 16), rc::gen::arbitrary<std::uint8_t>(),
                                   rc::gen::arbitrary<std::uint8_t>());
    return rc::gen::resize(120, rc::gen::container<std::vector<Action>>(action));
}

void splitPartitions(ReplicationCluster &cluster, unsigned pattern)
{
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index)
        cluster.nodes[index].partition = static_cast<int>((pattern >> index) & 1U);
}

void applyAction(ReplicationCluster &cluster, Action const &action)
{
    std::size_t const index = action.node % cluster.nodes.size();
    auto &node = cluster.nodes[index];
    switch (action.kind) {
    case 0: // Isolates one replica.
        node.partition = 1 + static_cast<int>(index);
        break;
    case 1: // Splits the network into two partitions.
        splitPartitions(cluster, action.amount);
        break;
    case 2: // Removes all partitions.
        splitPartitions(cluster, 0);
        break;
    case 3: // Ends the process at one of its next disk operations.
        node.disk.failAfter(1 + action.amount % 12U);
        break;
    case 4: // Interrupts the power.
        cluster.losePower(index);
        break;
    case 5: // Replaces the disk, if enough voters keep theirs.
        if (cluster.canLoseDisk(index))
            cluster.wipe(index);
        break;
    case 6: // Loses, duplicates and delays messages.
        cluster.faults = LinkFaults{.lossPercent = action.amount % 40U,
                                    .duplicatePercent = action.node % 30U,
                                    .maxDelay = 20ms * (action.amount % 50)};
        break;
    case 7: // Ends all faults.
        cluster.heal();
        break;
    case 8:
    case 9: // Starts the process.
        cluster.start(index);
        break;
    case 10:
        cluster.startRead(cluster.leader().value_or(index));
        break;
    default: // Proposes up to 4 commands: kinds 11 and 12 to any replica, the others to the leader.
        for (unsigned count = action.amount % 4U + 1; count > 0; --count)
            cluster.propose(action.kind < 13 ? index : cluster.leader().value_or(index));
    }
    cluster.run(50ms * (action.amount % 64));
}

void checkViolations(ReplicationCluster const &cluster)
{
    if (!cluster.violations.empty())
        RC_FAIL(cluster.violations.front());
    for (auto const &node : cluster.nodes) {
        if (!node.storageError.empty())
            RC_FAIL(node.storageError);
    }
}

void checkRandomFaults(std::size_t size, ReplicationSettings const &settings)
{
    ReplicationCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>(), settings);
    for (Action const &action : *actionLists()) {
        applyAction(cluster, action);
        checkViolations(cluster);
    }
    cluster.heal();
    RC_ASSERT(cluster.commitOne());
    RC_ASSERT(cluster.waitUntil([&] { return cluster.hasConverged(); }));
    checkViolations(cluster);
    for (std::string const &command : cluster.acknowledged)
        RC_ASSERT(std::ranges::find(cluster.committed, command) != cluster.committed.end());
    RC_CLASSIFY(cluster.acknowledged.size() > 10, "more than 10 changes");
    RC_CLASSIFY(cluster.readsConfirmed > 0, "with reads");
    RC_CLASSIFY(cluster.hasReported(Event::SnapshotInstalled), "with snapshots installed");
    RC_CLASSIFY(cluster.hasReported(Event::ReplicaMembershipChanged), "with membership changes");
    RC_CLASSIFY(cluster.hasReported(Event::TornRecordCut), "with torn records");
}

} // namespace

class ReplicationPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationPropertyTest);
    CPPUNIT_TEST(threeReplicasAgreeOnTheLog);
    CPPUNIT_TEST(fiveReplicasAgreeOnTheLog);
    CPPUNIT_TEST(replicasAgreeWithAnyInstanceAdmission);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost, reordered or reverted changes, two leaders in one term, and a log that makes no
    // progress after all faults have ended.
    void threeReplicasAgreeOnTheLog()
    {
        CPPUNIT_ASSERT(rc::check("three replicas agree on the log",
                                 [] { checkRandomFaults(3, ReplicationCluster::testSettings()); }));
    }

    // Covers five replicas, of which two may be lost, so that two faults of the same kind can overlap.
    void fiveReplicasAgreeOnTheLog()
    {
        CPPUNIT_ASSERT(rc::check("five replicas agree on the log",
                                 [] { checkRandomFaults(5, ReplicationCluster::testSettings()); }));
    }

    // Covers VoterAdmission::AnyInstance, where silent voters are removed and every instance that asks is
    // admitted again, even with an empty disk.
    void replicasAgreeWithAnyInstanceAdmission()
    {
        CPPUNIT_ASSERT(rc::check("five replicas agree on the log when it admits any instance",
                                 [] { checkRandomFaults(5, anyInstanceSettings()); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationPropertyTest);

} // namespace almondwing
