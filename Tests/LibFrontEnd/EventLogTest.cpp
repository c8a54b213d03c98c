// Tests of the rate limit of the event log.

#include <LibFrontEnd/EventLog.h>
#include <LibFrontEnd/IoRuntime.h>

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

#include <algorithm>
#include <mutex>
#include <thread>
#include <vector>

namespace almondwing {

namespace {

// Collects the lines that reach the log.
class LineCollector : public google::LogSink
{
public:
    LineCollector() { google::AddLogSink(this); }
    ~LineCollector() override { google::RemoveLogSink(this); }
    LineCollector(LineCollector const &) = delete;
    LineCollector &operator=(LineCollector const &) = delete;

    using google::LogSink::send;
    void send(google::LogSeverity, char const *, char const *, int, google::LogMessageTime const &,
              char const *message, std::size_t length) override
    {
        std::scoped_lock const lock(this->mutex);
        this->lines.emplace_back(message, length);
    }

    std::size_t countOf(std::string_view part)
    {
        std::scoped_lock const lock(this->mutex);
        return static_cast<std::size_t>(std::ranges::count_if(
            this->lines, [part](std::string const &line) { return line.find(part) != std::string::npos; }));
    }

private:
    std::mutex mutex; // Guards lines.
    std::vector<std::string> lines;
};

} // namespace

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(repeatedEventIsRateLimited);
    CPPUNIT_TEST(eventsBelowMinimumSeverityAreOnlyCounted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against hostile input that fills the disk with log lines, against reports that are not counted
    // when several threads report, and against one event that uses up the rate limit of another.
    void repeatedEventIsRateLimited()
    {
        constexpr std::size_t threadCount = 4;
        constexpr std::size_t reportsPerThread = 100;
        LineCollector collector;
        EventLog log(Severity::Information);
        Timestamp const begin = IoRuntime::now();
        {
            std::vector<std::jthread> threads;
            for (std::size_t index = 0; index < threadCount; ++index)
                threads.emplace_back([&log] {
                    for (std::size_t count = 0; count < reportsPerThread; ++count)
                        log.report(Event::InputDropped, "a packet");
                });
        }
        // On a slow machine the reports may take several windows.
        auto const windows = static_cast<std::size_t>(1 + (IoRuntime::now() - begin) / eventWindow);
        log.report(Event::LeaseExpired, "another event");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{threadCount * reportsPerThread},
                             log.counts().at(Event::InputDropped));
        std::size_t const logged = collector.countOf("AW1100 ");
        CPPUNIT_ASSERT(logged >= maxLinesPerWindow && logged <= maxLinesPerWindow * windows);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collector.countOf(": another event"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.counts().at(Event::LeaseExpired));
    }

    // Guards against an event counter that stays at zero because the log level hides the event.
    void eventsBelowMinimumSeverityAreOnlyCounted()
    {
        LineCollector collector;
        EventLog log(Severity::Error);
        log.report(Event::ProcessStarted, "not shown");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, collector.countOf("not shown"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.counts().at(Event::ProcessStarted));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace almondwing
