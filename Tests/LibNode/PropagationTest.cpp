// Tests the propagation of the registry and the view to control instances and entries.

#include "NodeFixture.h"

#include <algorithm>

namespace almondwing {

namespace {

ViewReply viewAt(NodeFixture &fixture, std::size_t control)
{
    HttpResponse const response = fixture.call(
        control, "/v1/view", formatViewRequest(ViewRequest{.instance = "entry", .failureDomain = "dar-a"}));
    auto const reply = parseViewReply(response.body, Timestamp{1h});
    CPPUNIT_ASSERT(reply.ok());
    return *reply;
}

} // namespace

class PropagationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PropagationTest);
    CPPUNIT_TEST(drainIsAcknowledgedByMajority);
    CPPUNIT_TEST(drainIsRefusedWithoutMajority);
    CPPUNIT_TEST(repeatedDrainIsRefusedWithoutMajority);
    CPPUNIT_TEST(newProcessReceivesWholeRegistry);
    CPPUNIT_TEST(heartbeatForUndefinedServiceEndsNoTarget);
    CPPUNIT_TEST(ignoredDrainIsNotStored);
    CPPUNIT_TEST(reportOfUnknownDomainIsRefusedAndCounted);
    CPPUNIT_TEST(unchangedViewReplyIsEmpty);
    CPPUNIT_TEST(invalidInputIsRejected);
    CPPUNIT_TEST_SUITE_END();

    static RegisteredState stateAt(NodeFixture &fixture, std::size_t control, std::uint64_t number)
    {
        for (RegisteredTarget const &target : viewAt(fixture, control).targets) {
            if (target.number == TargetNumber{number})
                return target.state;
        }
        return RegisteredState::Gone;
    }

    // Guards against an acknowledged drain that is lost with the instance that acknowledged it.
    void drainIsAcknowledgedByMajority()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready)).isSuccess());
        NodeFixture::waitUntil("the other instances have the target", [&] {
            return stateAt(fixture, 1, 7) == RegisteredState::Ready
                && stateAt(fixture, 2, 7) == RegisteredState::Ready;
        });
        NodeFixture::waitUntil("the drain is acknowledged", [&] {
            return fixture.call(0, "/heartbeat", heartbeat(7, 2, RegisteredState::Draining)).isSuccess();
        });
        int holders = 0;
        for (std::size_t control = 0; control < 3; ++control)
            holders += stateAt(fixture, control, 7) == RegisteredState::Draining ? 1 : 0;
        CPPUNIT_ASSERT(holders >= 2);
    }

    void drainIsRefusedWithoutMajority()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
        NodeFixture::waitUntil("the other instances have the target",
                               [&] { return stateAt(fixture, 2, 7) == RegisteredState::Ready; });
        fixture.stopControlInstance(1);
        fixture.stopControlInstance(2);
        HttpResponse const response =
            fixture.call(0, "/heartbeat", heartbeat(7, 2, RegisteredState::Draining));
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
    }

    // Guards against an acknowledgement of a repeated drain, or of a leave, that no other instance has
    // received. The other instances may no longer count as alive, but they are still voters.
    void repeatedDrainIsRefusedWithoutMajority()
    {
        NodeFixture fixture(3);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
        NodeFixture::waitUntil("the other instances have the target",
                               [&] { return stateAt(fixture, 2, 7) == RegisteredState::Ready; });
        fixture.stopControlInstance(1);
        fixture.stopControlInstance(2);
        for (std::uint64_t sequence = 2; sequence < 5; ++sequence) {
            HttpResponse const response =
                fixture.call(0, "/heartbeat", heartbeat(7, sequence, RegisteredState::Draining));
            CPPUNIT_ASSERT_EQUAL(503U, response.status);
        }
        for (int attempt = 0; attempt < 2; ++attempt)
            CPPUNIT_ASSERT_EQUAL(503U, fixture.call(0, "/leave", "7").status);
    }

    void newProcessReceivesWholeRegistry()
    {
        NodeFixture fixture(3);
        fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
        NodeFixture::waitUntil("the other instances have the target",
                               [&] { return stateAt(fixture, 2, 7) == RegisteredState::Ready; });
        fixture.stopControlInstance(2);
        fixture.startControlInstance(2, false);
        NodeFixture::waitUntil("the new process has the target",
                               [&] { return stateAt(fixture, 2, 7) == RegisteredState::Ready; });
    }

    // Guards against the end of a living target because of a heartbeat of another writer: it names a service
    // that the configuration does not define, and the endpoint or the number of the living target.
    void heartbeatForUndefinedServiceEndsNoTarget()
    {
        NodeFixture fixture(1);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
        RegisteredTarget foreign = foreignReport(8, RegisteredState::Ready);
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeatOf(foreign)).isSuccess());
        CPPUNIT_ASSERT(stateAt(fixture, 0, 7) == RegisteredState::Ready);

        RegisteredTarget sameNumber = foreign;
        sameNumber.number = TargetNumber{7};
        sameNumber.endpoint.port = 8081;
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeatOf(sameNumber)).isSuccess());
        auto const targets = viewAt(fixture, 0).targets;
        auto const living = std::ranges::find(targets, TargetNumber{7}, &RegisteredTarget::number);
        CPPUNIT_ASSERT(living->service == "orders" && living->endpoint.port == 8080);

        // Once the configuration defines the service, the later start at the endpoint counts.
        fixture.callUntilSuccess("/replace", "4 198.18.0.1:443 audit");
        ++foreign.reportVersion.sequence;
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeatOf(foreign)).isSuccess());
        CPPUNIT_ASSERT(stateAt(fixture, 0, 7) == RegisteredState::Gone);
    }

    // Guards against a living target that drains after a restart of its control instance, because the drain
    // of another writer, which the registry has ignored, was written to the disk.
    void ignoredDrainIsNotStored()
    {
        NodeFixture fixture(1);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        fixture.call(0, "/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
        RegisteredTarget const foreign = foreignReport(7, RegisteredState::Draining);
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeatOf(foreign)).isSuccess());
        CPPUNIT_ASSERT(stateAt(fixture, 0, 7) == RegisteredState::Ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.events.count(Event::EndAnswered));
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeat(7, 2, RegisteredState::Draining)).isSuccess());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.events.count(Event::EndAnswered));
    }

    // Guards against a writer of such reports that fills the log.
    void reportOfUnknownDomainIsRefusedAndCounted()
    {
        NodeFixture fixture(1);
        RegisteredTarget target = reportedTarget(7, 1, RegisteredState::Ready);
        target.failureDomain = "dar-x";
        Timestamp const begun = IoRuntime::now();
        for (int attempt = 0; attempt < 50; ++attempt)
            CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, "/heartbeat", heartbeatOf(target)).status);
        ControlServer &server = *fixture.controlInstances.front()->server;
        CPPUNIT_ASSERT(server.state().reportRefusals == (ReportRefusals{{"failure_domain", 50}}));
        auto const seconds = static_cast<std::size_t>((IoRuntime::now() - begun) / 1s);
        std::size_t const lines = fixture.events.count(Event::ReportRefused);
        CPPUNIT_ASSERT(lines >= 1 && lines <= seconds + 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.state().targets);

        // After the settings name the failure domain, its targets are used.
        server.addFailureDomains({"dar-x"});
        CPPUNIT_ASSERT(fixture.call(0, "/heartbeat", heartbeatOf(target)).isSuccess());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.state().targets);
    }

    void unchangedViewReplyIsEmpty()
    {
        NodeFixture fixture(1);
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        ViewReply const known = viewAt(fixture, 0);
        CPPUNIT_ASSERT(known.extent == RegistryExtent::Full);
        CPPUNIT_ASSERT(known.configuration && known.configuration->configuration.version == 3);
        ViewRequest const again{.instance = "entry",
                                .failureDomain = "dar-a",
                                .bootId = known.bootId,
                                .registryGeneration = known.registryGeneration,
                                .revision = known.configuration->revision};
        auto const reply =
            parseViewReply(fixture.call(0, "/v1/view", formatViewRequest(again)).body, Timestamp{1h});
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT(reply->extent == RegistryExtent::Delta);
        CPPUNIT_ASSERT(!reply->configuration && reply->targets.empty());
    }

    void invalidInputIsRejected()
    {
        NodeFixture fixture(1);
        for (char const *path : {"/v1/view", "/v1/registry", "/v1/replication", "/heartbeat"})
            CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, path, "{\"from\":").status);
        CPPUNIT_ASSERT(viewAt(fixture, 0).targets.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropagationTest);

} // namespace almondwing
