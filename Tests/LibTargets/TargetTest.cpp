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
    CPPUNIT_TEST(invalidAnnouncementsAreRejected);
    CPPUNIT_TEST(onlyDispatcherWritesRecord);
    CPPUNIT_TEST(takeoverCountsInheritedWork);
    CPPUNIT_TEST(restartResetsRampLevel);
    CPPUNIT_TEST(ownCountsOverrideHealthEndpoint);
    CPPUNIT_TEST(repeatedExclusionNeedsMoreChecks);
    CPPUNIT_TEST(silentTargetIsRemoved);
    CPPUNIT_TEST(massFailureExcludesNoTarget);
    CPPUNIT_TEST(massFailureSpansDispatchers);
    CPPUNIT_TEST(drainKeepsRampLevel);
    CPPUNIT_TEST(leavingTargetIsKeptUntilIdle);
    CPPUNIT_TEST(leavingTargetSurvivesTakeover);
    CPPUNIT_TEST(smallConnectionChangesAreNotPublished);
    CPPUNIT_TEST(healthChecksAreSpread);
    CPPUNIT_TEST(concurrentCallsKeepRecordConsistent);
    CPPUNIT_TEST_SUITE_END();

    // Guards against target records with an unknown service, another failure domain or the name of another
    // target.
    void invalidAnnouncementsAreRejected()
    {
        TargetFixture fixture;
        auto message = fixture.announcement("t");
        message.service = "other";
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::UnknownService));
        message = fixture.announcement("t");
        message.failureDomain = "brezno";
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::WrongFailureDomain));
        message = fixture.announcement(std::string(maxTargetNameLength + 1, 't'));
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::InvalidName));
        CPPUNIT_ASSERT(fixture.announce(fixture.announcement("t", 1)) == AnnouncementOutcome());
        message = fixture.announcement("t", 2);
        message.packetEndpoint.port = 9;
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::NameClash));
        CPPUNIT_ASSERT(fixture.record("t").startMark == 1);
        fixture.advance(nameClashWindow);
        CPPUNIT_ASSERT(fixture.announce(message) == AnnouncementOutcome());
        CPPUNIT_ASSERT(fixture.record("t").packetEndpoint.port == 9);
        fixture.advance(nameClashWindow);
        CPPUNIT_ASSERT(isRejected(fixture.announce(fixture.announcement("t", 1)),
                                  AnnouncementRejection::OutdatedStartMark));
        fixture.blackboard.ownStatus.update([](OwnStatus status) {
            status.lease = LeaseState::Expired;
            return status;
        });
        CPPUNIT_ASSERT(isRejected(fixture.announce(message), AnnouncementRejection::NotServing));
    }

    // Guards against two instances that write the record of one target.
    void onlyDispatcherWritesRecord()
    {
        TargetFixture fixture;
        fixture.announceAll(20);
        auto other = fixture.member("other", "zvolen");
        fixture.setMember(other);
        fixture.advance();
        auto const released = fixture.controller.collectHandedOver();
        CPPUNIT_ASSERT(!released.empty() && released.size() < 20);
        CPPUNIT_ASSERT(fixture.controller.collectHandedOver().empty());
        auto const name = [&] {
            for (int index = 0; index < 20; ++index) {
                if (TargetId::fromName("t" + std::to_string(index)) == released.front())
                    return "t" + std::to_string(index);
            }
            return std::string();
        }();
        auto const before = fixture.record(name);
        CPPUNIT_ASSERT(fixture.announce(fixture.announcement(name, 2))
                       == AnnouncementOutcome(AnnouncementRedirected{.dispatcher = other.id}));
        fixture.shed(name);
        fixture.reportHealthChecks(name, HealthAnswer::Unhealthy, 5);
        CPPUNIT_ASSERT(fixture.record(name) == before);
        // The other instance dies, and its targets are taken over with a higher epoch.
        other.state = MemberState::Dead;
        fixture.setMember(other);
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record(name).sequence.epoch == before.sequence.epoch + 1);
        CPPUNIT_ASSERT_EQUAL(released.size(), fixture.controller.collectTakenOver().size());
    }

    // Guards against a new dispatcher that overfills a target because it does not count the work that the
    // previous dispatcher left there.
    void takeoverCountsInheritedWork()
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
        // The owner is an earlier process of the same instance, whose records are taken over as well.
        record.sequence = {.epoch = 7, .counter = 3, .owner = InstanceId::fromName("self")};
        fixture.blackboard.targets.update(record.id, [&](auto const &) { return std::optional(record); });
        fixture.advance();
        auto const usage = fixture.blackboard.usage.read(record.id)->value;
        CPPUNIT_ASSERT(fixture.record("t").sequence.epoch == 8);
        CPPUNIT_ASSERT(fixture.record("t").rampLevel == maxRampLevel);
        CPPUNIT_ASSERT(usage.inheritedSlots == 32 && usage.inheritedConnections == 700);
        CPPUNIT_ASSERT(usage.inheritedUntil == fixture.now + 5s);
        CPPUNIT_ASSERT(fixture.controller.collectTakenOver() == std::vector{record.id});
        CPPUNIT_ASSERT(fixture.blackboard.targetUpdates.contains(record.id));
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t").sequence.epoch == 8);
        // A restart of the target ends the work that the previous dispatcher may have left.
        fixture.announce(fixture.announcement("t", 2));
        CPPUNIT_ASSERT(fixture.blackboard.usage.read(record.id)->value.inheritedSlots == 0);
    }

    // Guards against a restarted and therefore cold target that gets the load of a warm one, also if it
    // restarts while it drains.
    void restartResetsRampLevel()
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
        fixture.advance();
        fixture.announce(fixture.announcement("t0", 3));
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.setConfiguration({});
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == 0);
    }

    // Guards against a health endpoint whose answer excludes a working target or keeps a dead one included.
    void ownCountsOverrideHealthEndpoint()
    {
        TargetFixture fixture;
        fixture.announceAll(5);
        for (int count = 0; count < 10; ++count) {
            fixture.answerRequests("t0", 1);
            fixture.reportHealthCheck("t0", {.answer = HealthAnswer::Unhealthy});
            fixture.changeUsage("t1", [](TargetUsage &usage) { ++usage.timedOut; });
            fixture.reportHealthCheck("t1", {.answer = HealthAnswer::Healthy});
            fixture.advance();
        }
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t1").state == TargetState::Unhealthy);
        fixture.warmUp("t2");
        // The first check still passes, because t2 has answered requests since the previous check.
        fixture.reportHealthChecks("t2", HealthAnswer::NoAnswer, 1);
        fixture.reportHealthChecks("t2", HealthAnswer::NoAnswer, failuresToExclude - 1);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Warm);
        fixture.reportHealthChecks("t2", HealthAnswer::NoAnswer, 1);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Unhealthy);
        fixture.reportHealthChecks("t2", HealthAnswer::Healthy, successesToReturn);
        CPPUNIT_ASSERT(fixture.record("t2").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t2").rampLevel == 0);
        // Without announcements, an endpoint that reports healthy may belong to another process.
        fixture.advance(announcementTimeout);
        fixture.reportHealthChecks("t3", HealthAnswer::Healthy, failuresToExclude);
        CPPUNIT_ASSERT(fixture.record("t3").state == TargetState::Unhealthy);
    }

    // Guards against a target that is repeatedly excluded because of timeouts and included again because its
    // health endpoint reports healthy.
    void repeatedExclusionNeedsMoreChecks()
    {
        TargetFixture fixture;
        fixture.announceAll(3);
        fixture.reportHealthChecks("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.reportHealthChecks("t0", HealthAnswer::Healthy, successesToReturn);
        fixture.reportHealthChecks("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.reportHealthChecks("t0", HealthAnswer::Healthy, 2 * successesToReturn - 1);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        fixture.reportHealthChecks("t0", HealthAnswer::Healthy, 1);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        fixture.advance(repeatedExclusionWindow);
        fixture.announceAll(3);
        fixture.reportHealthChecks("t0", HealthAnswer::NoAnswer, failuresToExclude);
        fixture.reportHealthChecks("t0", HealthAnswer::Healthy, successesToReturn);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
    }

    // Guards against records of targets that no longer exist, and against a new record whose epoch is not
    // above that of the gone one.
    void silentTargetIsRemoved()
    {
        TargetFixture fixture;
        fixture.announceAll(2);
        fixture.advance(silentTargetTimeout - 1s);
        CPPUNIT_ASSERT(fixture.record("t0").state != TargetState::Gone);
        fixture.answerRequests("t1", 1);
        fixture.advance(1s);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
        CPPUNIT_ASSERT(fixture.record("t1").state != TargetState::Gone);
        auto const epoch = fixture.record("t0").sequence.epoch;
        fixture.announce(fixture.announcement("t0", 2));
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        CPPUNIT_ASSERT(fixture.record("t0").sequence.epoch > epoch);
        fixture.advance(silentTargetTimeout);
        fixture.advance(goneTargetRetention);
        fixture.advance(goneTargetRetention);
        CPPUNIT_ASSERT(!fixture.blackboard.targets.contains(TargetId::fromName("t0")));
    }

    // Guards against a fault of the health data, such as a broken health endpoint in a new version, that
    // excludes all targets of a service.
    void massFailureExcludesNoTarget()
    {
        requireProperty("more than half of a service is never excluded", [] {
            auto const count = *rc::gen::inRange<std::size_t>(1, 12);
            TargetFixture fixture;
            fixture.announceAll(count);
            int const stepCount = *rc::gen::inRange(1, 40);
            for (int step = 0; step < stepCount; ++step) {
                auto const name = "t" + std::to_string(*rc::gen::inRange<std::size_t>(0, count));
                auto const health =
                    *rc::gen::element(HealthAnswer::NoAnswer, HealthAnswer::NoAnswer, HealthAnswer::Healthy);
                fixture.reportHealthChecks(name, health, failuresToExclude);
                std::size_t unhealthy = 0;
                for (auto const &[id, record] : fixture.blackboard.targets.entries())
                    unhealthy += record.state == TargetState::Unhealthy ? 1 : 0;
                RC_ASSERT(2 * unhealthy <= count);
            }
        });
        TargetFixture fixture;
        fixture.announceAll(4);
        for (auto const *name : {"t0", "t1", "t2"})
            fixture.reportHealthChecks(name, HealthAnswer::NoAnswer, failuresToExclude);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.countEvents(Event::HealthViewDoubted));
        // Once one of them has recovered and the pause has ended, the two others are excluded.
        fixture.reportHealthChecks("t2", HealthAnswer::Healthy, 1);
        fixture.advance(exclusionPause);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        CPPUNIT_ASSERT(fixture.record("t2").state != TargetState::Unhealthy);
    }

    // Guards against dispatchers that each exclude less than half of a service and together more than half.
    void massFailureSpansDispatchers()
    {
        TargetFixture fixture;
        fixture.announceAll(3);
        fixture.reportHealthChecks("t0", HealthAnswer::NoAnswer, failuresToExclude);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        auto otherRecord = fixture.record("t1");
        otherRecord.failureDomain = "brezno";
        otherRecord.state = TargetState::Unhealthy;
        otherRecord.id = TargetId::fromName("foreign");
        fixture.blackboard.targets.update(otherRecord.id,
                                          [&](auto const &) { return std::optional(otherRecord); });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
        otherRecord.id = TargetId::fromName("foreign2");
        fixture.blackboard.targets.update(otherRecord.id,
                                          [&](auto const &) { return std::optional(otherRecord); });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        // The other dispatcher includes its target again as well, which must not restart the exclusions
        // before the pause has ended.
        otherRecord.state = TargetState::Starting;
        fixture.blackboard.targets.update(otherRecord.id,
                                          [&](auto const &) { return std::optional(otherRecord); });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Starting);
        fixture.advance(exclusionPause);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Unhealthy);
    }

    // Guards against new work for a target that operators drain, and against a ramp that starts again after a
    // drain without a restart.
    void drainKeepsRampLevel()
    {
        TargetFixture fixture;
        fixture.announceAll(2);
        fixture.warmUp("t0");
        fixture.setConfiguration({"t0"});
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        CPPUNIT_ASSERT(fixture.record("t1").state == TargetState::Starting);
        fixture.setConfiguration({});
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Warm);
        CPPUNIT_ASSERT(fixture.record("t0").rampLevel == maxRampLevel);
    }

    // Guards against flows that break because the record of their leaving target is removed too early.
    void leavingTargetIsKeptUntilIdle()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.connections = 1; });
        auto leaving = fixture.announcement("t0");
        leaving.state = AnnouncedState::Leaving;
        fixture.announce(leaving);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.advance(5s);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        fixture.changeUsage("t0", [](TargetUsage &usage) { usage.connections = 0; });
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
        // The target repeats its announcement until it exits, which must not restore its record.
        auto const before = fixture.record("t0");
        fixture.announce(leaving);
        fixture.advance();
        CPPUNIT_ASSERT(fixture.record("t0") == before);
    }

    // Guards against flows that lose their leaving target after a takeover because they are idle, so that the
    // new dispatcher does not count them.
    void leavingTargetSurvivesTakeover()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        auto record = fixture.record("t0");
        record.state = TargetState::Draining;
        record.sequence = {.epoch = 7, .counter = 1, .owner = InstanceId{1}};
        fixture.blackboard.targets.update(record.id, [&](auto const &) { return std::optional(record); });
        fixture.advance();
        auto leaving = fixture.announcement("t0");
        leaving.state = AnnouncedState::Leaving;
        for (int step = 0; step < 10; ++step) {
            fixture.announce(leaving);
            fixture.advance(3s);
            CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Draining);
        }
        fixture.advance(announcementTimeout);
        CPPUNIT_ASSERT(fixture.record("t0").state == TargetState::Gone);
    }

    // Guards against a number of control messages that grows with the number of flows.
    void smallConnectionChangesAreNotPublished()
    {
        TargetFixture fixture;
        fixture.announceAll(1);
        auto const writes = fixture.controller.counters().recordWrites;
        for (std::uint32_t connections = 1; connections <= 1600; ++connections) {
            fixture.changeUsage("t0", [&](TargetUsage &usage) { usage.connections = connections; });
            fixture.advance(10ms);
        }
        CPPUNIT_ASSERT(fixture.record("t0").connections >= 1400);
        CPPUNIT_ASSERT(fixture.controller.counters().recordWrites - writes <= 8);
    }

    // Guards against health checks that are due in bursts or never.
    void healthChecksAreSpread()
    {
        TargetFixture fixture;
        constexpr std::size_t count = 200;
        fixture.announceAll(count);
        fixture.controller.takeDueHealthChecks(fixture.now);
        std::map<TargetId, int> checks;
        std::size_t maxDue = 0;
        for (int step = 0; step < 100; ++step) {
            fixture.now += 50ms;
            auto const due = fixture.controller.takeDueHealthChecks(fixture.now);
            maxDue = std::max(maxDue, due.size());
            for (HealthCheck const &check : due)
                ++checks[check.target];
        }
        CPPUNIT_ASSERT_EQUAL(count, checks.size());
        for (auto const &[target, number] : checks)
            CPPUNIT_ASSERT_EQUAL(5, number);
        CPPUNIT_ASSERT(maxDue < count / 5);
    }

    // Guards against data races and against two threads that publish a mixture of two states.
    void concurrentCallsKeepRecordConsistent()
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
