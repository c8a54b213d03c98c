// A target controller with its blackboard, and helpers for the steps that tests repeat.

#pragma once

#include <LibTargets/TargetController.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace almondwing {

inline void requireProperty(std::string const &name, std::function<void()> const &property)
{
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
}

class TargetFixture
{
public:
    TargetFixture()
    {
        this->blackboard.ownStatus.update([](OwnStatus status) {
            status.self = member("self", "zvolen");
            status.phase = InstancePhase::Serving;
            status.lease = LeaseState::Held;
            return status;
        });
        this->setMember(member("self", "zvolen"));
        this->setConfiguration({});
    }

    static MemberRecord member(std::string const &name, std::string const &failureDomain)
    {
        MemberRecord record;
        record.id = InstanceId::fromName(name);
        record.name = name;
        record.failureDomain = failureDomain;
        record.incarnation = 1;
        return record;
    }

    static TargetAnnouncement announcement(std::string const &name, std::uint64_t startMark = 1)
    {
        return TargetAnnouncement{.name = name,
                                  .service = "cab-link",
                                  .failureDomain = "zvolen",
                                  .packetEndpoint = {.address = 1, .port = 1},
                                  .httpEndpoint = {.address = 1, .port = 2},
                                  .startMark = startMark};
    }

    void setMember(MemberRecord const &record)
    {
        this->blackboard.members.update(record.id, [&](auto const &) { return std::optional(record); });
    }

    void setConfiguration(std::vector<std::string> drainingTargets)
    {
        this->blackboard.configuration.update([&](Configuration const &before) {
            Configuration next{.version = before.version + 1, .manifest = {}};
            next.manifest.pools = {{.name = "pool", .limits = {.slots = 32, .connections = 1600}}};
            next.manifest.services = {{.name = "cab-link", .address = {}, .pool = "pool"}};
            next.manifest.drainingTargets = drainingTargets;
            return next;
        });
    }

    AnnouncementOutcome announce(TargetAnnouncement const &message)
    {
        return this->controller.handleAnnouncement(message, this->now);
    }

    void announceAll(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->announce(announcement("t" + std::to_string(index)));
    }

    void changeUsage(std::string const &name, std::function<void(TargetUsage &)> const &change)
    {
        this->blackboard.usage.update(TargetId::fromName(name), [&](std::optional<TargetUsage> usage) {
            usage = usage.value_or(TargetUsage{});
            change(*usage);
            return usage;
        });
    }

    void answerRequests(std::string const &name, std::uint64_t count)
    {
        this->changeUsage(name, [&](TargetUsage &usage) {
            usage.answered += count;
            usage.lastReceived = this->now;
        });
    }

    void shed(std::string const &name)
    {
        this->changeUsage(name, [](TargetUsage &usage) { ++usage.shed; });
    }

    void reportHealthCheck(std::string const &name, HealthReport const &report)
    {
        this->controller.handleHealthReport(TargetId::fromName(name), report, this->now);
    }

    void advance(Duration duration = 250ms)
    {
        this->now += duration;
        this->controller.tick(this->now);
    }

    // Completes work until the ramp has reached the highest level that it may.
    void warmUp(std::string const &name)
    {
        for (int step = 0; step < 8; ++step) {
            this->answerRequests(name, 100);
            this->advance(minTimeAtLevel);
            this->announce(announcement(name, this->record(name).startMark));
        }
    }

    // Reports `count` health checks with the same answer, then advances the time and ticks.
    void reportHealthChecks(std::string const &name, HealthAnswer health, std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index)
            this->reportHealthCheck(name, {.answer = health});
        this->advance();
    }

    TargetRecord record(std::string const &name) const
    {
        return this->blackboard.targets.read(TargetId::fromName(name))->value;
    }

    std::size_t countEvents(Event event) const
    {
        return static_cast<std::size_t>(std::ranges::count(this->events, event));
    }

    Blackboard blackboard;
    std::vector<Event> events;
    Timestamp now = Timestamp(1000s);
    TargetController controller{
        this->blackboard,
        {},
        Outbox{.sendToCaller = {},
               .sendToTarget = {},
               .sendToInstance = {},
               .report = [this](Event event, std::string const &) { this->events.push_back(event); }}};
};

} // namespace almondwing
