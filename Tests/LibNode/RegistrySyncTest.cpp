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

// Longer than the simulated time of a test.
constexpr Duration farFuture = 24h;

// The registry of one process of a control instance and its synchronization. Its timeouts do not depend on
// the speed of the machine.
struct SyncedRegistry
{
    SyncedRegistry(IoRuntime &runtime, Endpoint self, std::uint64_t bootId)
        : registrySync(runtime,
                       RegistrySyncSettings{.self = self,
                                            .failureDomain = "dar-a",
                                            .bootId = bootId,
                                            .callTimeout = hangLimit,
                                            .peerTimeout = farFuture},
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
    RegisteredTarget target = reportedTarget(7, sequence, state);
    target.lastSeenAt = IoRuntime::now();
    target.coldUntil = target.lastSeenAt;
    return target;
}

// A control instance that sends its registry to another one, whose process can be restarted.
class SyncedPair
{
public:
    SyncedPair()
    {
        auto const opened = HttpServer::open(
            this->running.runtime, anyLoopbackPort,
            HttpServerHooks{.handle = [this](HttpRequest const &request, HttpResponder const &respond) {
                (*this->receiver.read())->handle(request, respond);
            }});
        CPPUNIT_ASSERT(opened.ok());
        this->server = *opened;
        this->sender = std::make_unique<SyncedRegistry>(this->running.runtime,
                                                        Endpoint{.address = 0x0a000002, .port = 9000}, 4);
        this->sender->directory.recordContact(this->server->localEndpoint(), "dar-b", IoRuntime::now());
    }
    ~SyncedPair() { this->running.stop(); }
    SyncedPair(SyncedPair const &) = delete;
    SyncedPair &operator=(SyncedPair const &) = delete;

    // The process has loaded the target as ready.
    std::shared_ptr<SyncedRegistry> startReceiver(std::uint64_t bootId)
    {
        auto process =
            std::make_shared<SyncedRegistry>(this->running.runtime, this->server->localEndpoint(), bootId);
        process->registry.merge(report(1, RegisteredState::Ready), IoRuntime::now());
        this->receiver.update([&process](auto const &) { return process; });
        return process;
    }

    // Sends heartbeat rounds, one at a time, until the condition holds. No call is under way afterwards if
    // the condition holds with the reply to a call.
    template<typename Condition>
    void syncUntil(char const *what, Condition const &condition)
    {
        NodeFixture::waitUntil(what, [&] {
            if (condition())
                return true;
            this->nextRound =
                std::max(this->nextRound, IoRuntime::now()) + RegistrySyncSettings{}.heartbeatRoundInterval;
            this->sender->registrySync.sync(this->nextRound);
            return false;
        });
    }

    void syncUntilConfirmed()
    {
        auto const isConfirmed = std::make_shared<std::atomic<bool>>(false);
        this->sender->registrySync.whenSynced(
            IoRuntime::now() + farFuture,
            [isConfirmed](RegistrySync::SyncResult const &result) { *isConfirmed = result.holders == 2; });
        this->syncUntil("the receiver has confirmed all changes", [&] { return isConfirmed->load(); });
    }

    // Sends a heartbeat and waits until the receiver has handled `exchanges` more calls.
    void sendHeartbeat(RegisteredTarget const &heartbeat, SyncedRegistry const &process, int exchanges)
    {
        this->sender->registry.merge(heartbeat, IoRuntime::now());
        int const before = process.handledExchanges;
        this->syncUntil("the receiver has handled the heartbeat",
                        [&] { return process.handledExchanges >= before + exchanges; });
    }

    RunningRuntime running;
    Cell<std::shared_ptr<SyncedRegistry>> receiver;
    std::shared_ptr<HttpServer> server;
    std::unique_ptr<SyncedRegistry> sender;
    Timestamp nextRound;
};

} // namespace

class RegistrySyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrySyncTest);
    CPPUNIT_TEST(largeRegistryIsSentInParts);
    CPPUNIT_TEST(heartbeatForFormerProcessKeepsOutdatedRecordReplaceable);
    CPPUNIT_TEST(heartbeatBringsBackExpiredTarget);
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
        SyncedPair pair;
        auto const former = pair.startReceiver(5);
        pair.sender->registry.merge(report(2, RegisteredState::Draining), IoRuntime::now());
        pair.syncUntilConfirmed();
        CPPUNIT_ASSERT(former->stateOf(number) == RegisteredState::Draining);

        auto const restarted = pair.startReceiver(6);
        // The first exchange has the heartbeat, and the second one the whole registry.
        pair.sendHeartbeat(report(3, RegisteredState::Draining), *restarted, 2);
        CPPUNIT_ASSERT(restarted->stateOf(number) == RegisteredState::Draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, restarted->registry.find(number)->reportVersion.sequence);
    }

    // Guards against a living target that a control instance never learns of again: after a partition longer
    // than the retention it has removed the record, and its peer still sends only heartbeats for it.
    void heartbeatBringsBackExpiredTarget()
    {
        TargetNumber const number = report(1, RegisteredState::Ready).number;
        SyncedPair pair;
        auto const process = pair.startReceiver(5);
        pair.sender->registry.merge(report(2, RegisteredState::Ready), IoRuntime::now());
        pair.syncUntilConfirmed();
        process->registry.removeExpired(IoRuntime::now() + RegistrySettings{}.retention + 1s);
        CPPUNIT_ASSERT(!process->registry.find(number).has_value());

        for (std::uint64_t sequence = 3; sequence < 6; ++sequence)
            pair.sendHeartbeat(report(sequence, RegisteredState::Ready), *process, 2);
        CPPUNIT_ASSERT(process->registry.find(number).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrySyncTest);

} // namespace almondwing
