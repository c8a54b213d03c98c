// Implements the parts of TargetController that handle announcements and health reports and write records.

#include <LibTargets/TargetController.h>

#include <LibState/Rendezvous.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace almondwing {

namespace {

// Membership reduces this to its transmission limit, which only membership knows.
constexpr auto unlimitedTransmissions = std::numeric_limits<std::uint32_t>::max();

std::vector<TargetId> takeAll(Cell<std::vector<TargetId>> &cell)
{
    std::vector<TargetId> taken;
    cell.update([&taken](std::vector<TargetId> const &list) {
        taken = list;
        return std::vector<TargetId>{};
    });
    return taken;
}

bool isEqualExceptSequence(TargetRecord const &first, TargetRecord second)
{
    second.sequence = first.sequence;
    return first == second;
}

// The id of a target determines the offset of its checks within the interval, so that checks are spread.
Timestamp nextCheckTime(TargetId target, Duration interval, Timestamp now)
{
    auto const phase =
        Duration(static_cast<Duration::rep>(target.value % static_cast<std::uint64_t>(interval.count())));
    auto const passed = (now.time_since_epoch() - phase) / interval;
    return Timestamp((passed + 1) * interval + phase);
}

} // namespace

TargetController::TargetController(Blackboard &board, TargetSettings const &targetSettings, Outbox hooks)
    : blackboard(board), settings(targetSettings), outbox(std::move(hooks))
{
}

AnnouncementOutcome TargetController::handleAnnouncement(TargetAnnouncement const &announcement,
                                                         Timestamp now)
{
    auto const target = TargetId::fromName(announcement.name);
    AnnouncementOutcome outcome = AnnouncementAccepted{};
    if (auto const rejection = this->validateAnnouncement(announcement)) {
        outcome = AnnouncementRejected{.reason = *rejection};
    } else {
        auto const dispatcher = chooseDispatcher(target, announcement.failureDomain, this->members());
        outcome = dispatcher == this->blackboard.ownStatus.read()->self.id
            ? this->applyAsDispatcher(announcement, target, now)
            : AnnouncementOutcome(AnnouncementRedirected{.dispatcher = dispatcher});
    }
    bool const isRejected = std::holds_alternative<AnnouncementRejected>(outcome);
    this->totals.update([isRejected](TargetCounters counters) {
        ++counters.announcements;
        counters.rejectedAnnouncements += isRejected ? 1 : 0;
        return counters;
    });
    return outcome;
}

std::optional<AnnouncementRejection>
TargetController::validateAnnouncement(TargetAnnouncement const &announcement)
{
    if (announcement.name.empty() || announcement.name.size() > maxTargetNameLength)
        return AnnouncementRejection::InvalidName;
    if (!this->serviceIndex()->services.contains(ServiceId::fromName(announcement.service)))
        return AnnouncementRejection::UnknownService;
    if (announcement.failureDomain != this->blackboard.ownStatus.read()->self.failureDomain)
        return AnnouncementRejection::WrongFailureDomain;
    if (!this->isServingWithLease())
        return AnnouncementRejection::NotServing;
    return std::nullopt;
}

AnnouncementOutcome TargetController::applyAsDispatcher(TargetAnnouncement const &announcement,
                                                        TargetId target, Timestamp now)
{
    auto const record = this->blackboard.targets.read(target);
    bool const isKnown = record && record->value.state != TargetState::Gone;
    if (!isKnown) {
        // A leaving target repeats its announcement until it exits, even if its record is already gone.
        if (announcement.state == AnnouncedState::Serving)
            this->addTarget(announcement, target, now);
        return AnnouncementAccepted{};
    }
    if (!this->ownedTargets.contains(target))
        this->takeOver(record->value, now);
    auto const usage = this->usageOf(target);
    AnnouncementOutcome outcome = AnnouncementAccepted{};
    bool isRestart = false;
    this->ownedTargets.update(target, [&](std::optional<OwnedTarget> const &current) {
        outcome = AnnouncementAccepted{};
        std::optional<OwnedTarget> next;
        if (!current)
            return next;
        if (isNameClash(*current, announcement, usage, now))
            outcome = AnnouncementRejected{.reason = AnnouncementRejection::NameClash};
        else if (current->previousStartMark == announcement.startMark)
            outcome = AnnouncementRejected{.reason = AnnouncementRejection::OutdatedStartMark};
        else
            next = applyAnnouncement(*current, announcement, usage, now);
        isRestart = next && next->announcement.startMark != current->announcement.startMark;
        return next;
    });
    if (std::holds_alternative<AnnouncementRejected>(outcome)) {
        this->outbox.report(Event::AnnouncementRejected, announcement.name);
        return outcome;
    }
    if (isRestart) {
        this->clearInheritedWork(target);
        this->outbox.report(Event::TargetAnnounced, announcement.name);
    }
    this->publish(target, now);
    return outcome;
}

