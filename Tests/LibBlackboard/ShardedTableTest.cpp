// Tests of the blackboard tables and cells with concurrent controllers.

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace almondwing {

namespace {

constexpr int threadCount = 4;
constexpr int incrementsPerThread = 5000;

template<typename Work>
void runOnThreads(Work const &work)
{
    std::vector<std::jthread> threads;
    threads.reserve(threadCount);
    for (int index = 0; index < threadCount; ++index)
        threads.emplace_back(work);
}

} // namespace

class ShardedTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShardedTableTest);
    CPPUNIT_TEST(concurrentUpdatesAreNotLost);
    CPPUNIT_TEST(staleWriteIsRefused);
    CPPUNIT_TEST(erasedKeyDoesNotReuseItsVersion);
    CPPUNIT_TEST(concurrentCellUpdatesAreNotLost);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost updates, such as two controllers that both take the last free slot of a target.
    void concurrentUpdatesAreNotLost()
    {
        ShardedTable<int, int> table;
        runOnThreads([&] {
            for (int count = 0; count < incrementsPerThread; ++count)
                table.update(count % 3, [](std::optional<int> value) { return value.value_or(0) + 1; });
        });
        int total = 0;
        for (auto const &[key, value] : table.entries())
            total += value;
        CPPUNIT_ASSERT_EQUAL(threadCount * incrementsPerThread, total);
    }

    // Guards against a decision that is written although the value on which it is based has changed.
    void staleWriteIsRefused()
    {
        ShardedTable<int, int> table;
        CPPUNIT_ASSERT(table.write(1, 10, 0) == WriteOutcome::Written);
        Version const version = table.read(1)->version;
        CPPUNIT_ASSERT(table.write(1, 11, version) == WriteOutcome::Written);
        CPPUNIT_ASSERT(table.write(1, 12, version) == WriteOutcome::Conflict);
        CPPUNIT_ASSERT(table.erase(1, version) == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(11, table.read(1)->value);
    }

    // Guards against the ABA problem: a key that was erased and written again must not look unchanged.
    void erasedKeyDoesNotReuseItsVersion()
    {
        ShardedTable<int, int> table;
        CPPUNIT_ASSERT(table.write(1, 10, 0) == WriteOutcome::Written);
        Version const version = table.read(1)->version;
        CPPUNIT_ASSERT(table.erase(1, version) == WriteOutcome::Written);
        CPPUNIT_ASSERT(table.write(1, 10, 0) == WriteOutcome::Written);
        CPPUNIT_ASSERT(table.write(1, 13, version) == WriteOutcome::Conflict);
    }

    // Guards against the replacement of a snapshot that overwrites the change of another controller.
    void concurrentCellUpdatesAreNotLost()
    {
        Cell<int> cell;
        runOnThreads([&] {
            for (int count = 0; count < incrementsPerThread; ++count)
                cell.update([](int value) { return value + 1; });
        });
        CPPUNIT_ASSERT_EQUAL(threadCount * incrementsPerThread, *cell.read());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardedTableTest);

} // namespace almondwing
