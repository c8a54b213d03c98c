// Tests of the event loop.

#include "RunningRuntime.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <vector>

namespace almondwing {

class IoRuntimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IoRuntimeTest);
    CPPUNIT_TEST(serialQueueRunsItsWorkInOrder);
    CPPUNIT_TEST(secondStopSignalDoesNotEndTheProcess);
    CPPUNIT_TEST(exceptionEndsOnlyItsHandler);
    CPPUNIT_TEST(timeCountsSuspensions);
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

    // Guards against an unexpected error that ends the whole process, or the periodic work in which it
    // occurs.
    void exceptionEndsOnlyItsHandler()
    {
        std::atomic<int> runs = 0;
        std::promise<void> secondRun;
        std::promise<void> laterWork;
        RunningRuntime running;
        SerialQueue queue(running.runtime);
        running.runtime.runEvery(1ms, [&] {
            if (++runs == 2)
                secondRun.set_value();
            throw std::runtime_error("unexpected");
        });
        queue.post([] { throw std::runtime_error("unexpected"); });
        queue.post([&] { laterWork.set_value(); });
        valueOf(secondRun.get_future());
        valueOf(laterWork.get_future());
        CPPUNIT_ASSERT(running.runtime.failedHandlers() >= 2);
        running.stop();
    }

    // Guards against leases and permits that stay valid while the machine is suspended, which the steady
    // clock does not count.
    void timeCountsSuspensions()
    {
        std::timespec before{};
        CPPUNIT_ASSERT_EQUAL(0, ::clock_gettime(CLOCK_BOOTTIME, &before));
        Timestamp const now = IoRuntime::now();
        std::timespec after{};
        CPPUNIT_ASSERT_EQUAL(0, ::clock_gettime(CLOCK_BOOTTIME, &after));
        auto const toDuration = [](std::timespec const &time) {
            return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec));
        };
        CPPUNIT_ASSERT(now.time_since_epoch() >= toDuration(before));
        CPPUNIT_ASSERT(now.time_since_epoch() <= toDuration(after));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IoRuntimeTest);

} // namespace almondwing
