// Tests of structured lines and of the queue that writes them.

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

// A pipe whose reading end the test reads when it wants.
class Pipe
{
public:
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends.data())); }
    ~Pipe()
    {
        ::close(this->ends[0]);
        this->closeInput();
    }
    Pipe(Pipe const &) = delete;
    Pipe &operator=(Pipe const &) = delete;

    int input() const { return this->ends[1]; }

    void closeInput()
    {
        if (this->ends[1] >= 0)
            ::close(this->ends[1]);
        this->ends[1] = -1;
    }

    // Everything that was written, once the input is closed.
    std::string readAll()
    {
        this->closeInput();
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

std::size_t countLines(std::string const &text, std::string const &part)
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
    CPPUNIT_TEST(lineHasItsFieldsOnce);
    CPPUNIT_TEST(volumeOfAnEventIsBounded);
    CPPUNIT_TEST(blockedOutputLosesLinesAndDelaysNothing);
    CPPUNIT_TEST(valuesStayOneField);
    CPPUNIT_TEST_SUITE_END();

    void lineHasItsFieldsOnce()
    {
        Pipe pipe;
        {
            DecisionLog log(DecisionLogSettings{.instance = "entry-1", .descriptor = pipe.input()});
            log.report(Event::FlowPlaced, "caller=100.64.0.7:40001 target=7f");
        }
        std::string const text = pipe.readAll();
        CPPUNIT_ASSERT(text.starts_with("time=20"));
        CPPUNIT_ASSERT(text.ends_with(" event=AW1500 name=FlowPlaced severity=information instance=entry-1 "
                                      "caller=100.64.0.7:40001 target=7f\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countLines(text, "\n"));
    }

    void volumeOfAnEventIsBounded()
    {
        Pipe pipe;
        {
            DecisionLog log(
                DecisionLogSettings{.instance = "entry-1", .descriptor = pipe.input(), .linesPerSecond = 5});
            for (int index = 0; index < 200; ++index)
                log.report(Event::FlowPlaced, "n=1");
            log.report(Event::FlowReset, "n=1");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, log.counts().at(Event::FlowPlaced));
        }
        std::string const text = pipe.readAll();
        // More than one second may have passed between two of the reports.
        CPPUNIT_ASSERT(countLines(text, "FlowPlaced") >= 5);
        CPPUNIT_ASSERT(countLines(text, "FlowPlaced") <= 5 + countLines(text, "left_out=") * 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countLines(text, "FlowReset"));
    }

    // Nobody reads the pipe: the reports return all the same, and a stop does not wait for a reader.
    void blockedOutputLosesLinesAndDelaysNothing()
    {
        Pipe pipe;
        std::string const filler(1000, 'x');
        {
            DecisionLog log(DecisionLogSettings{.instance = "entry-1",
                                                .descriptor = pipe.input(),
                                                .linesPerSecond = 1'000'000,
                                                .queue = LineQueueLimits{.lines = 16}});
            for (int index = 0; index < 2000; ++index)
                log.report(Event::FlowPlaced, filler);
            CPPUNIT_ASSERT(log.lostLines() > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, log.counts().at(Event::FlowPlaced));
        }
    }

    void valuesStayOneField()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), quoteLogValue("plain"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"two words\""), quoteLogValue("two words"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"a\"\"b c\""), quoteLogValue("a\"b\nc"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\""), quoteLogValue(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace almondwing
