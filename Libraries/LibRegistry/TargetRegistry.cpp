// Implements the registry of targets.

#include <LibRegistry/TargetRegistry.h>

#include <algorithm>

namespace almondwing {

namespace {

// Clocks of reports run apart by their transit time; smaller differences of the end of a cold phase mean
// nothing.
constexpr Duration coldTolerance = 500ms;

bool differsForRouting(RegisteredTarget const &known, RegisteredTarget const &report, Timestamp now)
{
    bool const isColdChanged = known.isColdAt(now) != report.isColdAt(now)
        || (report.isColdAt(now) && std::chrono::abs(known.coldUntil - report.coldUntil) > coldTolerance);
    return isColdChanged || known.order.bornMilliseconds != report.order.bornMilliseconds
        || known.service != report.service || known.failureDomain != report.failureDomain
        || known.endpoint != report.endpoint || known.slots != report.slots || known.state != report.state;
}

bool isFinal(RegisteredTarget const &known, RegisteredTarget const &report)
{
    return known.state == RegisteredState::Gone
        && report.order.bornMilliseconds <= known.order.bornMilliseconds;
}

} // namespace

MergeOutcome TargetRegistry::merge(RegisteredTarget const &report, Timestamp now, Endpoint reporter)
{
    if (report.state == RegisteredState::Gone)
        return this->markGone(report.number, report.order.bornMilliseconds, now);
    // A late report of a target whose address another one has since taken over.
    if (this->hasSuccessor(report))
        return MergeOutcome::Unchanged;
    MergeOutcome const outcome = this->store(report, now, reporter);
    if (outcome == MergeOutcome::Changed)
        this->endPredecessor(report, now);
    return outcome;
}

MergeOutcome
TargetRegistry::changeInOrder(std::function<MergeOutcome(std::uint64_t generation)> const &change)
{
    std::scoped_lock const lock(this->order);
    std::uint64_t const generation = this->lastGeneration.load(std::memory_order_relaxed) + 1;
    MergeOutcome const outcome = change(generation);
    if (outcome != MergeOutcome::Unchanged)
        this->lastGeneration.store(generation, std::memory_order_release);
    if (outcome == MergeOutcome::Changed)
        this->lastChange.store(generation, std::memory_order_release);
    return outcome;
}

// A report of the same order says nothing new; its age may differ by the transit time.
MergeOutcome TargetRegistry::store(RegisteredTarget const &report, Timestamp now, Endpoint reporter)
{
    return this->changeInOrder([&](std::uint64_t generation) {
        MergeOutcome outcome = MergeOutcome::Unchanged;
        this->entries.update(
            report.number, [&](std::optional<RegistryEntry> const &known) -> std::optional<RegistryEntry> {
                outcome = MergeOutcome::Unchanged;
                if (!known) {
                    outcome = MergeOutcome::Changed;
                    return RegistryEntry{.target = report,
                                         .changeGeneration = generation,
                                         .heardGeneration = generation,
                                         .reporter = reporter};
                }
                if (isFinal(known->target, report) || report.order <= known->target.order)
                    return std::nullopt;
                bool const isChanged = differsForRouting(known->target, report, now);
                outcome = isChanged ? MergeOutcome::Changed : MergeOutcome::Heard;
                RegistryEntry next{.target = report,
                                   .changeGeneration = isChanged ? generation : known->changeGeneration,
                                   .heardGeneration = generation,
                                   .reporter = reporter};
                next.target.heardAt = std::max(report.heardAt, known->target.heardAt);
                return next;
            });
        return outcome;
    });
}

MergeOutcome TargetRegistry::mergeHeard(RegisteredTarget const &heard, Timestamp now, Endpoint reporter)
{
    auto known = this->find(heard.number);
    if (!known || known->order.bornMilliseconds != heard.order.bornMilliseconds)
        return MergeOutcome::Unchanged;
    known->order = heard.order;
    known->heardAt = heard.heardAt;
    return this->store(*known, now, reporter);
}

MergeOutcome TargetRegistry::markGone(TargetNumber number, std::int64_t bornMilliseconds, Timestamp now)
{
    return this->changeInOrder([&](std::uint64_t generation) {
        MergeOutcome outcome = MergeOutcome::Unchanged;
        this->entries.update(
            number, [&](std::optional<RegistryEntry> const &known) -> std::optional<RegistryEntry> {
                outcome = MergeOutcome::Unchanged;
                if (!known || known->target.state == RegisteredState::Gone
                    || known->target.order.bornMilliseconds > bornMilliseconds)
                    return std::nullopt;
                outcome = MergeOutcome::Changed;
                RegistryEntry next{
                    .target = known->target, .changeGeneration = generation, .heardGeneration = generation};
                next.target.state = RegisteredState::Gone;
                next.target.heardAt = now;
                return next;
            });
        return outcome;
    });
}

// An address belongs to one target at a time, so an earlier target there has ended.
void TargetRegistry::endPredecessor(RegisteredTarget const &report, Timestamp now)
{
    EndpointHolder const next{.number = report.number, .bornMilliseconds = report.order.bornMilliseconds};
    auto const before = this->holders.read(report.endpoint);
    if (before && before->value.bornMilliseconds > next.bornMilliseconds)
        return;
    // A conflict means that another report of the endpoint was merged meanwhile; the next heartbeat decides.
    if (this->holders.write(report.endpoint, next, before ? before->version : 0) == WriteOutcome::Conflict)
        return;
    if (before && before->value.number != report.number
        && before->value.bornMilliseconds < next.bornMilliseconds)
        this->markGone(before->value.number, before->value.bornMilliseconds, now);
}

bool TargetRegistry::hasSuccessor(RegisteredTarget const &report) const
{
    return this->holders.containsWhere(report.endpoint, [&](EndpointHolder const &holder) {
        return holder.number != report.number && holder.bornMilliseconds > report.order.bornMilliseconds;
    });
}

void TargetRegistry::treatAsCold(std::string const &failureDomain, Timestamp until)
{
    for (RegisteredTarget const &target : this->all()) {
        if (target.failureDomain != failureDomain || target.state == RegisteredState::Gone)
            continue;
        this->changeInOrder([&](std::uint64_t generation) {
            MergeOutcome outcome = MergeOutcome::Unchanged;
            this->entries.update(
                target.number,
                [&](std::optional<RegistryEntry> const &known) -> std::optional<RegistryEntry> {
                    outcome = MergeOutcome::Unchanged;
                    if (!known || known->target.coldUntil >= until)
                        return std::nullopt;
                    outcome = MergeOutcome::Changed;
                    RegistryEntry next{.target = known->target,
                                       .changeGeneration = generation,
                                       .heardGeneration = generation};
                    next.target.coldUntil = until;
                    return next;
                });
            return outcome;
        });
    }
}

void TargetRegistry::forgetOld(Timestamp now)
{
    std::vector<RegisteredTarget> old;
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (now - entry.target.heardAt > this->settings.retention)
            old.push_back(entry.target);
    });
    for (RegisteredTarget const &target : old) {
        this->entries.remove(target.number);
        if (this->holders.containsWhere(target.endpoint, [&](EndpointHolder const &holder) {
                return holder.number == target.number;
            }))
            this->holders.remove(target.endpoint);
    }
}

