// Tests of when an entry leaves a control instance that is out of contact.

#include <LibNode/ContactPatience.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class ContactPatienceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContactPatienceTest);
    CPPUNIT_TEST(instanceInContactIsKept);
    CPPUNIT_TEST(instanceOutOfContactIsLeftAfterHalfASecond);
    CPPUNIT_TEST(slowFirstAnswerDoesNotCount);
    CPPUNIT_TEST(entriesStayLongerWhileNoInstanceIsInContact);
    CPPUNIT_TEST(contactRestoresTheShortestPatience);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp begun{100s};

    // Plays the answers of instances that are all out of contact, one each 50 ms, and counts those left.
    static int leftWithin(ContactPatience &patience, Duration time)
    {
        int left = 0;
        for (Duration passed = 0ms; passed < time; passed += 50ms) {
            if (patience.isOver(false, begun + passed)) {
                ++left;
                patience.noteSource();
            }
        }
        return left;
    }

    void instanceInContactIsKept()
    {
        ContactPatience patience;
        for (int second = 0; second < 60; ++second)
            CPPUNIT_ASSERT(!patience.isOver(true, begun + std::chrono::seconds(second)));
    }

    void instanceOutOfContactIsLeftAfterHalfASecond()
    {
        ContactPatience patience;
        CPPUNIT_ASSERT(!patience.isOver(true, begun));
        CPPUNIT_ASSERT(!patience.isOver(false, begun + 100ms));
        CPPUNIT_ASSERT(!patience.isOver(false, begun + 550ms));
        CPPUNIT_ASSERT(patience.isOver(false, begun + 600ms));
    }

    // Guards against an entry that leaves each instance with its first answer, because a busy one takes long
    // to give it.
    void slowFirstAnswerDoesNotCount()
    {
        ContactPatience patience;
        patience.noteSource();
        CPPUNIT_ASSERT(!patience.isOver(false, begun + 700ms));
        CPPUNIT_ASSERT(!patience.isOver(false, begun + 1100ms));
        CPPUNIT_ASSERT(patience.isOver(false, begun + 1200ms));
    }

    void entriesStayLongerWhileNoInstanceIsInContact()
    {
        ContactPatience patience;
        // 0.5 s, 1 s, 2 s and 4 s, and a gap of 50 ms after each.
        CPPUNIT_ASSERT_EQUAL(4, leftWithin(patience, 8s));
    }

    void contactRestoresTheShortestPatience()
    {
        ContactPatience patience;
        leftWithin(patience, 8s);
        CPPUNIT_ASSERT(!patience.isOver(true, begun + 8s));
        patience.noteSource();
        CPPUNIT_ASSERT(!patience.isOver(false, begun + 9s));
        CPPUNIT_ASSERT(patience.isOver(false, begun + 9500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContactPatienceTest);

} // namespace almondwing