void TargetController::addTarget(TargetAnnouncement const &announcement, TargetId target, Timestamp now)
{
    auto const usage = this->usageOf(target);
    this->ownedTargets.update(target, [&](std::optional<OwnedTarget> const &) {
        return std::optional(newOwnedTarget(announcement, usage, now));
    });
    auto const self = this->blackboard.ownStatus.read()->self.id;
    this->blackboard.targets.update(target, [&](std::optional<TargetRecord> const &known) {
        TargetRecord record;
        record.id = target;
        record.name = announcement.name;
        record.failureDomain = announcement.failureDomain;
        // Not queued for gossip in this state: publish() below derives the state and queues the record.
        record.state = TargetState::Gone;
        record.sequence = {.epoch = known ? known->sequence.epoch + 1 : 1, .counter = 0, .owner = self};
        return std::optional(record);
    });
    this->blackboard.targetsSeenFromStart.update(target,
                                                 [&](auto const &) { return announcement.startMark; });
    this->goneSince.remove(target);
    this->outbox.report(Event::TargetAnnounced, announcement.name);
    this->publish(target, now);
}

// Work that the target had before its restart is lost, so inherited work no longer counts.
void TargetController::clearInheritedWork(TargetId target)
{
    this->blackboard.usage.update(target, [](std::optional<TargetUsage> const &usage) {
        auto next = usage;
        if (next) {
            next->inheritedSlots = 0;
            next->inheritedConnections = 0;
        }
        return next;
    });
}

void TargetController::handleHealthReport(TargetId target, HealthReport const &report, Timestamp now)
{
    auto const record = this->blackboard.targets.read(target);
    if (!record || !this->isServingWithLease())
        return;
    auto const inputs = this->inputsOf(record->value);
    bool hasReturned = false;
    auto const result = this->ownedTargets.update(target, [&](std::optional<OwnedTarget> const &current) {
        auto next = current;
        if (!next)
            return next;
        next->health = recordCheckResult(current->health, inputs.usage, report.answer,
                                         announcementStatus(*current, now), now);
        next->load = recordLoad(current->load, report, inputs.usage.busySlots, inputs.fullLimits.slots, now);
        hasReturned = isReadyToReturn(next->health);
        if (hasReturned) {
            next->health = includeAfterRecovery(next->health, now);
            next->ramp = startRamp(0, RampCounts::of(inputs.usage), now);
        }
        return next;
    });
    if (!result)
        return;
    if (hasReturned)
        this->outbox.report(Event::TargetRecovered, record->value.name);
    this->publish(target, now);
}

std::vector<HealthCheck> TargetController::takeDueHealthChecks(Timestamp now)
{
    std::vector<HealthCheck> checks;
    if (!this->isServingWithLease())
        return checks;
    for (auto const &entry : this->ownedTargets.entries()) {
        TargetId const target = entry.first;
        auto const due = nextCheckTime(target, this->settings.healthCheckInterval, now);
        bool isDue = false;
        this->ownedTargets.update(target, [&isDue, due, now](std::optional<OwnedTarget> const &current) {
            auto next = current;
            isDue = next && now >= next->nextCheck;
            if (!isDue)
                return std::optional<OwnedTarget>{};
            next->nextCheck = due;
            return next;
        });
        if (isDue)
            checks.push_back(
                HealthCheck{.target = target, .httpEndpoint = entry.second.announcement.httpEndpoint});
    }
    return checks;
}

