// Tests control instances with a replicated configuration over loopback.

#include "NodeFixture.h"

#include <LibNode/DocumentLog.h>

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
    CPPUNIT_TEST(invalidBytesAreRefused);
    CPPUNIT_TEST(electionLeavesRevision);
    CPPUNIT_TEST(contactExpiresDuringPause);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char const *first = "3 198.18.0.1:443 orders";

    void acceptedConfigurationIsReadBack()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", first);
        CPPUNIT_ASSERT_EQUAL(std::string(first), fixture.callUntilSuccess("/read", "").body);
    }

    // The log of a single replica.
    struct SingleReplica
    {
        ~SingleReplica() { this->running.stop(); }

        bool isLeader() const { return this->log.contact()->status.role == ReplicaRole::Leader; }

        void start()
        {
            this->log.start();
            NodeFixture::waitUntil("the log has a leader", [&] { return this->isLeader(); });
        }

        void submit(DocumentChange const &change)
        {
            std::promise<bool> accepted;
            this->log.submit(change, [&](absl::Status const &status) { accepted.set_value(status.ok()); });
            CPPUNIT_ASSERT(valueOf(accepted.get_future()));
        }

        static constexpr char const *self = "198.18.0.2:9000";
        TestFolder folder;
        RecordedEvents events;
        RunningRuntime running;
        DocumentLog log{this->running.runtime,
                        ReplicatedLogSettings{.instance = self,
                                              .dataFolder = this->folder.path,
                                              .replication = {.controlInstances = {self},
                                                              .admission = VoterAdmission::AnyInstance,
                                                              .minElectionTimeout = 100ms,
                                                              .maxElectionTimeout = 200ms}},
                        DocumentLogHooks{.send = [](ReplicaEnvelope const &) {},
                                         .knownInstances = [] { return std::vector<std::string>{self}; },
                                         .mayBootstrap = [] { return true; },
                                         .parse = parseTestDocument,
                                         .changed = [](AppliedDocument const &, AppliedDocument const &) {},
                                         .report = this->events.reporter()}};
    };

    // Guards against an entry that requests the view after the acknowledgement and receives the old
    // configuration.
    void acknowledgedConfigurationIsInView()
    {
        std::promise<std::uint64_t> versionAtAcknowledgement;
        SingleReplica replica;
        replica.start();
        replica.log.submit(ReplaceDocument{.version = 3, .text = first}, [&](absl::Status const &status) {
            versionAtAcknowledgement.set_value(status.ok() ? replica.log.applied()->view.configuration.version
                                                           : 0);
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

    // Guards against a request with bytes that are no UTF-8 that ends the process, because the text of the
    // refusal can't be encoded.
    void invalidBytesAreRefused()
    {
        NodeFixture fixture(1);
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(0, "/take-out", "\xff\xfe").status);
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, "/replace", "4 \xff\xfe orders").status);
        fixture.callUntilSuccess("/replace", first);
    }

    // Guards against entries that receive the whole configuration again after each election. With 294 entries
    // and 1,365 routes this kept the control instances so busy that the next election followed.
    void electionLeavesRevision()
    {
        SingleReplica replica;
        replica.start();
        replica.submit(ReplaceDocument{.version = 3, .text = first});
        std::uint64_t const revision = replica.log.applied()->view.revision;
        LogIndex const applied = replica.log.contact()->status.appliedIndex;
        CPPUNIT_ASSERT(revision > 0);
        replica.log.stepDown();
        NodeFixture::waitUntil("another election", [&] {
            return replica.isLeader() && replica.log.contact()->status.appliedIndex > applied;
        });
        CPPUNIT_ASSERT_EQUAL(revision, replica.log.applied()->view.revision);
        replica.submit(TakeOutFailureDomain{"dar-a"});
        CPPUNIT_ASSERT(replica.log.applied()->view.revision > revision);
    }

    // Guards against a control instance that resumes after a pause and tells entries that it is in contact
    // with a majority, or grants permits, although another leader may have been elected meanwhile.
    void contactExpiresDuringPause()
    {
        SingleReplica replica;
        replica.start();
        NodeFixture::waitUntil("the leader is in contact",
                               [&] { return replica.log.isInContact(IoRuntime::now()); });
        CPPUNIT_ASSERT(replica.log.contact()->isInContact);
        CPPUNIT_ASSERT(!replica.log.isInContact(IoRuntime::now() + 1h));
    }

    void invalidDocumentIsRefused()
    {
        NodeFixture fixture(3);
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, "/replace", "4 nowhere orders").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentLogTest);

} // namespace almondwing
