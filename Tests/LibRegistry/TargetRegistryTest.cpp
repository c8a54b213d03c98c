// Tests of the registry of targets: the versions of reports, ended targets, cold phases and missing
// heartbeats.

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

RegisteredTarget targetAt(std::uint64_t number, std::int64_t startMilliseconds, std::uint64_t sequence,
                          RegisteredState state = RegisteredState::Ready)
{
    return RegisteredTarget{
        .number = TargetNumber{number},
        .service = "orders",
        .failureDomain = "dar-a",
        .endpoint = Endpoint{.address = 0x0a800000U + static_cast<std::uint32_t>(number), .port = 8080},
        .slots = 2,
        .state = state,
        .reportVersion = ReportVersion{.startUnixMilliseconds = startMilliseconds, .sequence = sequence},
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
    CPPUNIT_TEST(delayedReportOfEarlierRunIsIgnored);
    CPPUNIT_TEST(restartResetsSequence);
    CPPUNIT_TEST(goneIsFinalUntilRestart);
    CPPUNIT_TEST(endOfEarlierRunIsIgnored);
    CPPUNIT_TEST(reusedEndpointEndsEarlierTarget);
    CPPUNIT_TEST(delayedReportAfterEndpointReuseIsIgnored);
    CPPUNIT_TEST(undefinedServiceTakesOverNoEndpoint);
    CPPUNIT_TEST(undefinedServiceTakesOverNoNumber);
    CPPUNIT_TEST(repeatedRecordIsNoHeartbeat);
    CPPUNIT_TEST(heartbeatIsNoRoutingChange);
    CPPUNIT_TEST(relayedHeartbeatNeedsKnownRun);
    CPPUNIT_TEST(invalidRecordsAreNotStored);
    CPPUNIT_TEST(foreignReportBeforeTheConfigurationTakesOverNoNumber);
    CPPUNIT_TEST(recordOfUnknownDomainIsNotStored);
    CPPUNIT_TEST(markedTargetsAreColdUntilNextHeartbeat);
    CPPUNIT_TEST(silentTargetIsOverdue);
    CPPUNIT_TEST(copiesConvergeInAnyOrder);
    CPPUNIT_TEST(readerMissesNoChangeOfConcurrentWriters);
    CPPUNIT_TEST(readingInPartsIsComplete);
    CPPUNIT_TEST(readingInPartsIsCompleteWithConcurrentWriter);
    CPPUNIT_TEST_SUITE_END();

    TargetRegistry registry{RegistrySettings{}};

    // Guards against a change that a reader never receives, because a concurrent writer published a later
    // generation first.
    void readerMissesNoChangeOfConcurrentWriters()
    {
        constexpr std::uint64_t writers = 4;
        constexpr std::uint64_t targets = 20'000;
        std::set<TargetNumber> received;
        std::atomic<std::uint64_t> writing{writers};
        std::uint64_t known = 0;
        auto const read = [&] {
            std::uint64_t const generation = this->registry.changeGeneration();
            for (RegistryEntry const &entry : this->registry.changedAfter(known))
                received.insert(entry.target.number);
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{targets}, received.size());
    }

    // Guards against a part that claims to include a change that it has missed. During the iteration over the
    // shards, a change in a shard already visited is missed, while a later change in a shard not yet visited
    // is found.
    void readingInPartsIsCompleteWithConcurrentWriter()
    {
        constexpr std::uint64_t pairs = 3'000;
        // The writer waits for the reader, so that parts end among the changes that it is making.
        constexpr std::uint64_t maxLag = 3;
        std::map<TargetNumber, RegisteredState> received;
        std::atomic<bool> isWriting{true};
        std::atomic<std::uint64_t> known{0};
        auto const read = [&] {
            RegistryChanges const changes = this->registry.oldestChangesAfter(known, 1);
            for (RegisteredTarget const &target : changes.targets)
                received[target.number] = target.state;
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
                    for (std::uint64_t seen = known; seen + maxLag < this->registry.changeGeneration();
                         seen = known)
                        known.wait(seen);
                }
                isWriting = false;
            });
            while (isWriting)
                read();
        }
        while (read()) { }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 * pairs}, received.size());
        for (auto const &[number, state] : received)
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

    // Guards against a heartbeat that a partition has delayed until the target has started again.
    void delayedReportOfEarlierRunIsIgnored()
    {
        this->registry.merge(targetAt(1, 200, 1), start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 900, RegisteredState::Draining), start)
                       == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void restartResetsSequence()
    {
        this->registry.merge(targetAt(1, 100, 900, RegisteredState::Draining), start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 200, 1), start) == MergeOutcome::Changed);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void goneIsFinalUntilRestart()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        CPPUNIT_ASSERT(this->registry.markGone(TargetNumber{1}, 100, start) == MergeOutcome::Changed);
        this->registry.merge(targetAt(1, 100, 9), start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Gone);
        this->registry.merge(targetAt(1, 101, 1), start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    void endOfEarlierRunIsIgnored()
    {
        this->registry.merge(targetAt(1, 200, 5), start);
        this->registry.markGone(TargetNumber{1}, 100, start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Ready);
    }

    // Guards against packets to a target whose endpoint another target has taken over.
    void reusedEndpointEndsEarlierTarget()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        RegisteredTarget successor = targetAt(2, 200, 1);
        successor.endpoint = targetAt(1, 100, 5).endpoint;
        this->registry.merge(successor, start);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Gone);
        CPPUNIT_ASSERT(this->stateOf(2) == RegisteredState::Ready);
    }

    void delayedReportAfterEndpointReuseIsIgnored()
    {
        RegisteredTarget successor = targetAt(2, 200, 1);
        successor.endpoint = targetAt(1, 100, 5).endpoint;
        this->registry.merge(successor, start);
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 5), start) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(!this->registry.find(TargetNumber{1}).has_value());
    }

    // Guards against the end of a living target by a report for a service that the configuration does not
    // define. Once it defines the service, the next heartbeat takes over the endpoint.
    void undefinedServiceTakesOverNoEndpoint()
    {
        std::set<std::string> defined{"orders"};
        TargetRegistry table(RegistrySettings{},
                             TargetRegistryHooks{.isServiceDefined = [&defined](std::string const &name) {
                                 return defined.contains(name);
                             }});
        table.merge(targetAt(1, 100, 5), start);
        RegisteredTarget foreign = targetAt(2, 200, 1);
        foreign.service = "audit";
        foreign.endpoint = targetAt(1, 100, 5).endpoint;
        CPPUNIT_ASSERT(table.merge(foreign, start) == MergeOutcome::Changed);
        CPPUNIT_ASSERT(table.find(TargetNumber{1})->state == RegisteredState::Ready);
        CPPUNIT_ASSERT(table.merge(targetAt(1, 100, 6), start) == MergeOutcome::Refreshed);

        defined.insert("audit");
        ++foreign.reportVersion.sequence;
        CPPUNIT_ASSERT(table.merge(foreign, start) == MergeOutcome::Refreshed);
        CPPUNIT_ASSERT(table.find(TargetNumber{1})->state == RegisteredState::Gone);
        CPPUNIT_ASSERT(table.merge(targetAt(1, 100, 7), start) == MergeOutcome::Unchanged);
    }

    void undefinedServiceTakesOverNoNumber()
    {
        TargetRegistry table(RegistrySettings{},
                             TargetRegistryHooks{.isServiceDefined = [](std::string const &name) {
                                 return name == "orders";
                             }});
        table.merge(targetAt(1, 100, 5), start);
        RegisteredTarget foreign = targetAt(1, 200, 1);
        foreign.service = "audit";
        CPPUNIT_ASSERT(table.merge(foreign, start) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(*table.find(TargetNumber{1}) == targetAt(1, 100, 5));
    }

    // Guards against a record that instances send to each other and that appears more recent with each
    // transit.
    void repeatedRecordIsNoHeartbeat()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        RegisteredTarget repeated = targetAt(1, 100, 5);
        repeated.lastSeenAt = start + 5s;
        CPPUNIT_ASSERT(this->registry.merge(repeated, start + 5s) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(this->registry.find(TargetNumber{1})->lastSeenAt == start);
    }

    void heartbeatIsNoRoutingChange()
    {
        this->registry.merge(targetAt(1, 100, 5), start);
        std::uint64_t const before = this->registry.changeGeneration();
        CPPUNIT_ASSERT(this->registry.merge(targetAt(1, 100, 6), start + 1s) == MergeOutcome::Refreshed);
        CPPUNIT_ASSERT_EQUAL(before, this->registry.changeGeneration());
        CPPUNIT_ASSERT(this->registry.changedAfter(before).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.refreshedAfter(before).size());
    }

    void relayedHeartbeatNeedsKnownRun()
    {
        Endpoint const peer{.address = 0x0a010001, .port = 8166};
        RegisteredTarget relayed{.number = TargetNumber{1},
                                 .reportVersion = ReportVersion{.startUnixMilliseconds = 100, .sequence = 6},
                                 .lastSeenAt = start + 1s};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(relayed, start, peer) == MergeOutcome::UnknownRun);
        CPPUNIT_ASSERT(!this->registry.find(TargetNumber{1}));
        this->registry.merge(targetAt(1, 100, 5, RegisteredState::Draining), start);
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(relayed, start, peer) == MergeOutcome::Refreshed);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Draining);
        CPPUNIT_ASSERT(this->registry.find(TargetNumber{1})->lastSeenAt == start + 1s);
        relayed.reportVersion = ReportVersion{.startUnixMilliseconds = 200, .sequence = 1};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(relayed, start, peer) == MergeOutcome::UnknownRun);
        CPPUNIT_ASSERT(this->stateOf(1) == RegisteredState::Draining);
        // A heartbeat of an earlier run, or one that is so old that the target has failed since, needs no
        // record.
        relayed.reportVersion = ReportVersion{.startUnixMilliseconds = 50, .sequence = 9};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(relayed, start, peer) == MergeOutcome::Unchanged);
        relayed.number = TargetNumber{2};
        CPPUNIT_ASSERT(this->registry.mergeHeartbeat(relayed, start + 10s, peer) == MergeOutcome::Unchanged);
    }

    // Guards against a target that is used although its record comes from a writer that is not a target, an
    // earlier version or a damaged copy.
    void invalidRecordsAreNotStored()
    {
        RegisteredTarget const valid = targetAt(1, 100, 5);
        std::vector<RegisteredTarget> records(8, valid);
        records[0].number = TargetNumber{};
        records[1].service.clear();
        records[2].failureDomain.clear();
        records[3].endpoint.port = 0;
        records[4].endpoint.address = 0;
        records[5].slots = 0;
        records[6].reportVersion.startUnixMilliseconds = 0;
        records[7].reportVersion.sequence = 0;
        for (RegisteredTarget const &record : records) {
            CPPUNIT_ASSERT(!checkRecord(record).ok());
            CPPUNIT_ASSERT(this->registry.merge(record, start) == MergeOutcome::Unchanged);
        }
        CPPUNIT_ASSERT(this->registry.all().empty());
        CPPUNIT_ASSERT(this->registry.merge(valid, start) == MergeOutcome::Changed);
    }

    // Guards against a foreign report that takes over the number of a living target at an instance that does
    // not know the configuration yet, in either order of the two reports.
    void foreignReportBeforeTheConfigurationTakesOverNoNumber()
    {
        for (bool const isForeignFirst : {false, true}) {
            bool isConfigured = false;
            TargetRegistry unconfigured(
                RegistrySettings{}, TargetRegistryHooks{.isServiceDefined = [&](std::string const &service) {
                    return isConfigured && service == "orders";
                }});
            RegisteredTarget foreign = targetAt(1, 200, 9);
            foreign.service = "audit";
            if (isForeignFirst)
                unconfigured.merge(foreign, start);
            unconfigured.merge(targetAt(1, 100, 1), start);
            if (!isForeignFirst)
                unconfigured.merge(foreign, start);
            isConfigured = true;
            unconfigured.merge(targetAt(1, 100, 2), start);
            CPPUNIT_ASSERT_EQUAL(std::string("orders"), unconfigured.find(TargetNumber{1})->service);
            CPPUNIT_ASSERT(unconfigured.merge(targetAt(1, 100, 3), start) == MergeOutcome::Refreshed);
        }
    }

    void recordOfUnknownDomainIsNotStored()
    {
        bool isKnown = false;
        TargetRegistry domains(
            RegistrySettings{},
            TargetRegistryHooks{.isDomainKnown = [&isKnown](std::string const &) { return isKnown; }});
        CPPUNIT_ASSERT(domains.merge(targetAt(1, 100, 5), start) == MergeOutcome::Unchanged);
        CPPUNIT_ASSERT(!domains.mayBeUsed(targetAt(1, 100, 5)).ok());
        isKnown = true;
        CPPUNIT_ASSERT(domains.merge(targetAt(1, 100, 5), start) == MergeOutcome::Changed);
    }

    void markedTargetsAreColdUntilNextHeartbeat()
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

    // Guards against a change that is lost between two parts, also while further changes are made.
    void readingInPartsIsComplete()
    {
        bool const holds = rc::check([] {
            TargetRegistry source{RegistrySettings{}};
            TargetRegistry copy{RegistrySettings{}};
            std::uint64_t known = 0;
            auto const readNextPart = [&] {
                auto const limit = *rc::gen::inRange<std::size_t>(1, 5);
                RegistryChanges const changes = source.oldestChangesAfter(known, limit);
                RC_ASSERT(changes.lastGeneration > known || known == source.changeGeneration());
                RC_ASSERT(changes.targets.size() <= limit);
                known = changes.lastGeneration;
                for (RegisteredTarget const &target : changes.targets)
                    copy.merge(target, start);
                return changes.isTruncated;
            };
            auto const steps = *rc::gen::inRange<int>(1, 30);
            for (int step = 0; step < steps; ++step) {
                RegisteredTarget report =
                    targetAt(*rc::gen::inRange<std::uint64_t>(1, 9), *rc::gen::inRange<std::int64_t>(1, 4),
                             static_cast<std::uint64_t>(step), RegisteredState::Ready);
                report.endpoint.port = *rc::gen::inRange<std::uint16_t>(1, 6);
                source.merge(report, start);
                if (*rc::gen::arbitrary<bool>())
                    readNextPart();
            }
            while (readNextPart()) { }
            RC_ASSERT(known == source.changeGeneration());
            // Heartbeats without a change are not sent.
            auto const withoutHeartbeats = [](TargetRegistry const &table) {
                auto targets = withoutTimes(table.all());
                for (RegisteredTarget &target : targets)
                    target.reportVersion.sequence = 0;
                return targets;
            };
            RC_ASSERT(withoutHeartbeats(copy) == withoutHeartbeats(source));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against copies of the registry that differ after they have merged the same records in different
    // orders.
    void copiesConvergeInAnyOrder()
    {
        bool const holds = rc::check([] {
            std::vector<RegisteredTarget> reports;
            auto const count = *rc::gen::inRange<std::size_t>(1, 12);
            for (std::size_t index = 0; index < count; ++index) {
                auto const number = *rc::gen::inRange<std::uint64_t>(1, 4);
                auto const startMilliseconds = *rc::gen::inRange<std::int64_t>(1, 4);
                auto const sequence = *rc::gen::inRange<std::uint64_t>(1, 5);
                // Two reports of the same version must be equal, as they come from the same heartbeat.
                bool const isDraining =
                    (number + static_cast<std::uint64_t>(startMilliseconds) + sequence) % 3 == 0;
                reports.push_back(targetAt(number, startMilliseconds, sequence,
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
