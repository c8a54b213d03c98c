// Implements the registry of targets.

#include <LibRegistry/TargetRegistry.h>

#include <algorithm>

namespace almondwing {

namespace {

// Reports are converted to local time on arrival, so their times differ by the transit time. Ends of a cold
// phase that differ by at most this time count as equal.
constexpr Duration coldEndTolerance = 500ms;

bool differsForRouting(RegisteredTarget const &known, RegisteredTarget const &report, Timestamp now)
{
    bool const isColdChanged = known.isColdAt(now) != report.isColdAt(now)
        || (report.isColdAt(now) && std::chrono::abs(known.coldUntil - report.coldUntil) > coldEndTolerance);
    return isColdChanged
        || known.reportVersion.startUnixMilliseconds != report.reportVersion.startUnixMilliseconds
        || known.service != report.service || known.failureDomain != report.failureDomain
        || known.endpoint != report.endpoint || known.slots != report.slots || known.state != report.state;
}

bool isAfterEnd(RegisteredTarget const &known, RegisteredTarget const &report)
{
    return known.state == RegisteredState::Gone
        && report.reportVersion.startUnixMilliseconds <= known.reportVersion.startUnixMilliseconds;
}

} // namespace

MergeOutcome TargetRegistry::merge(RegisteredTarget const &report, Timestamp now, Endpoint reporter)
{
    if (!this->mayBeUsed(report).ok())
        return MergeOutcome::Unchanged;
    if (report.state == RegisteredState::Gone)
        return this->markGone(report.number, report.reportVersion.startUnixMilliseconds, now);
    // A report that was delayed until another target had taken over the endpoint, or one of another writer.
    if (this->isSuperseded(report) || this->isForeignReport(report))
        return MergeOutcome::Unchanged;
    MergeOutcome const outcome = this->store(report, now, reporter);
    if (outcome != MergeOutcome::Unchanged)
        this->takeOverEndpoint(report, now);
    return outcome;
}

absl::Status TargetRegistry::mayBeUsed(RegisteredTarget const &report) const
{
    if (absl::Status status = checkRecord(report); !status.ok())
        return status;
    if (!this->hooks.isDomainKnown(report.failureDomain))
        return absl::InvalidArgumentError("unknown failure domain: " + report.failureDomain);
    return absl::OkStatus();
}

MergeOutcome TargetRegistry::commitChange(std::function<MergeOutcome(std::uint64_t generation)> const &change)
{
    std::scoped_lock const lock(this->changeMutex);
    std::uint64_t const generation = this->lastGeneration.load(std::memory_order_relaxed) + 1;
    MergeOutcome const outcome = change(generation);
    if (outcome != MergeOutcome::Unchanged)
        this->lastGeneration.store(generation, std::memory_order_release);
    if (outcome == MergeOutcome::Changed)
        this->lastChange.store(generation, std::memory_order_release);
    return outcome;
}

// A report of the same version as the known record brings nothing new; only its time may differ, by the
// transit time.
MergeOutcome TargetRegistry::store(RegisteredTarget const &report, Timestamp now, Endpoint reporter)
{
    // A report for a defined service replaces a record for an undefined one, whatever their versions are: the
    // record may be of another writer.
    bool const isDefined = this->hooks.isServiceDefined(report.service);
    return this->commitChange([&](std::uint64_t generation) {
        MergeOutcome outcome = MergeOutcome::Unchanged;
        this->entries.update(
            report.number, [&](std::optional<RegistryEntry> const &known) -> std::optional<RegistryEntry> {
                outcome = MergeOutcome::Unchanged;
                if (!known) {
                    outcome = MergeOutcome::Changed;
                    return RegistryEntry{.target = report,
                                         .changeGeneration = generation,
                                         .refreshGeneration = generation,
                                         .reporter = reporter};
                }
                bool const isKnownForeign = isDefined && !this->hooks.isServiceDefined(known->target.service);
                if (!isKnownForeign
                    && (isAfterEnd(known->target, report)
                        || report.reportVersion <= known->target.reportVersion))
                    return std::nullopt;
                bool const isChanged = differsForRouting(known->target, report, now);
                outcome = isChanged ? MergeOutcome::Changed : MergeOutcome::Refreshed;
                RegistryEntry next{.target = report,
                                   .changeGeneration = isChanged ? generation : known->changeGeneration,
                                   .refreshGeneration = generation,
                                   .reporter = reporter};
                next.target.lastSeenAt = std::max(report.lastSeenAt, known->target.lastSeenAt);
                return next;
            });
        return outcome;
    });
}

MergeOutcome TargetRegistry::mergeHeartbeat(RegisteredTarget const &heartbeat, Timestamp now,
                                            Endpoint reporter)
{
    auto known = this->find(heartbeat.number);
    std::int64_t const knownStart = known ? known->reportVersion.startUnixMilliseconds : 0;
    // An old heartbeat is not a reason to ask for the record: the target may have failed since.
    if (knownStart < heartbeat.reportVersion.startUnixMilliseconds)
        return this->isOverdue(heartbeat, now) ? MergeOutcome::Unchanged : MergeOutcome::UnknownRun;
    if (knownStart > heartbeat.reportVersion.startUnixMilliseconds)
        return MergeOutcome::Unchanged;
    known->reportVersion = heartbeat.reportVersion;
    known->lastSeenAt = heartbeat.lastSeenAt;
    return this->store(*known, now, reporter);
}

MergeOutcome TargetRegistry::markGone(TargetNumber number, std::int64_t startUnixMilliseconds, Timestamp now)
{
    return this->commitChange([&](std::uint64_t generation) {
        MergeOutcome outcome = MergeOutcome::Unchanged;
        this->entries.update(
            number, [&](std::optional<RegistryEntry> const &known) -> std::optional<RegistryEntry> {
                outcome = MergeOutcome::Unchanged;
                if (!known || known->target.state == RegisteredState::Gone
                    || known->target.reportVersion.startUnixMilliseconds > startUnixMilliseconds)
                    return std::nullopt;
                outcome = MergeOutcome::Changed;
                RegistryEntry next{
                    .target = known->target, .changeGeneration = generation, .refreshGeneration = generation};
                next.target.state = RegisteredState::Gone;
                next.target.lastSeenAt = now;
                return next;
            });
        return outcome;
    });
}

// An endpoint belongs to one target at a time, so a target that started there earlier has ended. A target
// whose service becomes defined takes over its endpoint with its next heartbeat.
void TargetRegistry::takeOverEndpoint(RegisteredTarget const &report, Timestamp now)
{
    if (!this->hooks.isServiceDefined(report.service))
        return;
    EndpointOwner const next{.number = report.number,
                             .startUnixMilliseconds = report.reportVersion.startUnixMilliseconds};
    auto const before = this->endpointOwners.read(report.endpoint);
    if (before && (before->value == next || before->value.startUnixMilliseconds > next.startUnixMilliseconds))
        return;
    // A conflict means that another report for the endpoint was merged concurrently. This report then marks
    // no target as Gone; the next heartbeat does so.
    if (this->endpointOwners.write(report.endpoint, next, before ? before->version : 0)
        == WriteOutcome::Conflict)
        return;
    if (before && before->value.number != report.number
        && before->value.startUnixMilliseconds < next.startUnixMilliseconds)
        this->markGone(before->value.number, before->value.startUnixMilliseconds, now);
}

bool TargetRegistry::isSuperseded(RegisteredTarget const &report) const
{
    return this->endpointOwners.containsWhere(report.endpoint, [&](EndpointOwner const &owner) {
        return owner.number != report.number
            && owner.startUnixMilliseconds > report.reportVersion.startUnixMilliseconds;
    });
}

// Whether the report has the number of a known target, but names another service that is not defined. An
// instance that knows no configuration yet can't tell which of the two is defined, so the first report stays.
bool TargetRegistry::isForeignReport(RegisteredTarget const &report) const
{
    if (this->hooks.isServiceDefined(report.service))
        return false;
    auto const known = this->find(report.number);
    return known && known->service != report.service;
}

void TargetRegistry::markCold(std::string const &failureDomain, Timestamp until)
{
    for (RegisteredTarget const &target : this->all()) {
        if (target.failureDomain != failureDomain || target.state == RegisteredState::Gone)
            continue;
        this->commitChange([&](std::uint64_t generation) {
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
                                       .refreshGeneration = generation};
                    next.target.coldUntil = until;
                    return next;
                });
            return outcome;
        });
    }
}

