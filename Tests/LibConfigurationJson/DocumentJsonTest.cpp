// Tests of the JSON codec of the replicated configuration document.

#include <LibConfigurationJson/DocumentJson.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class DocumentJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentJsonTest);
    CPPUNIT_TEST(changesRoundTrip);
    CPPUNIT_TEST(stateRoundTrips);
    CPPUNIT_TEST(invalidTextsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    void changesRoundTrip()
    {
        for (DocumentChange const &change :
             {DocumentChange(ReplaceDocument{7, "{\"version\":7}\n\"quoted\""}),
              DocumentChange(TakeOutFailureDomain{"dar-a"}),
              DocumentChange(BringBackFailureDomain{"dar-b"})}) {
            auto const parsed = parseDocumentChange(formatDocumentChange(change));
            CPPUNIT_ASSERT(parsed.ok());
            CPPUNIT_ASSERT(*parsed == change);
        }
    }

    static DocumentState makeState()
    {
        DocumentState state = applyDocumentChange(DocumentState{}, ReplaceDocument{7, "text"});
        state = applyDocumentChange(state, TakeOutFailureDomain{"dar-a"});
        state = applyDocumentChange(state, TakeOutFailureDomain{"dar-b"});
        return applyDocumentChange(state, BringBackFailureDomain{"dar-b"});
    }

    void stateRoundTrips()
    {
        auto const parsed = parseDocumentState(formatDocumentState(makeState()));
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(*parsed == makeState());
    }

    void invalidTextsAreRefused()
    {
        std::string const text = formatDocumentState(makeState());
        bool const holds = rc::check([&text] {
            auto const length = *rc::gen::inRange<std::size_t>(0, text.size());
            RC_ASSERT(!parseDocumentState(text.substr(0, length)).ok());
        });
        CPPUNIT_ASSERT(holds);
        CPPUNIT_ASSERT(!parseDocumentChange(R"({"kind":"other","failure_domain":"dar-a"})").ok());
        CPPUNIT_ASSERT(!parseDocumentChange(R"({"kind":"replace","text":""})").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentJsonTest);

} // namespace almondwing
