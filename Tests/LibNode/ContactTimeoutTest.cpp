// Tests the timeout of control instances that are out of contact with a majority.

#include <LibNode/ContactTimeout.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class ContactTimeoutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContactTimeoutTest);
    CPPUNIT_TEST(instanceInContactIsKept);
    CPPUNIT_TEST(expiresAfterHalfASecondWithoutContact);
    CPPUNIT_TEST(timeoutStartsWithFirstAnswer);
    CPPUNIT_TEST(timeoutDoublesWithoutContact);
    CPPUNIT_TEST(contactResetsTimeout);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{100s};

    // Simulates answers without contact every 50 ms and counts the expired timeouts.
    static int expiriesWithin(ContactTimeout &timeout, Duration time)
    {
        int expiries = 0;
        for (Duration passed = 0ms; passed < time; passed += 50ms) {
            if (timeout.hasExpired(false, start + passed)) {
                ++expiries;
                timeout.reset();
            }
        }
        return expiries;
    }

    void instanceInContactIsKept()
    {
        ContactTimeout timeout;
        for (int second = 0; second < 60; ++second)
            CPPUNIT_ASSERT(!timeout.hasExpired(true, start + std::chrono::seconds(second)));
    }

    void expiresAfterHalfASecondWithoutContact()
    {
        ContactTimeout timeout;
        CPPUNIT_ASSERT(!timeout.hasExpired(true, start));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, start + 100ms));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, start + 550ms));
        CPPUNIT_ASSERT(timeout.hasExpired(false, start + 600ms));
    }

    // Guards against an entry that leaves each instance after its first answer, because a busy instance takes
    // long to send it.
    void timeoutStartsWithFirstAnswer()
    {
        ContactTimeout timeout;
        timeout.reset();
        CPPUNIT_ASSERT(!timeout.hasExpired(false, start + 700ms));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, start + 1100ms));
        CPPUNIT_ASSERT(timeout.hasExpired(false, start + 1200ms));
    }

    void timeoutDoublesWithoutContact()
    {
        ContactTimeout timeout;
        // 0.5 s, 1 s, 2 s and 4 s, and a gap of 50 ms after each.
        CPPUNIT_ASSERT_EQUAL(4, expiriesWithin(timeout, 8s));
    }

    void contactResetsTimeout()
    {
        ContactTimeout timeout;
        expiriesWithin(timeout, 8s);
        CPPUNIT_ASSERT(!timeout.hasExpired(true, start + 8s));
        timeout.reset();
        CPPUNIT_ASSERT(!timeout.hasExpired(false, start + 9s));
        CPPUNIT_ASSERT(timeout.hasExpired(false, start + 9500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContactTimeoutTest);

} // namespace almondwing
