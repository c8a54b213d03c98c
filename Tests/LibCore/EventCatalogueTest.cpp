// Tests that the event catalogue in the code and the page for operators are identical.

#include <LibCore/EventCatalogue.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

namespace almondwing {

namespace {

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Information:
        return "information";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "";
}

std::vector<std::string> readEventRows()
{
    std::ifstream page(EVENTS_PAGE);
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| AW"))
            rows.push_back(line);
    }
    return rows;
}

} // namespace

class EventCatalogueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventCatalogueTest);
    CPPUNIT_TEST(pageMatchesCatalogue);
    CPPUNIT_TEST(numbersAscendAndAreUnique);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an event that is logged but not documented for operators, and the reverse.
    void pageMatchesCatalogue()
    {
        std::vector<std::string> expected;
        for (EventDescription const &description : eventCatalogue())
            expected.push_back(fmt::format("| AW{} | {} | {} | {} | {} |",
                                           static_cast<unsigned>(description.event),
                                           severityName(description.severity), description.name,
                                           description.meaning, description.operatorAction));
        auto const rows = readEventRows();
        for (std::size_t index = 0; index < std::max(rows.size(), expected.size()); ++index)
            CPPUNIT_ASSERT_EQUAL(index < expected.size() ? expected[index] : std::string("(no such event)"),
                                 index < rows.size() ? rows[index] : std::string("(not on the page)"));
    }

    // Guards against two events that share a number, which would make alert rules ambiguous.
    void numbersAscendAndAreUnique()
    {
        auto const catalogue = eventCatalogue();
        CPPUNIT_ASSERT(
            std::ranges::is_sorted(catalogue, std::ranges::less_equal{}, &EventDescription::event));
        CPPUNIT_ASSERT(std::ranges::adjacent_find(catalogue, {}, &EventDescription::event)
                       == catalogue.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);

} // namespace almondwing
