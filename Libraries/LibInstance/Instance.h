// All controllers of one instance on one blackboard. It gets decoded messages and the time as arguments, and
// its output goes through hooks. There is no socket, codec, clock or thread inside, so that the daemon and
// the property tests run the same code.

#pragma once

#include <LibConfiguration/ConfigurationInstaller.h>
#include <LibInstance/CallerRouter.h>
#include <LibMembership/MembershipController.h>
#include <LibRequests/RequestController.h>
#include <LibRouting/ClaimController.h>
#include <LibRouting/FlowController.h>
#include <LibRouting/FlowSweeper.h>
#include <LibRouting/HandoverController.h>
#include <LibRouting/RoutingController.h>
#include <LibState/Blackboard.h>
#include <LibTargets/TargetController.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace almondwing {

struct InstanceSettings
{
    MembershipSettings membership;
    TargetSettings targets;
    RequestSettings requests;
};

// A graceful stop ends when all work is done, or after this time at the latest.
constexpr Duration maxStopTime = 120s;

// After its last work a stopping instance still forwards arriving messages for this time, until the other
// instances have learned that it is leaving.
constexpr Duration stopLingerTime = 3s;

constexpr Duration targetTickInterval = 100ms;

class Instance
{
public:
    Instance(InstanceSettings const &settings, Outbox const &outbox, RandomSource random);

    void start(MemberRecord const &self, std::span<MemberRecord const> seeds, Timestamp now);

    void handleCallerMessage(Endpoint caller, CallerMessage message, Timestamp now);
    void handleTargetMessage(Endpoint from, TargetMessage const &message, Timestamp now);
    void handlePeerMessage(InstanceId from, Endpoint fromEndpoint, PeerMessage const &message, Timestamp now);
    AnnouncementOutcome handleAnnouncement(TargetAnnouncement const &announcement, Timestamp now);
    void handleHealthReport(TargetId target, HealthReport const &report, Timestamp now);
    InstallOutcome handleConfiguration(Configuration const &configuration);
    void handleRecords(std::span<MemberRecord const> members, std::span<TargetRecord const> targets,
                       Timestamp now);

    // To be called every 25 ms. Each controller keeps its own intervals.
    void tick(Timestamp now);

    // Sends at most one part of a bulk answer. Returns the time of the next call, or nothing if no part is
    // pending.
    std::optional<Timestamp> sendNextBulkPart(Timestamp now);

    // Returns the health checks that are due and counts them as started.
    std::vector<HealthCheck> takeDueHealthChecks(Timestamp now);
    // Returns the peer whose records are to be fetched, if a fetch is due, and counts the fetch as started.
    std::optional<InstanceId> startDueRecordFetch(Timestamp now);
    ReportedConfiguration highestReportedConfiguration() const;

    void beginStop(Timestamp now);
    bool isStopped(Timestamp now) const;

    Blackboard &state() { return this->blackboard; }
    Blackboard const &state() const { return this->blackboard; }
    MembershipController const &membershipController() const { return this->membership; }
    FlowController const &flowController() const { return this->flows; }
    FlowSweeper const &flowSweeper() const { return this->sweeper; }
    TargetController const &targetController() const { return this->targets; }
    CallerRouter const &callerRouter() const { return this->router; }

private:
    void handleDispatcherChanges(Timestamp now);
    bool isTargetTickDue(Timestamp now);
    void handleNewIncarnation(Timestamp now);

    Blackboard blackboard;
    MembershipController membership;
    TargetController targets;
    RoutingController routing;
    FlowController flows;
    FlowSweeper sweeper;
    RequestController requests;
    ClaimController claims;
    HandoverController handover;
    ConfigurationInstaller configurationInstaller;
    CallerRouter router;
    // The incarnation of this instance at the latest tick; 0 before the first tick.
    std::atomic<std::uint64_t> knownIncarnation{0};
    std::atomic<Duration::rep> lastTargetTick{0}; // Microseconds of the steady clock.
    std::atomic<Duration::rep> stopBegunAt{0}; // Microseconds of the steady clock; 0 before a stop.
    std::atomic<Duration::rep> idleSince{0}; // Microseconds of the steady clock; 0 while there is work.
};

} // namespace almondwing
