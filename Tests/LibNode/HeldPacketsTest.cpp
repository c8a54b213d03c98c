// Tests the holding of packets.

#include <LibNode/HeldPackets.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class HeldPacketsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeldPacketsTest);
    CPPUNIT_TEST(packetsAreReturnedInOrder);
    CPPUNIT_TEST(packetHeldAgainKeepsArrivalTime);
    CPPUNIT_TEST(numberIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};

    void packetsAreReturnedInOrder()
    {
        HeldPackets held{HeldPacketLimits{}};
        CPPUNIT_ASSERT(held.hold("first", start, start));
        CPPUNIT_ASSERT(held.hold("second", start + 1ms, start + 1ms));
        auto const batch = held.takeAll(start + 2ms).waiting;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.size());
        CPPUNIT_ASSERT(batch[0].packet == "first" && batch[1].packet == "second");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held.size());
    }

    // Guards against a packet that is held repeatedly and reaches its target long after its caller gave up.
    void packetHeldAgainKeepsArrivalTime()
    {
        HeldPackets held{HeldPacketLimits{}};
        held.hold("packet", start, start);
        for (auto const &entry : held.takeAll(start + 900ms).waiting)
            held.hold(entry.packet, entry.arrivedAt, start + 900ms);
        auto const batch = held.takeAll(start + 1100ms);
        CPPUNIT_ASSERT(batch.waiting.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.expired.size());
    }

    void numberIsBounded()
    {
        HeldPackets held{HeldPacketLimits{.maxPackets = 2}};
        CPPUNIT_ASSERT(held.hold("1", start, start));
        CPPUNIT_ASSERT(held.hold("2", start, start));
        CPPUNIT_ASSERT(!held.hold("3", start, start));
        // Expired packets free their space.
        CPPUNIT_ASSERT(held.hold("4", start + 2s, start + 2s));
        // Each expired packet is returned once.
        auto const batch = held.takeAll(start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.waiting.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.expired.size());
        CPPUNIT_ASSERT(held.takeAll(start + 2s).expired.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldPacketsTest);

} // namespace almondwing
