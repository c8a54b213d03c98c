// Tests the synchronization of the registry between control instances.

#include "NodeFixture.h"

#include <LibNode/RegistrySync.h>
#include <absl/cleanup/cleanup.h>

#include <algorithm>
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

} // namespace

class RegistrySyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrySyncTest);
    CPPUNIT_TEST(largeRegistryIsSentInParts);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrySyncTest);

} // namespace almondwing
