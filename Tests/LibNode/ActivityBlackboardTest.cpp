// Tests the aggregation of flow reports.

#include <LibNode/ActivityBlackboard.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class ActivityBlackboardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ActivityBlackboardTest);
    CPPUNIT_TEST(entryReceivesSumOfOthersOnce);
    CPPUNIT_TEST(smallChangesAreNotSent);
    CPPUNIT_TEST(endedFlowsAreSent);
    CPPUNIT_TEST(onlyOwnFailureDomainIsSent);
    CPPUNIT_TEST(oldReportsExpire);
    CPPUNIT_TEST(loadsIncludePeersAndSlots);
    CPPUNIT_TEST(totalsMatchLatestReports);
    CPPUNIT_TEST_SUITE_END();

    using Baseline = ActivityBlackboard::Baseline;

    static constexpr Timestamp start{1h};
    static constexpr TargetToken localToken{7};
    static constexpr TargetToken remoteToken{8};

    TokenIndex const index{
        .groups = {{localToken, TargetGroup{"orders", "dar-a"}},
                   {remoteToken, TargetGroup{"orders", "dar-b"}}},
        .tokensOfDomain = {{"dar-a", {localToken}}, {"dar-b", {remoteToken}}},
        .slots = {{TargetGroup{"orders", "dar-a"}, 2}, {TargetGroup{"orders", "dar-b"}, 4}}};
    ActivityBlackboard blackboard;

    static std::vector<TargetActivity> flows(TargetToken token, std::uint32_t count)
    {
        return {TargetActivity{.token = token, .flows = count}};
    }

    std::vector<TargetActivity> takeChangesFor(std::string const &entry)
    {
        return this->blackboard.takeChangesFor(entry, "dar-a", this->index, Baseline::LastReply);
    }

    void entryReceivesSumOfOthersOnce()
    {
        this->blackboard.updateEntry("entry-1", flows(localToken, 3), start);
        this->blackboard.updateEntry("entry-2", flows(localToken, 4), start);
        this->blackboard.updateEntry("entry-2", flows(localToken, 5), start);
        this->blackboard.updateEntry("entry-3", flows(localToken, 6), start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1") == flows(localToken, 11));
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1").empty());
        // A new process of the entry has no baseline.
        CPPUNIT_ASSERT(this->blackboard.takeChangesFor("entry-1", "dar-a", this->index, Baseline::Empty)
                       == flows(localToken, 11));
    }

    // Guards against traffic that grows with the number of targets although the flows hardly change.
    void smallChangesAreNotSent()
    {
        this->blackboard.updateEntry("entry-2", flows(localToken, 20), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->takeChangesFor("entry-1").size());
        this->blackboard.updateEntry("entry-2", flows(localToken, 22), start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1").empty());
        this->blackboard.updateEntry("entry-2", flows(localToken, 30), start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1") == flows(localToken, 30));
    }

    void endedFlowsAreSent()
    {
        this->blackboard.updateEntry("entry-2", flows(localToken, 2), start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1") == flows(localToken, 2));
        this->blackboard.updateEntry("entry-2", {}, start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1") == flows(localToken, 0));
    }

    void onlyOwnFailureDomainIsSent()
    {
        this->blackboard.updateEntry("entry-2", flows(remoteToken, 9), start);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1").empty());
    }

    void oldReportsExpire()
    {
        this->blackboard.updateEntry("entry-2", flows(localToken, 9), start);
        this->blackboard.updatePeer("control-2", GroupFlows{{TargetGroup{"orders", "dar-b"}, 8}}, start);
        this->blackboard.removeExpired(start + 13s);
        CPPUNIT_ASSERT(this->takeChangesFor("entry-1").empty());
        for (GroupLoad const &load : this->blackboard.loads(this->index))
            CPPUNIT_ASSERT_EQUAL(0U, load.flows);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->blackboard.rankOf("entry-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->blackboard.rankOf("entry-2")); // No longer reports.
    }

    void loadsIncludePeersAndSlots()
    {
        this->blackboard.updateEntry("entry-1", flows(remoteToken, 3), start);
        this->blackboard.updatePeer("control-2", GroupFlows{{TargetGroup{"orders", "dar-b"}, 8}}, start);
        auto const loads = this->blackboard.loads(this->index);
        CPPUNIT_ASSERT(
            loads
            == (std::vector{GroupLoad{.group = TargetGroup{"orders", "dar-a"}, .flows = 0, .slots = 2},
                            GroupLoad{.group = TargetGroup{"orders", "dar-b"}, .flows = 11, .slots = 4}}));
        // A peer is sent only the flows reported to this instance; otherwise sums would grow with each
        // exchange.
        CPPUNIT_ASSERT(this->blackboard.localFlows(this->index)
                       == (GroupFlows{{TargetGroup{"orders", "dar-b"}, 3}}));
    }

    // The totals equal the sum of the latest reports, independent of earlier ones.
    void totalsMatchLatestReports()
    {
        bool const holds = rc::check([this] {
            ActivityBlackboard tested;
            std::map<std::string, std::uint32_t> latest;
            auto const steps = *rc::gen::inRange(1, 30);
            for (int step = 0; step < steps; ++step) {
                std::string const entry = "entry-" + std::to_string(*rc::gen::inRange(1, 4));
                auto const count = *rc::gen::inRange<std::uint32_t>(0, 50);
                tested.updateEntry(entry, flows(localToken, count), start);
                latest[entry] = count;
            }
            std::uint32_t sum = 0;
            for (auto const &[entry, count] : latest)
                sum += count;
            GroupFlows const own = tested.localFlows(this->index);
            RC_ASSERT((own.empty() ? 0 : own.begin()->second) == sum);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActivityBlackboardTest);

} // namespace almondwing
