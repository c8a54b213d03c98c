// Tests of an entry between a caller and a target over loopback. The packets of the test are texts.

#include "EntryPath.h"

namespace almondwing {

class EntryNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryNodeTest);
    CPPUNIT_TEST(packetsReachTheTargetAlsoThroughANewEntry);
    CPPUNIT_TEST(stoppingEntryIsNotReadyAndGoesOnForwarding);
    CPPUNIT_TEST(undecodableDatagramsAreCounted);
    CPPUNIT_TEST(logWithoutConfigurationIsFollowedToo);
    CPPUNIT_TEST_SUITE_END();

    void packetsReachTheTargetAlsoThroughANewEntry()
    {
        EntryPath path;
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
        EntryPath path;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode &entry = path.startEntry(packets, freeEndpoint());
        entry.beginStop();
        CPPUNIT_ASSERT(!entry.isReady());
        path.requireDelivered(packets, "open 2 0",
                              fmt::format("7:{}:open 2 0", tokenOf(TargetNumber{7}).value));
    }

    void undecodableDatagramsAreCounted()
    {
        EntryPath path;
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
