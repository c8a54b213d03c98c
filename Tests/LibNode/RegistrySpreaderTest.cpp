// Tests of what one control instance tells another of its registry.

#include "NodeFixture.h"

#include <LibNode/RegistrySpreader.h>
#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <mutex>
#include <set>

namespace almondwing {

namespace {

// Another control instance: keeps what it is told.
struct PeerStandIn
{
    void handle(HttpRequest const &request, HttpResponder const &respond)
    {
        auto const exchange = parseRegistryExchange(request.body, IoRuntime::now());
        {
            std::scoped_lock const lock(this->mutex);
            this->largestExchange = std::max(this->largestExchange, exchange->targets.size());
            for (RegisteredTarget const &target : exchange->targets)
                this->known.insert(target.number);
        }
        respond(HttpResponse{.body = formatRegistryExchangeReply(RegistryExchangeReply{.boot = 5})});
    }

    std::mutex mutex; // Guards the members below.
    std::size_t largestExchange = 0;
    std::set<TargetNumber> known;
};

} // namespace

class RegistrySpreaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrySpreaderTest);
    CPPUNIT_TEST(largeRegistryIsToldInParts);
    CPPUNIT_TEST_SUITE_END();

    // Guards against calls that can't be answered in time while all control instances start again: each tells
    // thousands of targets to all others, and no leader can be elected meanwhile.
    void largeRegistryIsToldInParts()
    {
        constexpr std::size_t targetCount = 1100;
        constexpr std::size_t largestPart = 250;
        PeerStandIn peer;
        TargetRegistry registry(RegistrySettings{});
        PeerDirectory directory;
        ActivityBoard activity;
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
        RegistrySpreader spreader(running.runtime,
                                  SpreaderSettings{.self = Endpoint{.address = 0x0a000002, .port = 9000},
                                                   .failureDomain = "dar-a",
                                                   .boot = 4},
                                  registry, directory, activity, [&flows] { return flows.read(); });
        absl::Cleanup const stop = [&running] { running.stop(); };
        spreader.spread(now);
        NodeFixture::waitUntil("the peer knows all targets", [&] {
            std::scoped_lock const lock(peer.mutex);
            return peer.known.size() == targetCount;
        });
        std::scoped_lock const lock(peer.mutex);
        CPPUNIT_ASSERT(peer.largestExchange <= largestPart);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrySpreaderTest);

} // namespace almondwing
