// Tests of the state machine of configuration documents.

#include <LibConfiguration/DocumentState.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace almondwing {

class DocumentStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentStateTest);
    CPPUNIT_TEST(highestVersionWinsInAnyOrder);
    CPPUNIT_TEST(equalVersionNeverReplacesTheText);
    CPPUNIT_TEST(domainsAreTakenOutAndBroughtBack);
    CPPUNIT_TEST(noOpChangesAreDetected);
    CPPUNIT_TEST(revisionFollowsEveryChange);
    CPPUNIT_TEST_SUITE_END();

    void highestVersionWinsInAnyOrder()
    {
        bool const holds = rc::check([] {
            auto const versions = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 50)));
            DocumentState state;
            std::uint64_t highest = 0;
            for (std::uint64_t const version : versions) {
                state = applyDocumentChange(state, ReplaceDocument{version, std::to_string(version)});
                RC_ASSERT(state.version >= highest);
                highest = std::max(highest, version);
            }
            RC_ASSERT(state.version == highest);
            RC_ASSERT(*state.text == std::to_string(highest));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a second operator whose document replaces the first one's although that one was reported
    // as in effect under the same version.
    void equalVersionNeverReplacesTheText()
    {
        DocumentState state = applyDocumentChange(DocumentState{}, ReplaceDocument{5, "first"});
        state = applyDocumentChange(state, ReplaceDocument{5, "second"});
        CPPUNIT_ASSERT_EQUAL(std::string("first"), *state.text);
    }

    void domainsAreTakenOutAndBroughtBack()
    {
        DocumentState state = applyDocumentChange(DocumentState{}, TakeOutFailureDomain{"dar-a"});
        CPPUNIT_ASSERT(state.domains.at("dar-a") == DomainServiceState::TakenOut);
        state = applyDocumentChange(state, BringBackFailureDomain{"dar-a"});
        CPPUNIT_ASSERT(state.domains.at("dar-a") == DomainServiceState::InService);
        state = applyDocumentChange(state, BringBackFailureDomain{"dar-b"});
        CPPUNIT_ASSERT(!state.domains.contains("dar-b"));
    }

    // Guards against an entry that keeps a failure domain out of service: it got that state from one
    // instance, and another one that applies the change and its withdrawal together has an older revision.
    void revisionFollowsEveryChange()
    {
        RevisedDocument document;
        document = applyDocumentEntry(std::move(document), 4, ReplaceDocument{5, "first"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, document.revision);
        document = applyDocumentEntry(std::move(document), 6, ReplaceDocument{5, "second"});
        document = applyDocumentEntry(std::move(document), 7, BringBackFailureDomain{"dar-a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, document.revision);
        document = applyDocumentEntry(std::move(document), 9, TakeOutFailureDomain{"dar-a"});
        document = applyDocumentEntry(std::move(document), 12, BringBackFailureDomain{"dar-a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, document.revision);
    }

    void noOpChangesAreDetected()
    {
        DocumentState state = applyDocumentChange(DocumentState{}, ReplaceDocument{5, "first"});
        CPPUNIT_ASSERT(isNoOp(state, ReplaceDocument{5, "second"}));
        CPPUNIT_ASSERT(isNoOp(state, ReplaceDocument{4, "first"}));
        CPPUNIT_ASSERT(!isNoOp(state, ReplaceDocument{6, "first"}));
        CPPUNIT_ASSERT(!isNoOp(state, TakeOutFailureDomain{"dar-a"}));
        CPPUNIT_ASSERT(isNoOp(state, BringBackFailureDomain{"dar-a"}));
        state = applyDocumentChange(state, TakeOutFailureDomain{"dar-a"});
        CPPUNIT_ASSERT(isNoOp(state, TakeOutFailureDomain{"dar-a"}));
        CPPUNIT_ASSERT(!isNoOp(state, BringBackFailureDomain{"dar-a"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentStateTest);

} // namespace almondwing
