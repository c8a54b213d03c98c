// Tests of the codec of whole configurations.

#include <LibConfigurationJson/DocumentJson.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class DocumentJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentJsonTest);
    CPPUNIT_TEST(changesComeBack);
    CPPUNIT_TEST(stateComesBack);
    CPPUNIT_TEST(damagedTextsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    void changesComeBack()
    {
        for (DocumentChange const &change :
             {DocumentChange(ReplaceDocument{7, "{\"version\":7}\n\"quoted\""}),
              DocumentChange(TakeOutDomain{"dar-a"}), DocumentChange(BringBackDomain{"dar-b"})}) {
            auto const parsed = parseDocumentChange(formatDocumentChange(change));
            CPPUNIT_ASSERT(parsed.ok());
            CPPUNIT_ASSERT(*parsed == change);
        }
    }

    static DocumentState someState()
    {
        DocumentState state = applyDocumentChange(DocumentState{}, ReplaceDocument{7, "text"});
        state = applyDocumentChange(state, TakeOutDomain{"dar-a"});
        state = applyDocumentChange(state, TakeOutDomain{"dar-b"});
        return applyDocumentChange(state, BringBackDomain{"dar-b"});
    }

    void stateComesBack()
    {
        auto const parsed = parseDocumentState(formatDocumentState(someState()));
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(*parsed == someState());
    }

    void damagedTextsAreRefused()
    {
        std::string const text = formatDocumentState(someState());
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
