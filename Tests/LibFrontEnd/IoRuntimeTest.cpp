// Tests of the event loop.

#include "RunningRuntime.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace almondwing {

class IoRuntimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IoRuntimeTest);
    CPPUNIT_TEST(serialQueueRunsItsWorkInOrder);
    CPPUNIT_TEST_SUITE_END();

    // Guards against work of the replicated log that runs on two threads at once or in another order. The
    // vector has no lock, so ThreadSanitizer reports the first case.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(IoRuntimeTest);

} // namespace almondwing
