// Tests of packets that wait for the view.

#include <LibNode/HeldPackets.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class HeldPacketsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeldPacketsTest);
    CPPUNIT_TEST(packetsComeBackInOrder);
    CPPUNIT_TEST(packetThatIsHeldAgainKeepsItsTime);
    CPPUNIT_TEST(numberIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};

    void packetsComeBackInOrder()
    {
        HeldPackets held{HeldPacketLimits{}};
        CPPUNIT_ASSERT(held.hold("first", start, start));
        CPPUNIT_ASSERT(held.hold("second", start + 1ms, start + 1ms));
        auto const taken = held.takeAll(start + 2ms).waiting;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, taken.size());
        CPPUNIT_ASSERT(taken[0].packet == "first" && taken[1].packet == "second");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held.size());
    }

    // Guards against a packet that is held again and again and reaches its target long after its caller gave
    // up.
    void packetThatIsHeldAgainKeepsItsTime()
    {
        HeldPackets held{HeldPacketLimits{}};
        held.hold("packet", start, start);
        for (auto const &entry : held.takeAll(start + 900ms).waiting)
            held.hold(entry.packet, entry.arrivedAt, start + 900ms);
        auto const taken = held.takeAll(start + 1100ms);
        CPPUNIT_ASSERT(taken.waiting.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.expired.size());
    }

    void numberIsBounded()
    {
        HeldPackets held{HeldPacketLimits{.packets = 2}};
        CPPUNIT_ASSERT(held.hold("1", start, start));
        CPPUNIT_ASSERT(held.hold("2", start, start));
        CPPUNIT_ASSERT(!held.hold("3", start, start));
        // Those that have waited too long make room.
        CPPUNIT_ASSERT(held.hold("4", start + 2s, start + 2s));
        // Each that is lost is told once.
        auto const taken = held.takeAll(start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.waiting.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, taken.expired.size());
        CPPUNIT_ASSERT(held.takeAll(start + 2s).expired.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldPacketsTest);

} // namespace almondwing
