// Tests of endpoint parsing.

#include <LibCore/Endpoint.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class EndpointTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTest);
    CPPUNIT_TEST(formattedEndpointsParseBack);
    CPPUNIT_TEST(malformedTextIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an endpoint that changes when it is written as text and read back.
    void formattedEndpointsParseBack()
    {
        bool const holds = rc::check([] {
            Endpoint const endpoint{.address = *rc::gen::arbitrary<std::uint32_t>(),
                                    .port = *rc::gen::inRange<std::uint16_t>(1, 65535)};
            auto const parsed = Endpoint::parse(endpoint.toString());
            RC_ASSERT(parsed.ok());
            RC_ASSERT(*parsed == endpoint);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against settings that are accepted although they contain no usable address.
    void malformedTextIsRefused()
    {
        for (auto const *const text :
             {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0:80", "127.0.0.0.1:80",
              "256.0.0.1:80", "localhost:80", "127.0.0.1:80x", " 127.0.0.1:80", "127..0.1:80"})
            CPPUNIT_ASSERT_MESSAGE(text, !Endpoint::parse(text).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

} // namespace almondwing
