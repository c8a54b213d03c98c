// Tests of the hash functions that routing depends on.

#include <LibCore/Hash.h>
#include <LibCore/Identifier.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class HashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HashTest);
    CPPUNIT_TEST(textHashIsStableAcrossBuilds);
    CPPUNIT_TEST_SUITE_END();

    // Guards against instances of different builds that route the same flow to different targets.
    void textHashIsStableAcrossBuilds()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2d06800538d394c2U}, hashText(""));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xe220a8397b1dcdafU}, mixBits(0));
        CPPUNIT_ASSERT(ServiceId::fromName("cab-link") != ServiceId::fromName("manifest-desk"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace almondwing
