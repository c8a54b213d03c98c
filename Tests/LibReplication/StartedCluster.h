// Shared by the tests of the replicated log: a running cluster and checks of its state.

#pragma once

#include "ReplicationCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>
#include <utility>

namespace almondwing {

// Settings with VoterAdmission::AnyInstance and the timeouts of almondwing-node.
inline ReplicationSettings anyInstanceSettings()
{
    ReplicationSettings settings = ReplicationCluster::testSettings();
    settings.admission = VoterAdmission::AnyInstance;
    settings.heartbeatInterval = 100ms;
    settings.minElectionTimeout = 400ms;
    settings.maxElectionTimeout = 800ms;
    settings.joinInterval = 250ms;
    return settings;
}

inline std::size_t otherThan(std::size_t first, std::size_t second = 99)
{
    std::size_t index = 0; // Becomes the lowest index of another replica.
    while (index == first || index == second)
        ++index;
    return index;
}

// A cluster that has committed its first command.
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

inline void requireNoViolations(ReplicationCluster const &cluster)
{
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         cluster.violations.empty() ? std::string() : cluster.violations.front());
}

inline void requireRecovered(ReplicationCluster &cluster)
{
    CPPUNIT_ASSERT(cluster.commitOne());
    CPPUNIT_ASSERT(cluster.waitUntil([&] { return cluster.hasConverged(); }));
    requireNoViolations(cluster);
}

} // namespace almondwing
