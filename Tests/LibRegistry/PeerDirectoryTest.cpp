// Tests of the directory of control instances.

#include <LibRegistry/PeerDirectory.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class PeerDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerDirectoryTest);
    CPPUNIT_TEST(hearsayIsNoSignOfLife);
    CPPUNIT_TEST(silentPeersAreForgottenUnlessKept);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Endpoint first{.address = 0x0a010001, .port = 8166};
    static constexpr Endpoint second{.address = 0x0a020001, .port = 8166};

    // Guards against peers that keep each other alive by talking about a third that has ended.
    void hearsayIsNoSignOfLife()
    {
        PeerDirectory directory;
        directory.recordContact(first, "dar-a", Timestamp{10s});
        directory.addPeer(first, "");
        CPPUNIT_ASSERT(directory.peers().at(first).lastSeenAt == Timestamp{10s});
        CPPUNIT_ASSERT(directory.peers().at(first).failureDomain == "dar-a");
        directory.addPeer(second, "dar-b");
        CPPUNIT_ASSERT(directory.peers().at(second).lastSeenAt == Timestamp{});
    }

    void silentPeersAreForgottenUnlessKept()
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
