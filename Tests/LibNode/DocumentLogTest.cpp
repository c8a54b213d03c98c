// Tests control instances with a replicated configuration over loopback.

#include "NodeFixture.h"

#include <LibNode/DocumentLog.h>

#include <absl/cleanup/cleanup.h>

namespace almondwing {

class DocumentLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentLogTest);
    CPPUNIT_TEST(acceptedConfigurationIsReadBack);
    CPPUNIT_TEST(acknowledgedConfigurationIsInView);
    CPPUNIT_TEST(lowerOrEqualVersionHasNoEffect);
    CPPUNIT_TEST(followersRedirectToLeader);
    CPPUNIT_TEST(minorityRefusesChangesAndReads);
    CPPUNIT_TEST(unknownFailureDomainIsRefused);
    CPPUNIT_TEST(invalidDocumentIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char const *first = "3 198.18.0.1:443 orders";

    void acceptedConfigurationIsReadBack()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", first);
        CPPUNIT_ASSERT_EQUAL(std::string(first), fixture.callUntilSuccess("/read", "").body);
    }

    // Guards against an entry that requests the view after the acknowledgement and receives the old
    // configuration.
    void acknowledgedConfigurationIsInView()
    {
        TestFolder const folder;
        RecordedEvents events;
        std::promise<std::uint64_t> versionAtAcknowledgement;
        RunningRuntime running;
        std::string const self = "198.18.0.2:9000";
        DocumentLog log(running.runtime,
                        ReplicatedLogSettings{.instance = self,
                                              .dataFolder = folder.path,
                                              .replication = {.controlInstances = {self},
                                                              .admission = VoterAdmission::AnyInstance,
                                                              .minElectionTimeout = 100ms,
                                                              .maxElectionTimeout = 200ms}},
                        DocumentLogHooks{.send = [](ReplicaEnvelope const &) {},
                                         .knownInstances = [self] { return std::vector{self}; },
                                         .mayBootstrap = [] { return true; },
                                         .parse = parseTestDocument,
                                         .changed = [](AppliedDocument const &, AppliedDocument const &) {},
                                         .report = events.reporter()});
        absl::Cleanup const stop = [&running] { running.stop(); };
        log.start();
        NodeFixture::waitUntil("the log has a leader",
                               [&] { return log.contact()->status.role == ReplicaRole::Leader; });
        log.submit(ReplaceDocument{.version = 3, .text = first}, [&](absl::Status const &status) {
            versionAtAcknowledgement.set_value(status.ok() ? log.applied()->view.configuration.version : 0);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, valueOf(versionAtAcknowledgement.get_future()));
    }

    // Guards against a configuration that replaces one of the same or a higher version.
    void lowerOrEqualVersionHasNoEffect()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", first);
        fixture.callUntilSuccess("/replace", "2 198.18.0.1:443 prints");
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 prints");
        CPPUNIT_ASSERT_EQUAL(std::string(first), fixture.callUntilSuccess("/read", "").body);
        fixture.callUntilSuccess("/replace", "9 198.18.0.1:443 prints");
        CPPUNIT_ASSERT_EQUAL(std::string("9 198.18.0.1:443 prints"),
                             fixture.callUntilSuccess("/read", "").body);
    }

    void followersRedirectToLeader()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", first);
        std::size_t leaders = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            NodeFixture::waitUntil("each instance answers or redirects", [&] {
                unsigned const status = fixture.call(index, "/read", "").status;
                leaders += status == 200 ? 1 : 0;
                return status == 200 || status == 307;
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders);
    }

    // Guards against a change that is acknowledged, or a read that is answered, without a majority.
    void minorityRefusesChangesAndReads()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", first);
        fixture.stopControlInstance(0);
        fixture.stopControlInstance(1);
        for (int attempt = 0; attempt < 20; ++attempt) {
            CPPUNIT_ASSERT(!fixture.call(2, "/replace", "9 198.18.0.1:443 prints").isSuccess());
            CPPUNIT_ASSERT(!fixture.call(2, "/read", "").isSuccess());
        }
    }

    void unknownFailureDomainIsRefused()
    {
        NodeFixture fixture(3);
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(0, "/take-out", "nowhere").status);
        fixture.callUntilSuccess("/take-out", "dar-a");
    }

    void invalidDocumentIsRefused()
    {
        NodeFixture fixture(3);
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, "/replace", "4 nowhere orders").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentLogTest);

} // namespace almondwing
