// Tests of the event loop.

#include "RunningRuntime.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <vector>

namespace almondwing {

class IoRuntimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IoRuntimeTest);
    CPPUNIT_TEST(serialQueueRunsItsWorkInOrder);
    CPPUNIT_TEST(secondStopSignalDoesNotEndTheProcess);
    CPPUNIT_TEST_SUITE_END();

    // Guards against work items of the replicated log that run concurrently or out of order. The vector has
    // no lock, so ThreadSanitizer reports concurrent runs.
    void serialQueueRunsItsWorkInOrder()
    {
        constexpr int workCount = 2000;
        std::vector<int> done;
        std::promise<void> finished;
        RunningRuntime running;
        SerialQueue queue(running.runtime);
        for (int index = 0; index < workCount; ++index)
            queue.post([&done, index] { done.push_back(index); });
        queue.post([&finished] { finished.set_value(); });
        valueOf(finished.get_future());
        CPPUNIT_ASSERT_EQUAL(std::size_t{workCount}, done.size());
        for (int index = 0; index < workCount; ++index)
            CPPUNIT_ASSERT_EQUAL(index, done[static_cast<std::size_t>(index)]);
    }

    // Guards against a graceful shutdown that a repeated signal interrupts. Without the handler the second
    // signal would terminate the test program.
    void secondStopSignalDoesNotEndTheProcess()
    {
        std::atomic<int> stops = 0;
        std::promise<void> stopped;
        RunningRuntime running;
        running.runtime.onStopSignal([&] {
            ++stops;
            stopped.set_value();
        });
        CPPUNIT_ASSERT_EQUAL(0, std::raise(SIGTERM));
        valueOf(stopped.get_future());
        std::promise<void> later;
        CPPUNIT_ASSERT_EQUAL(0, std::raise(SIGTERM));
        running.runtime.runAfter(50ms, [&] { later.set_value(); });
        valueOf(later.get_future());
        CPPUNIT_ASSERT_EQUAL(1, stops.load());
        running.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IoRuntimeTest);

} // namespace almondwing
