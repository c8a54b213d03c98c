// Implements an instance by passing messages and ticks to its controllers.

#include <LibInstance/Instance.h>

#include <utility>

namespace almondwing {

Instance::Instance(InstanceSettings const &settings, Outbox const &outbox, RandomSource random)
    : membership(blackboard, settings.membership, outbox, random),
      targets(blackboard, settings.targets, outbox), routing(blackboard), flows(blackboard, outbox),
      sweeper(blackboard, outbox), requests(blackboard, settings.requests, outbox, std::move(random)),
      claims(blackboard, outbox,
             [this](TargetId target) {
                 auto const buckets = this->requests.bucketsInUse(target);
                 return std::vector<std::uint16_t>(buckets.begin(), buckets.end());
             }),
      handover(blackboard, outbox), configurationInstaller(blackboard, outbox.report),
      router(blackboard, outbox, CallerControllers{this->membership, this->flows, this->requests})
{
}

void Instance::start(MemberRecord const &self, std::span<MemberRecord const> seeds, Timestamp now)
{
    this->membership.start(self, seeds, now);
}

void Instance::handleCallerMessage(Endpoint caller, CallerMessage message, Timestamp now)
{
    this->router.handleFromCaller(caller, std::move(message), now);
}

void Instance::handleTargetMessage(Endpoint from, TargetMessage const &message, Timestamp now)
{
    if (auto const *const started = std::get_if<RequestStarted>(&message))
        this->requests.handleTargetMessage(from, *started, now);
    else if (auto const *const shed = std::get_if<Shed>(&message))
        this->requests.handleTargetMessage(from, *shed, now);
    else if (auto const *const ended = std::get_if<RunEnded>(&message))
        this->requests.handleTargetMessage(from, *ended, now);
    else if (auto const *const part = std::get_if<AnswerPart>(&message))
        this->requests.handleTargetMessage(from, *part, now);
    else
        this->flows.handleTargetMessage(from, message, now);
}

void Instance::handlePeerMessage(InstanceId from, Endpoint fromEndpoint, PeerMessage const &message,
                                 Timestamp now)
{
    if (auto const *const forwarded = std::get_if<Forwarded>(&message))
        this->router.handleForwarded(*forwarded, now);
    else if (auto const *const found = std::get_if<FlowFound>(&message))
        this->flows.handleFlowFound(*found, now);
    else if (auto const *const claim = std::get_if<ClaimUpdate>(&message))
        this->claims.handleClaim(*claim);
    else if (auto const *const update = std::get_if<ExceptionUpdate>(&message))
        this->handover.handleUpdate(*update, now);
    else if (auto const *const ping = std::get_if<Ping>(&message))
        this->membership.handlePeerMessage(from, fromEndpoint, *ping, now);
    else if (auto const *const ack = std::get_if<Ack>(&message))
        this->membership.handlePeerMessage(from, fromEndpoint, *ack, now);
    else if (auto const *const indirect = std::get_if<IndirectPing>(&message))
        this->membership.handlePeerMessage(from, fromEndpoint, *indirect, now);
    else if (auto const *const record = std::get_if<RecordRequest>(&message))
        this->requests.handlePeerMessage(from, *record, now);
    else if (auto const *const reply = std::get_if<RecordReply>(&message))
        this->requests.handlePeerMessage(from, *reply, now);
    else if (auto const *const release = std::get_if<RecordRelease>(&message))
        this->requests.handlePeerMessage(from, *release, now);
    else if (auto const *const locate = std::get_if<Locate>(&message))
        this->requests.handlePeerMessage(from, *locate, now);
    else if (auto const *const located = std::get_if<LocateReply>(&message))
        this->requests.handlePeerMessage(from, *located, now);
}

AnnouncementOutcome Instance::handleAnnouncement(TargetAnnouncement const &announcement, Timestamp now)
{
    return this->targets.handleAnnouncement(announcement, now);
}

void Instance::handleHealthReport(TargetId target, HealthReport const &report, Timestamp now)
{
    this->targets.handleHealthReport(target, report, now);
}

InstallOutcome Instance::handleConfiguration(Configuration const &configuration)
{
    return this->configurationInstaller.install(configuration);
}

void Instance::handleRecords(std::span<MemberRecord const> members, std::span<TargetRecord const> records,
                             Timestamp now)
{
    this->membership.mergeRecords(members, records, now);
}

void Instance::tick(Timestamp now)
{
    this->membership.tick(now);
    if (this->isTargetTickDue(now))
        this->targets.tick(now);
    this->routing.refresh(now);
    this->sweeper.refreshFlowTableStatus(now);
    this->handleNewIncarnation(now);
    this->handleDispatcherChanges(now);
    this->router.tick(now);
    this->claims.tick(now);
    this->handover.tick(now);
    this->sweeper.tick(now);
    this->requests.tick(now);
    if (this->stopBegunAt == 0)
        return;
    bool const isIdle = this->requests.isIdle() && !this->handover.hasFlowsToHandOver()
        && !this->router.hasUnsettledMessages();
    if (!isIdle)
        this->idleSince = 0;
    else if (this->idleSince == 0)
        this->idleSince = now.time_since_epoch().count();
}

// Records of targets change on a scale of seconds, so the target controller need not check all of them at
// every tick.
bool Instance::isTargetTickDue(Timestamp now)
{
    Duration::rep const last = this->lastTargetTick;
    Duration::rep const current = now.time_since_epoch().count();
    if (last != 0 && Duration(current - last) < targetTickInterval)
        return false;
    this->lastTargetTick = current;
    return true;
}

// Membership increments the incarnation when it detects that the process was paused, and when it refutes an
// outdated record of this instance. In both cases a successor may have opened flows meanwhile, so the flow
// tables of this instance count as partial.
void Instance::handleNewIncarnation(Timestamp now)
{
    std::uint64_t const incarnation = this->blackboard.ownStatus.read()->self.incarnation;
    std::uint64_t const before = this->knownIncarnation.exchange(incarnation);
    if (before != 0 && before != incarnation)
        this->sweeper.markFlowTablesPartial(now);
}

void Instance::handleDispatcherChanges(Timestamp now)
{
    for (TargetId const target : this->targets.collectTakenOver())
        this->requests.handleTakeover(target, now);
    // Another instance now dispatches for a target that this one has given up. The handover of its flows
    // needs nothing here, so the list is only cleared.
    static_cast<void>(this->targets.collectHandedOver());
}

std::optional<Timestamp> Instance::sendNextBulkPart(Timestamp now)
{
    return this->requests.sendNextBulkPart(now);
}

std::vector<HealthCheck> Instance::takeDueHealthChecks(Timestamp now)
{
    return this->targets.takeDueHealthChecks(now);
}

std::optional<InstanceId> Instance::startDueRecordFetch(Timestamp now)
{
    return this->membership.startDueRecordFetch(now);
}

ReportedConfiguration Instance::highestReportedConfiguration() const
{
    return this->membership.highestReportedConfiguration();
}

void Instance::beginStop(Timestamp now)
{
    this->stopBegunAt = now.time_since_epoch().count();
    this->membership.leave(now);
    this->requests.beginStop(now);
}

bool Instance::isStopped(Timestamp now) const
{
    if (this->stopBegunAt == 0)
        return false;
    Duration const sinceStop = now.time_since_epoch() - Duration(this->stopBegunAt);
    bool const hasLingered =
        this->idleSince != 0 && now.time_since_epoch() - Duration(this->idleSince) >= stopLingerTime;
    return sinceStop >= maxStopTime || (hasLingered && sinceStop >= stopLingerTime);
}

} // namespace almondwing
