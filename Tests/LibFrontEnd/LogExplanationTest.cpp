// Tests of the search in saved logs.

#include <LibFrontEnd/LogExplanation.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

std::vector<LogLine> parseAll(std::vector<std::string> const &texts)
{
    std::vector<LogLine> lines;
    for (std::string const &text : texts) {
        auto const line = parseLogLine(text);
        CPPUNIT_ASSERT_MESSAGE(text, line.has_value());
        lines.push_back(*line);
    }
    return lines;
}

// A line at the given second of 10:00.
std::string lineAt(std::string const &second, std::string const &name, std::string const &instance,
                   std::string const &fields)
{
    return "time=2026-12-04T10:00:" + second + "Z event=AW1500 name=" + name
        + " severity=information instance=" + instance + " " + fields;
}

std::vector<LogLine> someLog()
{
    return parseAll(
        {lineAt("03.000", "FlowReset", "entry-1", "caller=100.64.0.7:40001 reason=target-unreachable"),
         lineAt("01.000", "FlowPlaced", "entry-1", "caller=100.64.0.7:40001 target=7f"),
         lineAt("02.000", "TargetUnreachable", "entry-2", "target=7f check=silent"),
         lineAt("02.500", "TargetUnreachable", "entry-2", "target=8f check=silent"),
         lineAt("02.700", "ViewChanged", "entry-1", "revision=4"),
         lineAt("02.700", "ViewChanged", "entry-2", "revision=4"),
         lineAt("05.000", "FlowPlaced", "entry-2", "caller=100.64.0.70:40001 target=9f")});
}

} // namespace

class LogExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogExplanationTest);
    CPPUNIT_TEST(linesAreRead);
    CPPUNIT_TEST(otherTextsAreNoLines);
    CPPUNIT_TEST(flowIsExplainedWithItsTargetAndView);
    CPPUNIT_TEST(addressAloneMeansAllItsFlows);
    CPPUNIT_TEST(timesBoundTheAnswer);
    CPPUNIT_TEST_SUITE_END();

    void linesAreRead()
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

    void otherTextsAreNoLines()
    {
        for (char const *text : {"", "time=", "W20261204 AW1500 FlowPlaced", "event=AW1500 name=FlowPlaced"})
            CPPUNIT_ASSERT(!parseLogLine(text).has_value());
    }

    void flowIsExplainedWithItsTargetAndView()
    {
        LogQueryResult const answer = explainFlows(someLog(), LogQuery{.caller = "100.64.0.7:40001"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.flows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("FlowPlaced"), answer.flows[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("FlowReset"), answer.flows[1].name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("7f"), answer.targets[0].fields.at("target"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.instanceEvents.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), answer.instanceEvents[0].instance);
    }

    // Guards against a caller whose address begins with that of another.
    void addressAloneMeansAllItsFlows()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             explainFlows(someLog(), LogQuery{.caller = "100.64.0.7"}).flows.size());
    }

    void timesBoundTheAnswer()
    {
        LogQuery const question{.caller = "100.64.0.7", .until = "2026-12-04T10:00:02.100Z"};
        LogQueryResult const answer = explainFlows(someLog(), question);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.flows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.targets.size());
        CPPUNIT_ASSERT(answer.instanceEvents.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogExplanationTest);

} // namespace almondwing
