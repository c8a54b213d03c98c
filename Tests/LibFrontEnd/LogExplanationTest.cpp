// Tests of the search in saved logs.

#include <LibFrontEnd/LogExplanation.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

std::vector<LogLine> parseLines(std::vector<std::string> const &texts)
{
    std::vector<LogLine> lines;
    for (std::string const &text : texts) {
        auto const line = parseLogLine(text);
        CPPUNIT_ASSERT_MESSAGE(text, line.has_value());
        lines.push_back(*line);
    }
    return lines;
}

// Builds a log line with the given second of 10:00 as its time.
std::string makeLine(std::string const &second, std::string const &name, std::string const &instance,
                     std::string const &fields)
{
    return "time=2026-12-04T10:00:" + second + "Z event=AW1500 name=" + name
        + " severity=information instance=" + instance + " " + fields;
}

std::vector<LogLine> makeLog()
{
    return parseLines(
        {makeLine("03.000", "FlowReset", "entry-1", "caller=100.64.0.7:40001 reason=target-unreachable"),
         makeLine("01.000", "FlowPlaced", "entry-1", "caller=100.64.0.7:40001 target=7f"),
         makeLine("02.000", "TargetUnreachable", "entry-2", "target=7f check=silent"),
         makeLine("02.500", "TargetUnreachable", "entry-2", "target=8f check=silent"),
         makeLine("02.700", "ViewChanged", "entry-1", "revision=4"),
         makeLine("02.700", "ViewChanged", "entry-2", "revision=4"),
         makeLine("05.000", "FlowPlaced", "entry-2", "caller=100.64.0.70:40001 target=9f")});
}

} // namespace

class LogExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogExplanationTest);
    CPPUNIT_TEST(lineIsParsed);
    CPPUNIT_TEST(otherTextsAreRejected);
    CPPUNIT_TEST(flowIsExplainedByTargetAndView);
    CPPUNIT_TEST(addressMatchesAllItsFlows);
    CPPUNIT_TEST(timeRangeLimitsResult);
    CPPUNIT_TEST_SUITE_END();

    void lineIsParsed()
    {
        auto const line = parseLogLine(
            "  42.1 entry-1 time=2026-12-04T10:00:01.000Z event=AW1270 name=ViewSourceLost severity=warning "
            "instance=entry-1 source=10.1.0.1:80 reason=\"a \"\"quoted\"\" text\" left_out=3");
        CPPUNIT_ASSERT(line.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("ViewSourceLost"), line->name);
        CPPUNIT_ASSERT_EQUAL(std::string("a \"quoted\" text"), line->fields.at("reason"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), line->fields.at("left_out"));
        CPPUNIT_ASSERT(line->text.starts_with("time="));
    }

    void otherTextsAreRejected()
    {
        for (char const *text : {"", "time=", "W20261204 AW1500 FlowPlaced", "event=AW1500 name=FlowPlaced"})
            CPPUNIT_ASSERT(!parseLogLine(text).has_value());
    }

    void flowIsExplainedByTargetAndView()
    {
        LogQueryResult const result = explainFlows(makeLog(), LogQuery{.caller = "100.64.0.7:40001"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.flows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("FlowPlaced"), result.flows[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("FlowReset"), result.flows[1].name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("7f"), result.targets[0].fields.at("target"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.instanceEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), result.instanceEvents[0].instance);
    }

    // Guards against matching another caller whose address starts with the same characters.
    void addressMatchesAllItsFlows()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             explainFlows(makeLog(), LogQuery{.caller = "100.64.0.7"}).flows.size());
    }

    void timeRangeLimitsResult()
    {
        LogQuery const query{.caller = "100.64.0.7", .until = "2026-12-04T10:00:02.100Z"};
        LogQueryResult const result = explainFlows(makeLog(), query);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.flows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.targets.size());
        CPPUNIT_ASSERT(result.instanceEvents.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogExplanationTest);

} // namespace almondwing
