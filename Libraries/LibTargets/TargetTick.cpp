// Implements the periodic parts of TargetController: ownership, ramp, exclusion and the removal of targets.

#include <LibTargets/TargetController.h>

#include <LibState/Rendezvous.h>

#include <algorithm>
#include <utility>

namespace almondwing {

void TargetController::tick(Timestamp now)
{
    std::vector<TargetRecord> records;
    for (auto &[target, record] : this->blackboard.targets.entries())
        records.push_back(record);
    this->expireGoneTargets(records, now);
    if (!this->isServingWithLease())
        return;
    auto const own = this->updateOwnership(records, now);
    for (TargetRecord const &record : own)
        this->evaluateRamp(record, now);
    this->evaluateHealth(records, own, now);
    for (TargetRecord const &record : own) {
        auto const current = this->ownedTargets.read(record.id);
        if (current && isGone(current->value, this->usageOf(record.id), now))
            this->publishGone(record);
        else
            this->publish(record.id, now);
    }
}

std::vector<TargetRecord> TargetController::updateOwnership(std::vector<TargetRecord> const &records,
                                                            Timestamp now)
{
    auto const self = this->blackboard.ownStatus.read()->self;
    auto const known = this->members();
    std::vector<TargetRecord> own;
    for (TargetRecord const &record : records) {
        if (record.failureDomain != self.failureDomain || record.state == TargetState::Gone)
            continue;
        bool const isDispatcher = chooseDispatcher(record.id, self.failureDomain, known) == self.id;
        bool const isOwner = record.sequence.owner == self.id && this->ownedTargets.contains(record.id);
        if (!isDispatcher) {
            this->handOver(record.id);
            continue;
        }
        if (!isOwner)
            this->takeOver(record, now);
        own.push_back(record);
    }
    return own;
}

// Also takes over records that an earlier process of this instance has owned, since its counts are lost.
void TargetController::takeOver(TargetRecord const &record, Timestamp now)
{
    auto const self = this->blackboard.ownStatus.read()->self.id;
    auto const inputs = this->inputsOf(record);
    auto const index = this->serviceIndex();
    auto const service = index->services.find(record.service);
    auto const usage =
        this->blackboard.usage.update(record.id, [&](std::optional<TargetUsage> const &current) {
            auto const counted = current.value_or(TargetUsage{});
            return std::optional(TargetUsage{.busySlots = counted.busySlots,
                                             .connections = counted.connections,
                                             .inheritedSlots = inputs.fullLimits.slots,
                                             .inheritedConnections = record.connections,
                                             .inheritedUntil = now + inheritedWorkTimeout,
                                             .lastReceived = counted.lastReceived});
        });
    this->ownedTargets.update(record.id, [&](std::optional<OwnedTarget> const &) {
        auto const name = service == index->services.end() ? std::string() : service->second.name;
        return std::optional(ownedTargetAfterTakeover(record, name, inputs.configuredDrain, *usage, now));
    });
    this->blackboard.targets.update(record.id, [&](std::optional<TargetRecord> const &known) {
        auto next = known;
        if (next)
            next->sequence = {.epoch = known->sequence.epoch + 1, .counter = 1, .owner = self};
        return next;
    });
    this->queueUpdate(record.id);
    this->newlyTakenOver.update([&record](std::vector<TargetId> list) {
        list.push_back(record.id);
        return list;
    });
    this->outbox.report(Event::TargetTakenOver, record.name);
}

void TargetController::handOver(TargetId target)
{
    auto const current = this->ownedTargets.read(target);
    if (!current || this->ownedTargets.erase(target, current->version) == WriteOutcome::Conflict)
        return;
    this->newlyHandedOver.update([target](std::vector<TargetId> list) {
        list.push_back(target);
        return list;
    });
}

void TargetController::evaluateRamp(TargetRecord const &record, Timestamp now)
{
    auto const inputs = this->inputsOf(record);
    auto const counts = RampCounts::of(inputs.usage);
    this->ownedTargets.update(record.id, [&](std::optional<OwnedTarget> const &current) {
        auto next = current;
        if (!next)
            return next;
        bool const isEligible =
            !isDraining(*current, inputs.configuredDrain) && current->health.inclusion == Inclusion::Included;
        next->ramp = updateRamp(current->ramp, counts, inputs.fullLimits,
                                isEligible ? RampDirection::UpAndDown : RampDirection::OnlyDown, now);
        return *next == *current ? std::nullopt : next;
    });
}

// Excludes failing targets unless too many of their service, counted over all dispatchers, are unhealthy.
void TargetController::evaluateHealth(std::vector<TargetRecord> const &records,
                                      std::vector<TargetRecord> const &own, Timestamp now)
{
    struct ServiceHealth
    {
        std::size_t total = 0;
        std::size_t unhealthyElsewhere = 0;
        std::vector<TargetId> failingOrExcluded;
    };
    std::unordered_map<ServiceId, ServiceHealth> health;
    for (TargetRecord const &record : records) {
        if (record.state == TargetState::Gone || record.state == TargetState::Draining)
            continue;
        auto &service = health[record.service];
        ++service.total;
        bool const isUnhealthy = record.state == TargetState::Unhealthy;
        service.unhealthyElsewhere += isUnhealthy && !this->ownedTargets.contains(record.id) ? 1 : 0;
    }
    for (TargetRecord const &record : own) {
        auto const current = this->ownedTargets.read(record.id);
        if (!current || record.state == TargetState::Draining)
            continue;
        auto const &targetHealth = current->value.health;
        if (isFailing(targetHealth) || targetHealth.inclusion == Inclusion::Excluded)
            health[record.service].failingOrExcluded.push_back(record.id);
    }
    for (auto const &[service, found] : health) {
        if (!found.failingOrExcluded.empty())
            this->excludeUnlessMassFailure(service, found.failingOrExcluded, found.unhealthyElsewhere,
                                           found.total, now);
    }
}

// If more than half of the targets of a service look unhealthy, the health data is more likely wrong than the
// targets, so none of them is excluded, and excluded ones of this instance are included again.
void TargetController::excludeUnlessMassFailure(ServiceId service,
                                                std::vector<TargetId> const &failingOrExcluded,
                                                std::size_t unhealthyElsewhere, std::size_t total,
                                                Timestamp now)
{
    bool const isMassFailure = 2 * (unhealthyElsewhere + failingOrExcluded.size()) > total;
    auto const pausedUntil = this->exclusionsPausedUntil.read(service);
    bool const isPaused = pausedUntil && now < pausedUntil->value;
    if (isMassFailure) {
        this->exclusionsPausedUntil.update(
            service, [now](std::optional<Timestamp> const &) { return std::optional(now + exclusionPause); });
    }
    if (isMassFailure && !isPaused) {
        this->totals.update([](TargetCounters counters) {
            ++counters.massFailures;
            return counters;
        });
        auto const index = this->serviceIndex();
        auto const found = index->services.find(service);
        this->outbox.report(Event::HealthViewDoubted,
                            found == index->services.end() ? "unknown service" : found->second.name);
    }
    auto const inclusion = isMassFailure || isPaused ? Inclusion::Included : Inclusion::Excluded;
    for (TargetId const target : failingOrExcluded)
        this->setInclusion(target, inclusion, now);
}

// A target that is included again because of a mass failure keeps its failure count, so that it is excluded
// once the others have recovered and it has not.
void TargetController::setInclusion(TargetId target, Inclusion inclusion, Timestamp now)
{
    this->ownedTargets.update(target, [&](std::optional<OwnedTarget> const &current) {
        auto next = current;
        if (!next || next->health.inclusion == inclusion)
            return std::optional<OwnedTarget>{};
        if (inclusion == Inclusion::Excluded)
            next->health = exclude(next->health, now);
        else
            next->health.inclusion = Inclusion::Included;
        return next;
    });
}

void TargetController::publishGone(TargetRecord const &record)
{
    auto const self = this->blackboard.ownStatus.read()->self.id;
    bool isWritten = false;
    this->blackboard.targets.update(record.id, [&](std::optional<TargetRecord> const &known) {
        auto next = known;
        isWritten = known && known->sequence.owner == self;
        if (!isWritten)
            return std::optional<TargetRecord>{};
        next->state = TargetState::Gone;
        next->connections = 0;
        next->rampLevel = 0;
        ++next->sequence.counter;
        return next;
    });
    this->ownedTargets.remove(record.id);
    if (!isWritten)
        return;
    this->queueUpdate(record.id);
    this->outbox.report(Event::TargetGone, record.name);
}

void TargetController::expireGoneTargets(std::vector<TargetRecord> const &records, Timestamp now)
{
    for (TargetRecord const &record : records) {
        if (record.state != TargetState::Gone)
            continue;
        auto const since = this->goneSince.update(record.id, [now](std::optional<Timestamp> const &current) {
            return current ? std::nullopt : std::optional(now);
        });
        if (now - since.value_or(now) < goneTargetRetention)
            continue;
        auto const current = this->blackboard.targets.read(record.id);
        if (current && current->value == record)
            (void)this->blackboard.targets.erase(record.id, current->version);
        this->goneSince.remove(record.id);
    }
}

} // namespace almondwing
