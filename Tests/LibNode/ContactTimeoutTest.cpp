// Tests of when an entry leaves a control instance that is out of contact.

#include <LibNode/ContactTimeout.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class ContactTimeoutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContactTimeoutTest);
    CPPUNIT_TEST(instanceInContactIsKept);
    CPPUNIT_TEST(instanceOutOfContactIsLeftAfterHalfASecond);
    CPPUNIT_TEST(slowFirstAnswerDoesNotCount);
    CPPUNIT_TEST(entriesStayLongerWhileNoInstanceIsInContact);
    CPPUNIT_TEST(contactRestoresTheShortestPatience);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp begun{100s};

    // Plays the answers of instances that are all out of contact, one each 50 ms, and counts those left.
    static int expiriesWithin(ContactTimeout &timeout, Duration time)
    {
        int left = 0;
        for (Duration passed = 0ms; passed < time; passed += 50ms) {
            if (timeout.hasExpired(false, begun + passed)) {
                ++left;
                timeout.reset();
            }
        }
        return left;
    }

    void instanceInContactIsKept()
    {
        ContactTimeout timeout;
        for (int second = 0; second < 60; ++second)
            CPPUNIT_ASSERT(!timeout.hasExpired(true, begun + std::chrono::seconds(second)));
    }

    void instanceOutOfContactIsLeftAfterHalfASecond()
    {
        ContactTimeout timeout;
        CPPUNIT_ASSERT(!timeout.hasExpired(true, begun));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, begun + 100ms));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, begun + 550ms));
        CPPUNIT_ASSERT(timeout.hasExpired(false, begun + 600ms));
    }

    // Guards against an entry that leaves each instance with its first answer, because a busy one takes long
    // to give it.
    void slowFirstAnswerDoesNotCount()
    {
        ContactTimeout timeout;
        timeout.reset();
        CPPUNIT_ASSERT(!timeout.hasExpired(false, begun + 700ms));
        CPPUNIT_ASSERT(!timeout.hasExpired(false, begun + 1100ms));
        CPPUNIT_ASSERT(timeout.hasExpired(false, begun + 1200ms));
    }

    void entriesStayLongerWhileNoInstanceIsInContact()
    {
        ContactTimeout timeout;
        // 0.5 s, 1 s, 2 s and 4 s, and a gap of 50 ms after each.
        CPPUNIT_ASSERT_EQUAL(4, expiriesWithin(timeout, 8s));
    }

    void contactRestoresTheShortestPatience()
    {
        ContactTimeout timeout;
        expiriesWithin(timeout, 8s);
        CPPUNIT_ASSERT(!timeout.hasExpired(true, begun + 8s));
        timeout.reset();
        CPPUNIT_ASSERT(!timeout.hasExpired(false, begun + 9s));
        CPPUNIT_ASSERT(timeout.hasExpired(false, begun + 9500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContactTimeoutTest);

} // namespace almondwing
