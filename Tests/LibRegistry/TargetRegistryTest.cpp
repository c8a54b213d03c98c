// Tests of the registry of targets: the order of reports, ends, cold phases and silence.

#include <LibRegistry/TargetRegistry.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace almondwing {

namespace {

constexpr Timestamp start{1h};

RegisteredTarget targetAt(std::uint64_t number, std::int64_t born, std::uint64_t sequence,
                          RegisteredState state = RegisteredState::Ready)
{
    return RegisteredTarget{
        .number = TargetNumber{number},
        .service = "orders",
        .failureDomain = "dar-a",
        .endpoint = Endpoint{.address = 0x0a800000U + static_cast<std::uint32_t>(number), .port = 8080},
        .slots = 2,
        .state = state,
        .reportVersion = ReportVersion{.startUnixMilliseconds = born, .sequence = sequence},
        .lastSeenAt = start};
}

std::vector<RegisteredTarget> withoutTimes(std::vector<RegisteredTarget> targets)
{
    for (RegisteredTarget &target : targets)
        target.lastSeenAt = start;
    return targets;
}

} // namespace

class TargetRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetRegistryTest);
    CPPUNIT_TEST(laterReportWins);
    CPPUNIT_TEST(lateReportOfAnEarlierStartIsIgnored);
    CPPUNIT_TEST(restartWithTheSameNumberCountsAnew);
    CPPUNIT_TEST(endIsFinalForItsStart);
    CPPUNIT_TEST(endOfAnEarlierStartDoesNotEndTheLaterOne);
    CPPUNIT_TEST(addressOfAnotherTargetEndsTheEarlierOne);
    CPPUNIT_TEST(delayedReportAfterTheAddressWasReusedIsIgnored);
    CPPUNIT_TEST(repeatedRecordDoesNotKeepATargetAlive);
    CPPUNIT_TEST(heartbeatAloneIsNoChange);
    CPPUNIT_TEST(heartbeatFromAPeerNeedsAKnownStart);
    CPPUNIT_TEST(returnedTargetsAreColdUntilTheirNextHeartbeat);
    CPPUNIT_TEST(silentTargetIsOverdue);
    CPPUNIT_TEST(copiesAgreeWhateverTheOrder);
    CPPUNIT_TEST(readerOfChangesMissesNoneOfSeveralWriters);
    CPPUNIT_TEST(readerInPartsKnowsAllInTheEnd);
    CPPUNIT_TEST(readerInPartsMissesNothingBesideAWriter);
    CPPUNIT_TEST_SUITE_END();

    TargetRegistry registry{RegistrySettings{}};

    // Guards against a change that an entry never hears of, because a later one was told first.
    void readerOfChangesMissesNoneOfSeveralWriters()
    {
        constexpr std::uint64_t writers = 4;
        constexpr std::uint64_t targets = 20'000;
        std::set<TargetNumber> told;
        std::atomic<std::uint64_t> writing{writers};
        std::uint64_t known = 0;
        auto const read = [&] {
            std::uint64_t const generation = this->registry.changeGeneration();
            for (RegistryEntry const &entry : this->registry.changedAfter(known))
                told.insert(entry.target.number);
            known = generation;
        };
        {
            std::vector<std::jthread> threads;
            for (std::uint64_t writer = 0; writer < writers; ++writer)
                threads.emplace_back([&, writer] {
                    for (std::uint64_t number = 1 + writer; number <= targets; number += writers)
                        this->registry.merge(targetAt(number, 100, 1), start);
                    --writing;
                });
            while (writing > 0)
                read();
        }
        read();
        CPPUNIT_ASSERT_EQUAL(std::size_t{targets}, told.size());
    }

    // Guards against a part that goes beyond a change it has missed: a later one in a shard that is walked
    // over later is met, an earlier one in a shard that was walked over before is not.
    void readerInPartsMissesNothingBesideAWriter()
    {
        constexpr std::uint64_t pairs = 3'000;
        constexpr std::uint64_t lead = 3; // The writer stays near, so that parts end where it writes.
        std::map<TargetNumber, RegisteredState> told;
        std::atomic<bool> isWriting{true};
        std::atomic<std::uint64_t> known{0};
        auto const read = [&] {
            RegistryChanges const changes = this->registry.oldestChangesAfter(known, 1);
            for (RegisteredTarget const &target : changes.targets)
                told[target.number] = target.state;
            known = changes.lastGeneration;
            known.notify_one();
            return changes.isTruncated;
        };
        {
            std::jthread const writer([&] {
                for (std::uint64_t number = 1; number <= pairs; ++number) {
                    this->registry.merge(targetAt(number, 100, 1), start);
                    RegisteredTarget successor = targetAt(pairs + number, 200, 1);
                    successor.endpoint = targetAt(number, 100, 1).endpoint;
                    this->registry.merge(successor, start);
                    for (std::uint64_t seen = known; seen + lead < this->registry.changeGeneration();
                         seen = known)
                        known.wait(seen);
                }
                isWriting = false;
            });
            while (isWriting)
                read();
        }
        while (read()) { }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 * pairs}, told.size());
        for (auto const &[number, state] : told)
            CPPUNIT_ASSERT_EQUAL(number.value <= pairs, state == RegisteredState::Gone);
    }

    RegisteredState stateOf(std::uint64_t number) const
    {
        auto const found = this->registry.find(TargetNumber{number});
        CPPUNIT_ASSERT(found.has_value());
        return found->state;
    }

    void laterReportWins()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        this->registry.merge(targetAt(1, 100, 7, RegisteredState::Draining), start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 6), start) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Draining);
    }

    // Guards against a heartbeat that a partition delayed until the target had started again.
    void lateReportOfAnEarlierStartIsIgnored()
    {
        this->registry.merge(targetAt(1, 200, 1), start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 900, RegisteredState::Draining), start)
                       == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void restartWithTheSameNumberCountsAnew()
    {
        this->registry.merge(targetAt(1, 100, 900, RegisteredState::Draining), start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 200, 1), start) == MergeOutcome::Changed);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void endIsFinalForItsStart()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        CPPUNIT_ASSERT(this->registry.markGone(TargetNumber{1}, 100, start) == MergeOutcome::Changed);
        this->registry.merge(targetAt(1, 100, 9), start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Gone);
        this->registry.merge(targetAt(1, 101, 1), start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void endOfAnEarlierStartDoesNotEndTheLaterOne()
    {
        this->registry.merge(targetAt(1, 200, 5), start);
        this->registry.markGone(TargetNumber{1}, 100, start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    // Guards against packets to a target whose address another service has taken over.
    void addressOfAnotherTargetEndsTheEarlierOne()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        RegisteredTarget successor = targetAt(2, 200, 1);
        successor.endpoint = targetAt(1, 100, 5).endpoint;
        this->registry.merge(successor, start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Gone);
        CPPUNIT_ASSERT(this->stateOf(2) == RegisteredState::Ready);
    }

    void delayedReportAfterTheAddressWasReusedIsIgnored()
    {
        RegisteredTarget successor = targetAt(2, 200, 1);
        successor.endpoint = targetAt(1, 100, 5).endpoint;
        this->registry.merge(successor, start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 5), start) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(!this->registry.find(TargetNumber{1}).has_value());
    }

    // Guards against records that instances pass around and that seem younger each time by their transit.
    void repeatedRecordDoesNotKeepATargetAlive()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        RegisteredTarget repeated = targetAt(1, 100, 5);
        repeated.lastSeenAt = start + 5s;
        CPPUNIT_ASSERT(this->registry.merge(repeated, start + 5s) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(this->registry.find(TargetNumber{1})->lastSeenAt == start);
    }

    void heartbeatAloneIsNoChange()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        std::uint64_t const before = this->registry.changeGeneration();
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 6), start + 1s) == MergeOutcome::Refreshed);
        CPPUNIT_ASSERT_EQUAL(before, this->registry.changeGeneration());
        CPPUNIT_ASSERT(this->registry.changedAfter(before).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.refreshedAfter(before).size());
    }

    void heartbeatFromAPeerNeedsAKnownStart()
    {
        Endpoint const peer{.address = 0x0a010001, .port = 8166};
        RegisteredTarget heard{.number = TargetNumber{1},
                               .reportVersion = ReportVersion{.startUnixMilliseconds = 100, .sequence = 6},
                               .lastSeenAt = start + 1s};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(heard, start, peer) == MergeOutcome::Unchanged);
        this->registry.merge(targetAt(1, 100, 5, RegisteredState::Draining), start);
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(heard, start, peer) == MergeOutcome::Refreshed);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Draining);
        CPPUNIT_ASSERT(this->registry.find(TargetNumber{1})->lastSeenAt == start + 1s);
        heard.reportVersion = ReportVersion{.startUnixMilliseconds = 200, .sequence = 1};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(heard, start, peer) == MergeOutcome::Unchanged);
    }

    void returnedTargetsAreColdUntilTheirNextHeartbeat()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        this->registry.markCold("dar-b", start + 4s);
        CPPUNIT_ASSERT(!this->registry.find(TargetNumber{1})->isColdAt(start));
        this->registry.markCold("dar-a", start + 4s);
        CPPUNIT_ASSERT(this->registry.find(TargetNumber{1})->isColdAt(start + 3s));
        this->registry.merge(targetAt(1, 100, 6), start + 1s);
        CPPUNIT_ASSERT(!this->registry.find(TargetNumber{1})->isColdAt(start + 1s));
    }

    void silentTargetIsOverdue()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        RegisteredTarget const target = *this->registry.find(TargetNumber{1});
        RegistrySettings const settings;
        Duration const limit =
            settings.missedHeartbeats * settings.heartbeatInterval + settings.heartbeatMargin;
        CPPUNIT_ASSERT(!this->registry.isOverdue(target, start + limit));
        CPPUNIT_ASSERT(this->registry.isOverdue(target, start + limit + 1ms));
    }

    // Copies of the registry that get the same records in any order, some twice, end with the same contents.
    // Guards against a change that falls between two parts, also while more changes come.
    void readerInPartsKnowsAllInTheEnd()
    {
        bool const holds = rc::check([] {
            TargetRegistry written{RegistrySettings{}};
            TargetRegistry read{RegistrySettings{}};
            std::uint64_t known = 0;
            auto const readPart = [&] {
                auto const atMost = *rc::gen::inRange<std::size_t>(1, 5);
                RegistryChanges const changes = written.oldestChangesAfter(known, atMost);
                RC_ASSERT(changes.lastGeneration > known || known == written.changeGeneration());
                RC_ASSERT(changes.targets.size() <= atMost);
                known = changes.lastGeneration;
                for (RegisteredTarget const &target : changes.targets)
                    read.merge(target, start);
                return changes.isTruncated;
            };
            auto const steps = *rc::gen::inRange<int>(1, 30);
            for (int step = 0; step < steps; ++step) {
                RegisteredTarget report =
                    targetAt(*rc::gen::inRange<std::uint64_t>(1, 9), *rc::gen::inRange<std::int64_t>(1, 4),
                             static_cast<std::uint64_t>(step), RegisteredState::Ready);
                report.endpoint.port = *rc::gen::inRange<std::uint16_t>(1, 6);
                written.merge(report, start);
                if (*rc::gen::arbitrary<bool>())
                    readPart();
            }
            while (readPart()) { }
            RC_ASSERT(known == written.changeGeneration());
            // Heartbeats without a change are not told.
            auto const routed = [](TargetRegistry const &of) {
                auto targets = withoutTimes(of.all());
                for (RegisteredTarget &target : targets)
                    target.reportVersion.sequence = 0;
                return targets;
            };
            RC_ASSERT(routed(read) == routed(written));
        });
        CPPUNIT_ASSERT(holds);
    }

    void copiesAgreeWhateverTheOrder()
    {
        bool const holds = rc::check([] {
            std::vector<RegisteredTarget> reports;
            auto const count = *rc::gen::inRange<std::size_t>(1, 12);
            for (std::size_t index = 0; index < count; ++index) {
                auto const number = *rc::gen::inRange<std::uint64_t>(1, 4);
                auto const born = *rc::gen::inRange<std::int64_t>(1, 4);
                auto const sequence = *rc::gen::inRange<std::uint64_t>(1, 5);
                // A target says one thing under one order.
                bool const isDraining = (number + static_cast<std::uint64_t>(born) + sequence) % 3 == 0;
                reports.push_back(targetAt(number, born, sequence,
                                           isDraining ? RegisteredState::Draining : RegisteredState::Ready));
            }
            TargetRegistry first{RegistrySettings{}};
            TargetRegistry second{RegistrySettings{}};
            for (RegisteredTarget const &report : reports)
                first.merge(report, start);
            std::ranges::reverse(reports);
            for (RegisteredTarget const &report : reports)
                second.merge(report, start);
            RC_ASSERT(withoutTimes(first.all()) == withoutTimes(second.all()));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRegistryTest);

} // namespace almondwing
