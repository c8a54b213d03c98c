// Tests of single properties of the replicated log.

#include "ReplicationCluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class ReplicationCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationCoreTest);
    CPPUNIT_TEST(emptyInstancesBootstrapOnce);
    CPPUNIT_TEST_SUITE_END();

    static void requireSound(ReplicationCluster const &cluster)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             cluster.violations.empty() ? std::string() : cluster.violations.front());
    }

    // Guards against a first start that never elects a leader.
    void emptyInstancesBootstrapOnce()
    {
        ReplicationCluster cluster(3, 1);
        CPPUNIT_ASSERT(cluster.commitOne());
        cluster.run(5s);
        CPPUNIT_ASSERT(cluster.hasConverged());
        requireSound(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationCoreTest);

} // namespace almondwing