// Derives the record from the OwnedTarget and writes it if it has changed.
void TargetController::publish(TargetId target, Timestamp now)
{
    auto const self = this->blackboard.ownStatus.read()->self.id;
    std::optional<TargetRecord> before;
    std::optional<TargetRecord> written;
    this->blackboard.targets.update(target, [&](std::optional<TargetRecord> const &known) {
        written = std::nullopt;
        before = known;
        auto const current = this->ownedTargets.read(target);
        if (!known || !current || known->sequence.owner != self)
            return written;
        auto next = deriveRecord(*known, current->value, this->inputsOf(*known), now);
        if (isEqualExceptSequence(*known, next))
            return written;
        ++next.sequence.counter;
        written = next;
        return written;
    });
    if (!written)
        return;
    this->queueUpdate(target);
    this->reportChange(before, *written);
}

void TargetController::queueUpdate(TargetId target)
{
    this->blackboard.targetUpdates.update(target, [](std::optional<PendingUpdate> const &) {
        return std::optional(PendingUpdate{.transmissionsLeft = unlimitedTransmissions});
    });
    this->totals.update([](TargetCounters counters) {
        ++counters.recordWrites;
        return counters;
    });
}

void TargetController::reportChange(std::optional<TargetRecord> const &before,
                                    TargetRecord const &after) const
{
    if (!before)
        return;
    bool const isSameProcess = before->startMark == after.startMark;
    if (after.state == TargetState::Draining && before->state != TargetState::Draining)
        this->outbox.report(Event::TargetDraining, after.name);
    if (after.state == TargetState::Unhealthy && before->state != TargetState::Unhealthy)
        this->outbox.report(Event::TargetUnhealthy, after.name);
    // A fall from level 1 to 0 is not reported, because a load report can also cause it.
    if (isSameProcess && before->state != TargetState::Unhealthy && before->rampLevel > 1
        && after.rampLevel == 0)
        this->outbox.report(Event::TargetCold, after.name);
}

bool TargetController::isServingWithLease() const
{
    auto const status = this->blackboard.ownStatus.read();
    return status->phase == InstancePhase::Serving && status->lease == LeaseState::Held;
}

TargetController::Members TargetController::members() const
{
    Members result;
    auto entries = this->blackboard.members.entries();
    result.reserve(entries.size());
    for (auto &[id, member] : entries)
        result.push_back(std::move(member));
    return result;
}

std::shared_ptr<TargetController::ServiceIndex const> TargetController::serviceIndex()
{
    auto const configuration = this->blackboard.configuration.read();
    auto index = this->services.read();
    if (index->configurationVersion == configuration->version)
        return index;
    return this->services.update([&configuration](ServiceIndex const &) {
        auto const &manifest = configuration->manifest;
        ServiceIndex next;
        next.configurationVersion = configuration->version;
        for (Service const &service : manifest.services) {
            auto const pool = std::ranges::find(manifest.pools, service.pool, &TargetPool::name);
            auto const limits = pool == manifest.pools.end() ? TargetLimits{} : pool->limits;
            next.services[ServiceId::fromName(service.name)] = {.name = service.name, .limits = limits};
        }
        return next;
    });
}

TargetUsage TargetController::usageOf(TargetId target) const
{
    auto const usage = this->blackboard.usage.read(target);
    return usage ? usage->value : TargetUsage{};
}

ConfiguredDrain TargetController::configuredDrainOf(std::string const &name) const
{
    auto const configuration = this->blackboard.configuration.read();
    return std::ranges::binary_search(configuration->manifest.drainingTargets, name) ? ConfiguredDrain::Drain
                                                                                     : ConfiguredDrain::None;
}

TargetInputs TargetController::inputsOf(TargetRecord const &record)
{
    auto const index = this->serviceIndex();
    auto const service = index->services.find(record.service);
    return TargetInputs{.configuredDrain = this->configuredDrainOf(record.name),
                        .fullLimits =
                            service == index->services.end() ? TargetLimits{} : service->second.limits,
                        .usage = this->usageOf(record.id)};
}

std::vector<TargetId> TargetController::collectTakenOver()
{
    return takeAll(this->newlyTakenOver);
}

std::vector<TargetId> TargetController::collectHandedOver()
{
    return takeAll(this->newlyHandedOver);
}

TargetCounters TargetController::counters() const
{
    return *this->totals.read();
}

} // namespace almondwing
