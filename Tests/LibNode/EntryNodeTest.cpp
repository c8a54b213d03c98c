// Tests of an entry between a caller and a target over loopback. The packets of the test are texts.

#include "NodeFixture.h"

#include <fmt/format.h>

#include <sstream>

namespace almondwing {

namespace {

// "open|data port token" and nothing else.
std::optional<FlowPacket> decodeTestPacket(std::string_view text)
{
    std::istringstream words{std::string(text)};
    std::string kind;
    std::uint16_t port = 0;
    std::uint32_t token = 0;
    if (!(words >> kind >> port >> token))
        return std::nullopt;
    return FlowPacket{.flow = ConnectionKey{.caller = Endpoint{.address = 0x7f000001, .port = port},
                                            .service = Endpoint{.address = 0xc6120001, .port = 443}},
                      .kind = kind == "open" ? PacketKind::Open : PacketKind::Data,
                      .token = TargetToken{token}};
}

PacketAdapter testPacketAdapter()
{
    return PacketAdapter{.decode = decodeTestPacket,
                         .encodeForward =
                             [](std::string_view packet, ForwardPacket const &decision) {
                                 return fmt::format("{}:{}:{}", decision.target.value, decision.token.value,
                                                    packet);
                             },
                         .encodeReset = [](FlowPacket const &) { return std::string("reset"); },
                         .readinessPath = "/ready"};
}

} // namespace

class EntryNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryNodeTest);
    CPPUNIT_TEST(packetsReachTheTargetAlsoThroughANewEntry);
    CPPUNIT_TEST(stoppingEntryIsNotReadyAndGoesOnForwarding);
    CPPUNIT_TEST(undecodableDatagramsAreCounted);
    CPPUNIT_TEST(logWithoutConfigurationIsFollowedToo);
    CPPUNIT_TEST_SUITE_END();

    struct Path
    {
        Path()
        {
            auto opened = UdpSocket::open(this->fixture.running.runtime, anyLoopbackPort);
            CPPUNIT_ASSERT(opened.ok());
            this->target = *opened;
            this->target->receive([this](Endpoint, std::string_view datagram) {
                std::scoped_lock const lock(this->mutex);
                this->received.emplace_back(datagram);
            });
            this->fixture.callUntilDone("/replace", "3 198.18.0.1:443 orders");
            Timestamp const now{1h};
            RegisteredTarget const record{.number = TargetNumber{7},
                                          .service = "orders",
                                          .failureDomain = "dar-a",
                                          .endpoint = this->target->localEndpoint(),
                                          .order = ReportOrder{.bornMilliseconds = 100, .sequence = 1},
                                          .heardAt = now,
                                          .coldUntil = now};
            this->fixture.callUntilDone("/heartbeat", formatTargets({record}, now));
        }

        ~Path() { this->fixture.running.stop(); }
        Path(Path const &) = delete;
        Path &operator=(Path const &) = delete;

        EntryNode &startEntry(Endpoint packets, Endpoint readiness)
        {
            this->entries.push_back(std::make_unique<EntryNode>(this->fixture.running.runtime,
                                                                NodeSettings{.instance = "entry",
                                                                             .failureDomain = "dar-a",
                                                                             .packets = packets,
                                                                             .readiness = readiness,
                                                                             .seeds = this->fixture.seeds},
                                                                testPacketAdapter(),
                                                                [](Event, std::string const &) {}));
            EntryNode &entry = *this->entries.back();
            CPPUNIT_ASSERT(entry.open().ok());
            entry.start();
            NodeFixture::waitUntil("the entry is ready", [&] { return entry.isReady(); });
            return entry;
        }

        // Sends until the target has got a datagram with this text.
        void requireDelivered(Endpoint to, std::string const &packet, std::string const &expected)
        {
            NodeFixture::waitUntil(expected.c_str(), [&] {
                this->target->send(to, packet);
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                std::scoped_lock const lock(this->mutex);
                return std::ranges::find(this->received, expected) != this->received.end();
            });
        }

        NodeFixture fixture{1};
        std::mutex mutex; // Guards received.
        std::vector<std::string> received;
        std::shared_ptr<UdpSocket> target;
        std::vector<std::unique_ptr<EntryNode>> entries;
    };

    void packetsReachTheTargetAlsoThroughANewEntry()
    {
        Path path;
        std::uint32_t const token = tokenOf(TargetNumber{7}).value;
        Endpoint const first = freeEndpointOf<boost::asio::ip::udp>();
        path.startEntry(first, freeEndpoint());
        path.requireDelivered(first, "open 1 0", fmt::format("7:{}:open 1 0", token));
        Endpoint const second = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &other = path.startEntry(second, freeEndpoint());
        std::string const data = fmt::format("data 1 {}", token);
        path.requireDelivered(second, data, fmt::format("7:{}:{}", token, data));
        CPPUNIT_ASSERT(other.counters().forwarded > 0);
    }

    void stoppingEntryIsNotReadyAndGoesOnForwarding()
    {
        Path path;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode &entry = path.startEntry(packets, freeEndpoint());
        entry.beginStop();
        CPPUNIT_ASSERT(!entry.isReady());
        path.requireDelivered(packets, "open 2 0",
                              fmt::format("7:{}:open 2 0", tokenOf(TargetNumber{7}).value));
    }

    void undecodableDatagramsAreCounted()
    {
        Path path;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode &entry = path.startEntry(packets, freeEndpoint());
        NodeFixture::waitUntil("it is counted", [&] {
            path.target->send(packets, "nonsense");
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return entry.counters().undecodable > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.counters().forwarded);
    }

    // Guards against an entry that asks again and again without a pause: a control instance answers at once
    // while the entry does not know the revision of its log, also before the first configuration.
    void logWithoutConfigurationIsFollowedToo()
    {
        NodeFixture fixture(1);
        EntryNode entry(fixture.running.runtime,
                        NodeSettings{.instance = "entry",
                                     .failureDomain = "dar-a",
                                     .packets = freeEndpointOf<boost::asio::ip::udp>(),
                                     .readiness = freeEndpoint(),
                                     .seeds = fixture.seeds},
                        testPacketAdapter(), [](Event, std::string const &) {});
        CPPUNIT_ASSERT(entry.open().ok());
        entry.start();
        NodeFixture::waitUntil("the entry knows the revision",
                               [&] { return entry.freshness().revision > 0; });
        CPPUNIT_ASSERT(!entry.isReady());
        fixture.running.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryNodeTest);

} // namespace almondwing
