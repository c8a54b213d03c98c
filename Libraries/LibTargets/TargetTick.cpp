// The parts of TargetController that run with time: ownership, ramp, exclusion and the end of targets.

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
    this->forgetGone(records, now);
    if (!this->isServing())
        return;
    auto const own = this->settleOwnership(records, now);
    for (TargetRecord const &record : own)
        this->evaluateRamp(record, now);
    this->evaluateHealth(records, own, now);
    for (TargetRecord const &record : own) {
        auto const current = this->progress.read(record.id);
        if (current && isGone(current->value, this->usageOf(record.id), now))
            this->publishGone(record);
        else
            this->publish(record.id, now);
    }
}

std::vector<TargetRecord> TargetController::settleOwnership(std::vector<TargetRecord> const &records,
                                                            Timestamp now)
{
    auto const self = this->blackboard.ownStatus.read()->self;
    auto const known = this->members();
    std::vector<TargetRecord> own;
    for (TargetRecord const &record : records) {
        if (record.failureDomain != self.failureDomain || record.state == TargetState::Gone)
            continue;
        bool const isDispatcher = chooseDispatcher(record.id, self.failureDomain, known) == self.id;
        bool const isOwner = record.sequence.owner == self.id && this->progress.contains(record.id);
        if (!isDispatcher) {
            this->giveUp(record.id);
            continue;
        }
        if (!isOwner)
            this->takeOver(record, now);
        own.push_back(record);
    }
    return own;
}

// A record of its own from an earlier process is taken over as well: the counts of that process are lost.
void TargetController::takeOver(TargetRecord const &record, Timestamp now)
{
    auto const self = this->blackboard.ownStatus.read()->self.id;
    auto const situation = this->situationOf(record);
    auto const index = this->serviceIndex();
    auto const service = index->services.find(record.service);
    auto const usage =
        this->blackboard.usage.update(record.id, [&](std::optional<TargetUsage> const &current) {
            auto const counted = current.value_or(TargetUsage{});
            return std::optional(TargetUsage{.busySlots = counted.busySlots,
                                             .connections = counted.connections,
                                             .inheritedSlots = situation.fullLimits.slots,
                                             .inheritedConnections = record.connections,
                                             .inheritedUntil = now + inheritedWorkKept,
                                             .lastReceived = counted.lastReceived});
        });
    this->progress.update(record.id, [&](std::optional<TargetProgress> const &) {
        auto const name = service == index->services.end() ? std::string() : service->second.name;
        return std::optional(progressAtTakeover(record, name, situation.drainOrder, *usage, now));
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

void TargetController::giveUp(TargetId target)
{
    auto const current = this->progress.read(target);
    if (!current || this->progress.erase(target, current->version) == WriteOutcome::Conflict)
        return;
    this->newlyHandedOver.update([target](std::vector<TargetId> list) {
        list.push_back(target);
        return list;
    });
}

void TargetController::evaluateRamp(TargetRecord const &record, Timestamp now)
{
    auto const situation = this->situationOf(record);
    auto const counts = RampCounts::of(situation.usage);
    this->progress.update(record.id, [&](std::optional<TargetProgress> const &current) {
        auto next = current;
        if (!next)
            return next;
        bool const isInUse =
            !isDraining(*current, situation.drainOrder) && current->health.inclusion == Inclusion::InUse;
        next->ramp = decideRamp(current->ramp, counts, situation.fullLimits,
                                isInUse ? RampDirection::UpAndDown : RampDirection::OnlyDown, now);
        return *next == *current ? std::nullopt : next;
    });
}

// Counts the unhealthy targets of each service over the records of all dispatchers.
void TargetController::evaluateHealth(std::vector<TargetRecord> const &records,
                                      std::vector<TargetRecord> const &own, Timestamp now)
{
    struct ServiceHealth
    {
        std::size_t total = 0;
        std::size_t unhealthyElsewhere = 0;
        std::vector<TargetId> failing;
    };
    std::unordered_map<ServiceId, ServiceHealth> health;
    for (TargetRecord const &record : records) {
        if (record.state == TargetState::Gone || record.state == TargetState::Draining)
            continue;
        auto &service = health[record.service];
        ++service.total;
        bool const isUnhealthy = record.state == TargetState::Unhealthy;
        service.unhealthyElsewhere += isUnhealthy && !this->progress.contains(record.id) ? 1 : 0;
    }
    for (TargetRecord const &record : own) {
        auto const current = this->progress.read(record.id);
        if (!current || record.state == TargetState::Draining)
            continue;
        auto const &progressHealth = current->value.health;
        if (isFailing(progressHealth) || progressHealth.inclusion == Inclusion::Excluded)
            health[record.service].failing.push_back(record.id);
    }
    for (auto const &[service, found] : health) {
        if (!found.failing.empty())
            this->excludeUnlessDoubted(service, found.failing, found.unhealthyElsewhere, found.total, now);
    }
}

void TargetController::excludeUnlessDoubted(ServiceId service, std::vector<TargetId> const &failing,
                                            std::size_t unhealthy, std::size_t total, Timestamp now)
{
    bool const isMass = 2 * (unhealthy + failing.size()) > total;
    auto const doubt = this->doubtedUntil.read(service);
    bool const isDoubted = doubt && now < doubt->value;
    if (isMass) {
        this->doubtedUntil.update(
            service, [now](std::optional<Timestamp> const &) { return std::optional(now + doubtPeriod); });
    }
    if (isMass && !isDoubted) {
        this->totals.update([](TargetCounters counters) {
            ++counters.doubtedHealthViews;
            return counters;
        });
        auto const index = this->serviceIndex();
        auto const found = index->services.find(service);
        this->outbox.report(Event::HealthViewDoubted,
                            found == index->services.end() ? "unknown service" : found->second.name);
    }
    auto const inclusion = isMass || isDoubted ? Inclusion::InUse : Inclusion::Excluded;
    for (TargetId const target : failing)
        this->changeInclusion(target, inclusion, now);
}

// A target that was restored because the view was doubted keeps its failures, so that it is excluded when the
// others have recovered and it has not.
void TargetController::changeInclusion(TargetId target, Inclusion inclusion, Timestamp now)
{
    this->progress.update(target, [&](std::optional<TargetProgress> const &current) {
        auto next = current;
        if (!next || next->health.inclusion == inclusion)
            return std::optional<TargetProgress>{};
        if (inclusion == Inclusion::Excluded)
            next->health = exclude(next->health, now);
        else
            next->health.inclusion = Inclusion::InUse;
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
    this->progress.remove(record.id);
    if (!isWritten)
        return;
    this->queueUpdate(record.id);
    this->outbox.report(Event::TargetGone, record.name);
}

void TargetController::forgetGone(std::vector<TargetRecord> const &records, Timestamp now)
{
    for (TargetRecord const &record : records) {
        if (record.state != TargetState::Gone)
            continue;
        auto const since = this->goneSince.update(record.id, [now](std::optional<Timestamp> const &current) {
            return current ? std::nullopt : std::optional(now);
        });
        if (now - since.value_or(now) < goneTargetKept)
            continue;
        auto const current = this->blackboard.targets.read(record.id);
        if (current && current->value == record)
            (void)this->blackboard.targets.erase(record.id, current->version);
        this->goneSince.remove(record.id);
    }
}

} // namespace almondwing
