// Tests the synchronization of the registry between control instances.

#include "NodeFixture.h"

#include <LibNode/RegistrySync.h>
#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

namespace almondwing {

namespace {

// A control instance that records the targets it receives.
struct FakePeer
{
    void handle(HttpRequest const &request, HttpResponder const &respond)
    {
        auto const exchange = parseRegistryExchange(request.body, IoRuntime::now());
        {
            std::scoped_lock const lock(this->mutex);
            this->maxExchangeSize = std::max(this->maxExchangeSize, exchange->targets.size());
            for (RegisteredTarget const &target : exchange->targets)
                this->received.insert(target.number);
        }
        respond(HttpResponse{.body = formatRegistryExchangeReply(RegistryExchangeReply{.bootId = 5})});
    }

    std::mutex mutex; // Guards the members below.
    std::size_t maxExchangeSize = 0;
    std::set<TargetNumber> received;
};

// The registry of one process of a control instance and its synchronization.
struct SyncedRegistry
{
    SyncedRegistry(IoRuntime &runtime, Endpoint self, std::uint64_t bootId)
        : registrySync(runtime,
                       RegistrySyncSettings{.self = self, .failureDomain = "dar-a", .bootId = bootId},
                       this->registry, this->directory, this->activity, [this] { return this->flows.read(); })
    {
    }

    void handle(HttpRequest const &request, HttpResponder const &respond)
    {
        auto const exchange = parseRegistryExchange(request.body, IoRuntime::now());
        RegistryExchangeReply const reply = this->registrySync.handle(*exchange, IoRuntime::now());
        ++this->handledExchanges;
        respond(HttpResponse{.body = formatRegistryExchangeReply(reply)});
    }

    // Waits until the live peers have confirmed all changes.
    void waitUntilSynced()
    {
        std::promise<std::size_t> holders;
        this->registrySync.whenSynced(
            IoRuntime::now() + hangLimit,
            [&holders](RegistrySync::SyncResult const &result) { holders.set_value(result.holders); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, valueOf(holders.get_future()));
    }

    RegisteredState stateOf(TargetNumber number) const { return this->registry.find(number)->state; }

    TargetRegistry registry{RegistrySettings{}};
    PeerDirectory directory;
    ActivityBlackboard activity;
    Cell<GroupFlows> flows;
    RegistrySync registrySync;
    std::atomic<int> handledExchanges{0};
};

RegisteredTarget report(std::uint64_t sequence, RegisteredState state)
{
    return RegisteredTarget{.number = TargetNumber{7},
                            .service = "orders",
                            .failureDomain = "dar-a",
                            .endpoint = Endpoint{.address = 0x0a800001, .port = 8080},
                            .state = state,
                            .reportVersion =
                                ReportVersion{.startUnixMilliseconds = 100, .sequence = sequence},
                            .lastSeenAt = IoRuntime::now()};
}

} // namespace

class RegistrySyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrySyncTest);
    CPPUNIT_TEST(largeRegistryIsSentInParts);
    CPPUNIT_TEST(heartbeatForFormerProcessKeepsOutdatedRecordReplaceable);
    CPPUNIT_TEST_SUITE_END();

    // Guards against calls that can't be answered in time after a restart of all control instances: each
    // sends thousands of targets to all others, and no leader can be elected meanwhile.
    void largeRegistryIsSentInParts()
    {
        constexpr std::size_t targetCount = 1100;
        constexpr std::size_t maxPartSize = 250;
        FakePeer peer;
        TargetRegistry registry(RegistrySettings{});
        PeerDirectory directory;
        ActivityBlackboard activity;
        Cell<GroupFlows> const flows;
        RunningRuntime running;
        auto const server = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&peer](HttpRequest const &request, HttpResponder const &respond) {
                peer.handle(request, respond);
            }});
        CPPUNIT_ASSERT(server.ok());
        Timestamp const now = IoRuntime::now();
        for (std::size_t index = 1; index <= targetCount; ++index)
            registry.merge(
                RegisteredTarget{
                    .number = TargetNumber{index},
                    .service = "orders",
                    .failureDomain = "dar-a",
                    .endpoint = Endpoint{.address = 0x0a000001, .port = static_cast<std::uint16_t>(index)},
                    .reportVersion = ReportVersion{.startUnixMilliseconds = 1, .sequence = 1},
                    .lastSeenAt = now},
                now);
        directory.recordContact((*server)->localEndpoint(), "dar-b", now);
        RegistrySync registrySync(running.runtime,
                                  RegistrySyncSettings{.self = Endpoint{.address = 0x0a000002, .port = 9000},
                                                       .failureDomain = "dar-a",
                                                       .bootId = 4},
                                  registry, directory, activity, [&flows] { return flows.read(); });
        absl::Cleanup const stop = [&running] { running.stop(); };
        registrySync.sync(now);
        NodeFixture::waitUntil("the peer has all targets", [&] {
            std::scoped_lock const lock(peer.mutex);
            return peer.received.size() == targetCount;
        });
        std::scoped_lock const lock(peer.mutex);
        CPPUNIT_ASSERT(peer.maxExchangeSize <= maxPartSize);
    }

    // Guards against new flows at a draining target: a restarted control instance has loaded the target as
    // ready, and a heartbeat meant for its former process keeps it from taking the record with the drain.
    void heartbeatForFormerProcessKeepsOutdatedRecordReplaceable()
    {
        TargetNumber const number = report(1, RegisteredState::Ready).number;
        Endpoint const senderEndpoint{.address = 0x0a000002, .port = 9000};
        RunningRuntime running;
        Cell<std::shared_ptr<SyncedRegistry>> receiver;
        auto const server = HttpServer::open(
            running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [&receiver](HttpRequest const &request, HttpResponder const &respond) {
                (*receiver.read())->handle(request, respond);
            }});
        CPPUNIT_ASSERT(server.ok());
        Endpoint const receiverEndpoint = (*server)->localEndpoint();
        auto const startReceiver = [&](std::uint64_t bootId) {
            auto process = std::make_shared<SyncedRegistry>(running.runtime, receiverEndpoint, bootId);
            process->registry.merge(report(1, RegisteredState::Ready), IoRuntime::now());
            receiver.update([&process](auto const &) { return process; });
            return process;
        };
        SyncedRegistry sender(running.runtime, senderEndpoint, 4);
        absl::Cleanup const stop = [&running] { running.stop(); };
        sender.directory.recordContact(receiverEndpoint, "dar-b", IoRuntime::now());

        auto const former = startReceiver(5);
        sender.registry.merge(report(2, RegisteredState::Draining), IoRuntime::now());
        sender.waitUntilSynced();
        CPPUNIT_ASSERT(former->stateOf(number) == RegisteredState::Draining);

        auto const restarted = startReceiver(6);
        sender.registry.merge(report(3, RegisteredState::Draining), IoRuntime::now());
        sender.registrySync.sync(IoRuntime::now() + RegistrySyncSettings{}.heartbeatRoundInterval);
        NodeFixture::waitUntil("the restarted process has the heartbeats and then the full registry",
                               [&] { return restarted->handledExchanges >= 2; });
        CPPUNIT_ASSERT(restarted->stateOf(number) == RegisteredState::Draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, restarted->registry.find(number)->reportVersion.sequence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrySyncTest);

} // namespace almondwing
