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
        directory.recordContact(first, "dar-a", Timestamp{10s});
        directory.addPeer(first, "");
        CPPUNIT_ASSERT(directory.peers().at(first).lastSeenAt == Timestamp{10s});
        CPPUNIT_ASSERT(directory.peers().at(first).failureDomain == "dar-a");
        directory.addPeer(second, "dar-b");
        CPPUNIT_ASSERT(directory.peers().at(second).lastSeenAt == Timestamp{});
    }

    void silentPeersAreRemovedUnlessKept()
    {
        PeerDirectory directory;
        directory.recordContact(first, "dar-a", Timestamp{10s});
        directory.recordContact(second, "dar-b", Timestamp{10s});
        directory.removeStalePeers(Timestamp{10s}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.peers().size());
        directory.removeStalePeers(Timestamp{11s}, {second});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.peers().size());
        CPPUNIT_ASSERT(directory.peers().contains(second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDirectoryTest);

} // namespace almondwing
