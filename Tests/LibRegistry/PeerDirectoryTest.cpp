// Tests of the directory of control instances.

#include <LibRegistry/PeerDirectory.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class PeerDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerDirectoryTest);
    CPPUNIT_TEST(indirectMentionIsNoContact);
    CPPUNIT_TEST(silentPeersAreRemovedUnlessKept);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Endpoint first{.address = 0x0a010001, .port = 8166};
    static constexpr Endpoint second{.address = 0x0a020001, .port = 8166};

    // Guards against a peer that has ended and is never removed, because other peers keep mentioning it to
    // each other.
    void indirectMentionIsNoContact()
    {
        PeerDirectory directory;
        directory.noteAlive(first, "dar-a", Timestamp{10s});
        directory.learn(first, "");
        CPPUNIT_ASSERT(directory.peers().at(first).heardAt == Timestamp{10s});
        CPPUNIT_ASSERT(directory.peers().at(first).failureDomain == "dar-a");
        directory.learn(second, "dar-b");
        CPPUNIT_ASSERT(directory.peers().at(second).heardAt == Timestamp{});
    }

    void silentPeersAreRemovedUnlessKept()
    {
        PeerDirectory directory;
        directory.noteAlive(first, "dar-a", Timestamp{10s});
        directory.noteAlive(second, "dar-b", Timestamp{10s});
        directory.forgetSilent(Timestamp{10s}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.peers().size());
        directory.forgetSilent(Timestamp{11s}, {second});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.peers().size());
        CPPUNIT_ASSERT(directory.peers().contains(second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDirectoryTest);

} // namespace almondwing
