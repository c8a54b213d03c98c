// Tests that an instance never installs an older or invalid configuration.

#include "../LibManifest/ManifestGenerator.h"

#include <LibConfiguration/ConfigurationInstaller.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace almondwing {

namespace {

Configuration configurationOf(std::uint64_t version)
{
    return {.version = version, .manifest = makeManifest(2, 1, static_cast<std::uint32_t>(1 + version % 3))};
}

EventReporter ignoringEvents()
{
    return [](Event, std::string const &) {};
}

} // namespace

class ConfigurationInstallerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationInstallerTest);
    CPPUNIT_TEST(versionNeverDecreases);
    CPPUNIT_TEST(conflictingAndInvalidManifestsAreRefused);
    CPPUNIT_TEST(concurrentInstallsKeepTheHighestVersion);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an outdated peer from which an older configuration is installed.
    void versionNeverDecreases()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Blackboard blackboard;
            ConfigurationInstaller installer(blackboard, ignoringEvents());
            std::uint64_t highest = 0;
            for (std::uint64_t const version :
                 *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 9))) {
                InstallOutcome const outcome = installer.install(configurationOf(version));
                RC_ASSERT((outcome == InstallOutcome::Installed) == (version > highest));
                highest = std::max(highest, version);
                RC_ASSERT(*blackboard.configuration.read() == configurationOf(highest));
            }
        }));
    }

    // Guards against a different manifest of the installed version (of another cluster) and an invalid one.
    void conflictingAndInvalidManifestsAreRefused()
    {
        Blackboard blackboard;
        std::vector<Event> events;
        ConfigurationInstaller installer(
            blackboard, [&events](Event event, std::string const &) { events.push_back(event); });
        CPPUNIT_ASSERT(installer.install(configurationOf(4)) == InstallOutcome::Installed);
        Configuration other = configurationOf(4);
        other.manifest.failureDomains[0].state = FailureDomainState::TakenOut;
        CPPUNIT_ASSERT(installer.install(other) == InstallOutcome::Refused);
        Configuration invalid = configurationOf(5);
        invalid.manifest.services[0].pool = "none";
        CPPUNIT_ASSERT(installer.install(invalid) == InstallOutcome::Refused);
        CPPUNIT_ASSERT(installer.install(configurationOf(4)) == InstallOutcome::NotNewer);
        CPPUNIT_ASSERT(*blackboard.configuration.read() == configurationOf(4));
        CPPUNIT_ASSERT((events
                        == std::vector{Event::ConfigurationInForce, Event::ConfigurationRefused,
                                       Event::ConfigurationRefused}));
    }

    // Guards against two threads with replies of different peers, of which the older one is installed last.
    void concurrentInstallsKeepTheHighestVersion()
    {
        constexpr std::uint64_t versionsPerThread = 100;
        constexpr std::uint64_t threadCount = 4;
        // The validation of a large manifest gives the other threads time to write concurrently.
        Manifest const manifest = makeManifest(2, 1, 500);
        Blackboard blackboard;
        ConfigurationInstaller installer(blackboard, ignoringEvents());
        std::atomic<int> decreases = 0;
        {
            std::vector<std::jthread> threads;
            threads.reserve(threadCount);
            for (std::uint64_t thread = 0; thread < threadCount; ++thread)
                threads.emplace_back([&, thread] {
                    for (std::uint64_t count = 0; count < versionsPerThread; ++count) {
                        std::uint64_t const version = 1 + count * threadCount + thread;
                        installer.install({.version = version, .manifest = manifest});
                        decreases += blackboard.configuration.read()->version < version ? 1 : 0;
                    }
                });
        }
        CPPUNIT_ASSERT_EQUAL(0, decreases.load());
        CPPUNIT_ASSERT_EQUAL(versionsPerThread * threadCount, blackboard.configuration.read()->version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationInstallerTest);

} // namespace almondwing