void TargetRegistry::removeExpired(Timestamp now)
{
    std::vector<RegisteredTarget> old;
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (now - entry.target.lastSeenAt > this->settings.retention)
            old.push_back(entry.target);
    });
    for (RegisteredTarget const &target : old) {
        this->entries.remove(target.number);
        if (this->endpointOwners.containsWhere(
                target.endpoint, [&](EndpointOwner const &owner) { return owner.number == target.number; }))
            this->endpointOwners.remove(target.endpoint);
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
    return now - target.lastSeenAt
        > this->settings.missedHeartbeats * this->settings.heartbeatInterval + this->settings.heartbeatMargin;
}

std::vector<RegistryEntry> TargetRegistry::changedAfter(std::uint64_t generation) const
{
    std::vector<RegistryEntry> changed;
    if (generation >= this->changeGeneration())
        return changed; // Avoids the iteration over all entries.
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (entry.changeGeneration > generation)
            changed.push_back(entry);
    });
    return changed;
}

RegistryChanges TargetRegistry::oldestChangesAfter(std::uint64_t generation, std::size_t limit) const
{
    RegistryChanges changes{.lastGeneration = this->changeGeneration()};
    if (generation >= changes.lastGeneration)
        return changes;
    // Copies only the keys to sort by, since a large registry is sent in many parts.
    std::vector<std::pair<std::uint64_t, TargetNumber>> changed;
    this->entries.forEach([&](TargetNumber number, RegistryEntry const &entry) {
        if (entry.changeGeneration > generation)
            changed.emplace_back(entry.changeGeneration, number);
    });
    std::ranges::sort(changed);
    if (changed.size() > limit) {
        changed.resize(limit);
        // The iteration may have missed some of the changes that were made after it began.
        changes.lastGeneration = std::min(changed.back().first, changes.lastGeneration);
        changes.isTruncated = true;
    }
    // A target that has changed again since is returned in its present state, and again when the reader
    // reaches the generation of that change.
    for (auto const &[at, number] : changed) {
        if (auto const entry = this->entries.read(number))
            changes.targets.push_back(entry->value.target);
    }
    return changes;
}

std::vector<RegistryEntry> TargetRegistry::refreshedAfter(std::uint64_t generation) const
{
    std::vector<RegistryEntry> refreshed;
    this->entries.forEach([&](TargetNumber, RegistryEntry const &entry) {
        if (entry.refreshGeneration > generation)
            refreshed.push_back(entry);
    });
    return refreshed;
}

} // namespace almondwing