std::vector<TargetNumber> TargetRegistry::overdue(Timestamp now) const
{
    std::vector<TargetNumber> numbers;
    this->entries.forEach([&](TargetNumber number, RegistryEntry const &entry) {
        if (entry.target.state == RegisteredState::Ready && this->isOverdue(entry.target, now))
            numbers.push_back(number);
    });
    std::ranges::sort(numbers);
    return numbers;
}

std::optional<RegisteredTarget> TargetRegistry::find(TargetNumber number) const
{
    auto const entry = this->entries.read(number);
    return entry ? std::optional(entry->value.target) : std::nullopt;
}

std::vector<RegisteredTarget> TargetRegistry::all() const
{
    std::vector<RegisteredTarget> targets;
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) { targets.push_back(entry.target); });
    std::ranges::sort(targets, {}, &RegisteredTarget::number);
    return targets;
}

bool TargetRegistry::isOverdue(RegisteredTarget const &target, Timestamp now) const
{
    return now - target.heardAt
        > this->settings.missedHeartbeats * this->settings.heartbeatInterval + this->settings.heartbeatMargin;
}

std::vector<RegistryEntry> TargetRegistry::changedAfter(std::uint64_t generation) const
{
    std::vector<RegistryEntry> changed;
    if (generation >= this->changeGeneration())
        return changed; // Spares the walk over all entries when nothing has changed.
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (entry.changeGeneration > generation)
            changed.push_back(entry);
    });
    return changed;
}

RegistryChanges TargetRegistry::oldestChangesAfter(std::uint64_t generation, std::size_t atMost) const
{
    RegistryChanges changes{.lastGeneration = this->changeGeneration()};
    if (generation >= changes.lastGeneration)
        return changes;
    // Only what orders them is copied of all; a large registry is told in many parts.
    std::vector<std::pair<std::uint64_t, TargetNumber>> changed;
    this->entries.forEach([&](TargetNumber number, RegistryEntry const &entry) {
        if (entry.changeGeneration > generation)
            changed.emplace_back(entry.changeGeneration, number);
    });
    std::ranges::sort(changed);
    if (changed.size() > atMost) {
        changed.resize(atMost);
        // What was changed since the walk began may have been met only in part.
        changes.lastGeneration = std::min(changed.back().first, changes.lastGeneration);
        changes.isCut = true;
    }
    // One that has changed meanwhile is told as it is now, and again after its later generation.
    for (auto const &[at, number] : changed) {
        if (auto const entry = this->entries.read(number))
            changes.targets.push_back(entry->value.target);
    }
    return changes;
}

std::vector<RegistryEntry> TargetRegistry::heardAfter(std::uint64_t generation) const
{
    std::vector<RegistryEntry> heard;
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (entry.heardGeneration > generation)
            heard.push_back(entry);
    });
    return heard;
}

} // namespace almondwing
