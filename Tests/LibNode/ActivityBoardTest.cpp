// Tests of the sums of flows over entries.

#include <LibNode/ActivityBoard.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class ActivityBoardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ActivityBoardTest);
    CPPUNIT_TEST(entryGetsTheFlowsOfAllOthers);
    CPPUNIT_TEST(oldReportsEnd);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};
    static constexpr TargetToken token{7};

    static std::vector<TargetActivity> flows(std::uint32_t count)
    {
        return {TargetActivity{.token = token, .flows = count}};
    }

    void entryGetsTheFlowsOfAllOthers()
    {
        ActivityBoard board;
        board.reportEntry("entry-1", flows(3), start);
        board.reportEntry("entry-2", flows(4), start);
        board.reportEntry("entry-2", flows(5), start);
        board.reportPeer("control-2", flows(10), start);
        CPPUNIT_ASSERT(board.allBut("entry-1", start) == flows(15));
        // A peer gets only what was reported here, or sums would grow from exchange to exchange.
        CPPUNIT_ASSERT(board.ownEntries(start) == flows(8));
    }

    void oldReportsEnd()
    {
        ActivityBoard board;
        board.reportEntry("entry-1", flows(3), start);
        board.reportPeer("control-2", flows(10), start);
        CPPUNIT_ASSERT(board.allBut("entry-2", start + 4s).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActivityBoardTest);

} // namespace almondwing
