// Tests of the structured log and of the queue that writes its lines.

#include <LibFrontEnd/DecisionLog.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace almondwing {

namespace {

// A pipe that receives the output of a log.
class Pipe
{
public:
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends.data())); }
    ~Pipe()
    {
        ::close(this->ends[0]);
        this->closeWriteEnd();
    }
    Pipe(Pipe const &) = delete;
    Pipe &operator=(Pipe const &) = delete;

    int writeEnd() const { return this->ends[1]; }

    void closeWriteEnd()
    {
        if (this->ends[1] >= 0)
            ::close(this->ends[1]);
        this->ends[1] = -1;
    }

    // Closes the write end and returns everything that was written.
    std::string readAll()
    {
        this->closeWriteEnd();
        std::string text;
        std::array<char, 4096> buffer{};
        for (::ssize_t count = 1; count > 0;) {
            count = ::read(this->ends[0], buffer.data(), buffer.size());
            if (count > 0)
                text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    std::array<int, 2> ends{};
};

std::size_t countOccurrences(std::string const &text, std::string const &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

class DecisionLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(lineHasAllFields);
    CPPUNIT_TEST(eventRateIsLimited);
    CPPUNIT_TEST(blockedOutputDropsLinesWithoutBlocking);
    CPPUNIT_TEST(valuesAreQuoted);
    CPPUNIT_TEST_SUITE_END();

    void lineHasAllFields()
    {
        Pipe pipe;
        {
            DecisionLog log(DecisionLogSettings{.instance = "entry-1", .descriptor = pipe.writeEnd()});
            log.report(Event::FlowPlaced, "caller=100.64.0.7:40001 target=7f");
        }
        std::string const text = pipe.readAll();
        CPPUNIT_ASSERT(text.starts_with("time=20"));
        CPPUNIT_ASSERT(text.ends_with(" event=AW1500 name=FlowPlaced severity=information instance=entry-1 "
                                      "caller=100.64.0.7:40001 target=7f\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOccurrences(text, "\n"));
    }

    void eventRateIsLimited()
    {
        Pipe pipe;
        {
            DecisionLog log(DecisionLogSettings{
                .instance = "entry-1", .descriptor = pipe.writeEnd(), .linesPerSecond = 5});
            for (int index = 0; index < 200; ++index)
                log.report(Event::FlowPlaced, "n=1");
            log.report(Event::FlowReset, "n=1");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, log.counts().at(Event::FlowPlaced));
        }
        std::string const text = pipe.readAll();
        // More than one second may have passed between two of the reports.
        CPPUNIT_ASSERT(countOccurrences(text, "FlowPlaced") >= 5);
        CPPUNIT_ASSERT(countOccurrences(text, "FlowPlaced") <= 5 + countOccurrences(text, "left_out=") * 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOccurrences(text, "FlowReset"));
    }

    // Guards against reports or a shutdown that block on an output that nobody reads.
    void blockedOutputDropsLinesWithoutBlocking()
    {
        Pipe pipe;
        std::string const filler(1000, 'x');
        {
            DecisionLog log(DecisionLogSettings{.instance = "entry-1",
                                                .descriptor = pipe.writeEnd(),
                                                .linesPerSecond = 1'000'000,
                                                .queue = LineQueueLimits{.lines = 16}});
            for (int index = 0; index < 2000; ++index)
                log.report(Event::FlowPlaced, filler);
            CPPUNIT_ASSERT(log.lostLines() > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, log.counts().at(Event::FlowPlaced));
        }
    }

    void valuesAreQuoted()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), quoteLogValue("plain"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"two words\""), quoteLogValue("two words"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"a\"\"b c\""), quoteLogValue("a\"b\nc"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\""), quoteLogValue(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace almondwing
