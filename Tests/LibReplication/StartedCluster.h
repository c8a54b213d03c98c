// What the tests of the replicated log share: a cluster that works, and checks of a cluster.

#pragma once

#include "ReplicationCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>
#include <utility>

namespace almondwing {

// A log that admits every instance that asks, with the times of almondwing-node.
inline ReplicationSettings openSettings()
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

inline void requireSound(ReplicationCluster const &cluster)
{
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         cluster.violations.empty() ? std::string() : cluster.violations.front());
}

inline void requireRepaired(ReplicationCluster &cluster)
{
    CPPUNIT_ASSERT(cluster.commitOne());
    CPPUNIT_ASSERT(cluster.waitUntil([&] { return cluster.hasConverged(); }));
    requireSound(cluster);
}

} // namespace almondwing
