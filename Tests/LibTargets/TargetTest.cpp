// Tests of target records: announcements, ownership, health and drain.

#include "TargetFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <thread>

namespace almondwing {

namespace {

bool isRejected(AnnouncementOutcome const &outcome, AnnouncementRejection reason)
{
    return outcome == AnnouncementOutcome(AnnouncementRejected{.reason = reason});
}

} // namespace

class TargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTest);
    CPPUNIT_TEST(wrongAnnouncementsAreRejected);
    CPPUNIT_TEST(onlyDispatcherWrites);
    CPPUNIT_TEST(takeoverCountsUnseenWork);
    CPPUNIT_TEST(restartUnderLoadIsCold);
    CPPUNIT_TEST(ownCountsOverruleHealthEndpoint);
    CPPUNIT_TEST(relapseNeedsMoreChecks);
    CPPUNIT_TEST(silentTargetIsForgotten);
    CPPUNIT_TEST(massFailureIsDoubted);
    CPPUNIT_TEST(doubtSpansDispatchers);
    CPPUNIT_TEST(drainKeepsTheLevel);
    CPPUNIT_TEST(leavingTargetEndsWithItsWork);
    CPPUNIT_TEST(leavingTargetSurvivesTakeover);
    CPPUNIT_TEST(connectionsAreCoarse);
    CPPUNIT_TEST(checksAreSpread);
    CPPUNIT_TEST(callsFromSeveralThreads);
    CPPUNIT_TEST_SUITE_END();

    // Guards against targets of unknown services, other failure domains or borrowed names in the bucket
    // tables.
    void wrongAnnouncementsAreRejected()
    {
        TargetFixture fixture;
        auto message = fixture.announcement("t");
        message.service = "other";
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::UnknownService));
        message = fixture.announcement("t");
        message.failureDomain = "brezno";
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::WrongFailureDomain));
        message = fixture.announcement(std::string(longestTargetName + 1, 't'));
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::InvalidName));
        CPPUNIT_ASSERT(fixture.announce(fixture.announcement("t", 1)) == AnnouncementOutcome());
        message = fixture.announcement("t", 2);
        message.packetEndpoint.port = 9;
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::NameClash));
        CPPUNIT_ASSERT(fixture.record("t").startMark == 1);
        fixture.wait(clashPeriod);
        CPPUNIT_ASSERT(fixture.announce(message) == AnnouncementOutcome());
        CPPUNIT_ASSERT(fixture.record("t").packetEndpoint.port == 9);
        fixture.wait(clashPeriod);
        CPPUNIT_ASSERT(isRejected(fixture.announce(fixture.announcement("t", 1)),
                                  AnnouncementRejection::OutdatedStartMark));
        fixture.blackboard.ownStatus.update([](OwnStatus status) {
            status.lease = LeaseState::Expired;
            return status;
        });
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::NotServing));
    }

    // Guards against two instances that write the record of one target.
    void onlyDispatcherWrites()
    {
        TargetFixture fixture;
        fixture.announceAll(20);
        auto other = fixture.member("other", "zvolen");
        fixture.setMember(other);
        fixture.wait();
        auto const collectHandedOver = fixture.controller.collectHandedOver();
        CPPUNIT_ASSERT(!collectHandedOver.empty() && collectHandedOver.size() < 20);
        CPPUNIT_ASSERT(fixture.controller.collectHandedOver().empty());
        auto const name = [&] {
            for (int index = 0; index < 20; ++index) {
                if (TargetId::fromName("t" + std::to_string(index)) == collectHandedOver.front())
                    return "t" + std::to_string(index);
            }
            return std::string();
        }();
        auto const before = fixture.record(name);
        CPPUNIT_ASSERT(fixture.announce(fixture.announcement(name, 2))
                       == AnnouncementOutcome(AnnouncementRedirected{.dispatcher = other.id}));
        fixture.shed(name);
        fixture.checkOften(name, HealthAnswer::Unhealthy, 5);
        CPPUNIT_ASSERT(fixture.record(name) == before);
        // The other instance dies; its target comes back with a higher epoch.
        other.state = MemberState::Dead;
        fixture.setMember(other);
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record(name).sequence.epoch == before.sequence.epoch + 1);
        CPPUNIT_ASSERT_EQUAL(collectHandedOver.size(), fixture.controller.collectTakenOver().size());
    }

    // Guards against a new dispatcher that fills a target beside the work that its predecessor left there.
    void takeoverCountsUnseenWork()
    {
        TargetFixture fixture;
        TargetRecord record;
        record.id = TargetId::fromName("t");
        record.name = "t";
        record.service = ServiceId::fromName("cab-link");
        record.failureDomain = "zvolen";
        record.packetEndpoint = TargetFixture::announcement("t").packetEndpoint;
        record.state = TargetState::Warm;
        record.rampLevel = maxRampLevel;
        record.connections = 700;
        // A record of the own instance from before its restart is taken over as well.
        record.sequence = {.epoch = 7, .counter = 3, .owner = InstanceId::fromName("self")};
        fixture.blackboard.targets.update(record.id, [&](auto const &) { return std::optional(record); });
        fixture.wait();
        auto const usage = fixture.blackboard.usage.read(record.id)->value;
        CPPUNIT_ASSERT(fixture.record("t").sequence.epoch == 8);
        CPPUNIT_ASSERT(fixture.record("t").rampLevel == maxRampLevel);
        CPPUNIT_ASSERT(usage.inheritedSlots == 32 && usage.inheritedConnections == 700);
        CPPUNIT_ASSERT(usage.inheritedUntil == fixture.now + 5s);
        CPPUNIT_ASSERT(fixture.controller.collectTakenOver() == std::vector{record.id});
        CPPUNIT_ASSERT(fixture.blackboard.targetUpdates.contains(record.id));
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t").sequence.epoch == 8);
        // A restart voids the work that the predecessor may have left.
        fixture.announce(fixture.announcement("t", 2));
        CPPUNIT_ASSERT(fixture.blackboard.usage.read(record.id)->value.inheritedSlots == 0);
    }

    // Guards against a target that turned cold and gets the load of a warm one, also while it drains.
    void restartUnderLoadIsCold()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.warmUp("t0");
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.connections = 900; });
        fixture.announce(fixture.announcement("t0", 2));
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
        fixture.warmUp("t0");
        fixture.setConfiguration({"t0"});
        fixture.wait();
        fixture.announce(fixture.announcement("t0", 3));
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.setConfiguration({});
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
    }

    // Guards against a health endpoint that takes out a working target or keeps a dead one in.
    void ownCountsOverruleHealthEndpoint()
    {
        TargetFixture fixture;
        fixture.announceAll(5);
        for (int count = 0; count < 10; ++count) {
            fixture.answer("t0", 1);
            fixture.check("t0", {.answer = HealthAnswer::Unhealthy});
            fixture.changeUsage("t1", [](TargetUsage &usage) { ++usage.timedOut; });
            fixture.check("t1", {.answer = HealthAnswer::Healthy});
            fixture.wait();
        }
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t1").state == TargetState::Unhealthy);
        fixture.warmUp("t2");
        fixture.checkOften("t2", HealthAnswer::NoAnswer, 1); // It has answered since the check before.
        fixture.checkOften("t2", HealthAnswer::NoAnswer, failuresToExclude - 1);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Warm);
        fixture.checkOften("t2", HealthAnswer::NoAnswer, 1);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Unhealthy);
        fixture.checkOften("t2", HealthAnswer::Healthy, successesToReturn);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t2").rampLevel == 0);
        // Without announcements an endpoint that says healthy may be that of another process.
        fixture.wait(announcementLimit);
        fixture.checkOften("t3", HealthAnswer::Healthy, failuresToExclude);
        CPPUNIT_ASSERT(fixture.record("t3").state == TargetState::Unhealthy);
    }

    // Guards against a target that times out, is excluded, returns on its endpoint's word and times out
    // again.
    void relapseNeedsMoreChecks()
    {
        TargetFixture fixture;
        fixture.announceAll(3);
        fixture.checkOften("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.checkOften("t0", HealthAnswer::Healthy, successesToReturn);
        fixture.checkOften("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.checkOften("t0", HealthAnswer::Healthy, 2 * successesToReturn - 1);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        fixture.checkOften("t0", HealthAnswer::Healthy, 1);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        fixture.wait(relapseMemory);
        fixture.announceAll(3);
        fixture.checkOften("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.checkOften("t0", HealthAnswer::Healthy, successesToReturn);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
    }

    // Guards against records of targets that exist no more, and against late records that bring them back.
    void silentTargetIsForgotten()
    {
        TargetFixture fixture;
        fixture.announceAll(2);
        fixture.wait(silenceLimit - 1s);
        CPPUNIT_ASSERT(fixture.record("t0").state != TargetState::Gone);
        fixture.answer("t1", 1);
        fixture.wait(1s);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
        CPPUNIT_ASSERT(fixture.record("t1").state != TargetState::Gone);
        auto const epoch = fixture.record("t0").sequence.epoch;
        fixture.announce(fixture.announcement("t0", 2));
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t0").sequence.epoch > epoch);
        fixture.wait(silenceLimit);
        fixture.wait(goneTargetKept);
        fixture.wait(goneTargetKept);
        CPPUNIT_ASSERT(!fixture.blackboard.targets.contains(TargetId::fromName("t0")));
    }

    // Guards against a fault of the view, such as a broken health endpoint in a new version, that takes a
    // whole service out.
    void massFailureIsDoubted()
    {
        checkTargetProperty("more than half of a service is never excluded", [] {
            auto const count = *rc::gen::inRange<std::size_t>(1, 12);
            TargetFixture fixture;
            fixture.announceAll(count);
            int const stepCount = *rc::gen::inRange(1, 40);
            for (int step = 0; step < stepCount; ++step) {
                auto const name = "t" + std::to_string(*rc::gen::inRange<std::size_t>(0, count));
                auto const health =
                    *rc::gen::element(HealthAnswer::NoAnswer, HealthAnswer::NoAnswer, HealthAnswer::Healthy);
                fixture.checkOften(name, health, failuresToExclude);
                std::size_t unhealthy = 0;
                for (auto const &[id, record] : fixture.blackboard.targets.entries())
                    unhealthy += record.state == TargetState::Unhealthy ? 1 : 0;
                RC_ASSERT(2 * unhealthy <= count);
            }
        });
        TargetFixture fixture;
        fixture.announceAll(4);
        for (auto const *name : {"t0", "t1", "t2"})
            fixture.checkOften(name, HealthAnswer::NoAnswer, failuresToExclude);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.countEvents(Event::HealthViewDoubted));
        // When one of them has recovered and the doubt is over, the two others are excluded.
        fixture.checkOften("t2", HealthAnswer::Healthy, 1);
        fixture.wait(doubtPeriod);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        CPPUNIT_ASSERT(fixture.record("t2").state != TargetState::Unhealthy);
    }

    // Guards against dispatchers that each exclude less than half of a service and together more.
    void doubtSpansDispatchers()
    {
        TargetFixture fixture;
        fixture.announceAll(3);
        fixture.checkOften("t0", HealthAnswer::NoAnswer, failuresToExclude);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        auto foreign = fixture.record("t1");
        foreign.failureDomain = "brezno";
        foreign.state = TargetState::Unhealthy;
        foreign.id = TargetId::fromName("foreign");
        fixture.blackboard.targets.update(foreign.id, [&](auto const &) { return std::optional(foreign); });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        foreign.id = TargetId::fromName("foreign2");
        fixture.blackboard.targets.update(foreign.id, [&](auto const &) { return std::optional(foreign); });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        // The other dispatcher restores its target as well, which must not start the exclusions again at
        // once.
        foreign.state = TargetState::Starting;
        fixture.blackboard.targets.update(foreign.id, [&](auto const &) { return std::optional(foreign); });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        fixture.wait(doubtPeriod);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
    }

    // Guards against new work for a target that operators drain, and against a target that has to climb again
    // after a drain without a restart.
    void drainKeepsTheLevel()
    {
        TargetFixture fixture;
        fixture.announceAll(2);
        fixture.warmUp("t0");
        fixture.setConfiguration({"t0"});
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        CPPUNIT_ASSERT(fixture.record("t1").state == TargetState::Starting);
        fixture.setConfiguration({});
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
    }

    // Guards against flows that are cut off because their leaving target is forgotten too early.
    void leavingTargetEndsWithItsWork()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.connections = 1; });
        auto leaving = fixture.announcement("t0");
        leaving.state = AnnouncedState::Leaving;
        fixture.announce(leaving);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.wait(5s);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.connections = 0; });
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
        // It repeats its announcement until it exits.
        auto const before = fixture.record("t0");
        fixture.announce(leaving);
        fixture.wait();
        CPPUNIT_ASSERT(fixture.record("t0") == before);
    }

    // Guards against flows of a leaving target that are silent during a takeover, so that the new dispatcher
    // does not count them, and that lose their target.
    void leavingTargetSurvivesTakeover()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        auto record = fixture.record("t0");
        record.state = TargetState::Draining;
        record.sequence = {.epoch = 7, .counter = 1, .owner = InstanceId{1}};
        fixture.blackboard.targets.update(record.id, [&](auto const &) { return std::optional(record); });
        fixture.wait();
        auto leaving = fixture.announcement("t0");
        leaving.state = AnnouncedState::Leaving;
        for (int step = 0; step < 10; ++step) {
            fixture.announce(leaving);
            fixture.wait(3s);
            CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        }
        fixture.wait(announcementLimit);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
    }

    // Guards against control messages whose number grows with the number of flows.
    void connectionsAreCoarse()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        auto const writes = fixture.controller.counters().recordWrites;
        for (std::uint32_t connections = 1; connections <= 1600; ++connections) {
            fixture.changeUsage("t0", [&](TargetUsage &usage) { usage.connections = connections; });
            fixture.wait(10ms);
        }
        CPPUNIT_ASSERT(fixture.record("t0").connections >= 1400);
        CPPUNIT_ASSERT(fixture.controller.counters().recordWrites - writes <= 8);
    }

    // Guards against health checks that come in bursts, or never.
    void checksAreSpread()
    {
        TargetFixture fixture;
        constexpr std::size_t count = 200;
        fixture.announceAll(count);
        fixture.controller.takeDueHealthChecks(fixture.now);
        std::map<TargetId, int> checks;
        std::size_t largest = 0;
        for (int step = 0; step < 100; ++step) {
            fixture.now += 50ms;
            auto const due = fixture.controller.takeDueHealthChecks(fixture.now);
            largest = std::max(largest, due.size());
            for (HealthCheck const &check : due)
                ++checks[check.target];
        }
        CPPUNIT_ASSERT_EQUAL(count, checks.size());
        for (auto const &[target, number] : checks)
            CPPUNIT_ASSERT_EQUAL(5, number);
        CPPUNIT_ASSERT(largest < count / 5);
    }

    // Guards against data races, and against two threads that publish a mixture of two states.
    void callsFromSeveralThreads()
    {
        TargetFixture fixture;
        fixture.controller.tick(fixture.now);
        Blackboard &blackboard = fixture.blackboard;
        TargetController controller(blackboard, {},
                                    Outbox{.sendToCaller = {},
                                           .sendToTarget = {},
                                           .sendToInstance = {},
                                           .report = [](Event, std::string const &) {}});
        std::vector<std::jthread> threads;
        for (std::uint64_t thread = 0; thread < 4; ++thread)
            threads.emplace_back([&, thread] {
                for (std::uint64_t count = 1; count <= 200; ++count) {
                    auto const now = Timestamp(1000s) + static_cast<Duration::rep>(count) * 20ms;
                    controller.handleAnnouncement(TargetFixture::announcement("t", 1000 * thread + count),
                                                  now);
                    controller.handleHealthReport(TargetId::fromName("t"), {.answer = HealthAnswer::Healthy},
                                                  now);
                    controller.tick(now);
                    (void)controller.takeDueHealthChecks(now);
                }
            });
        threads.clear();
        CPPUNIT_ASSERT(fixture.record("t").rampLevel == 0);
        CPPUNIT_ASSERT(fixture.record("t").startMark % 1000 == 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTest);

} // namespace almondwing
