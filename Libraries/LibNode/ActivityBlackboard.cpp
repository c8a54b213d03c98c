// Implements the aggregation of flow reports.

#include <LibNode/ActivityBlackboard.h>

#include <algorithm>

namespace almondwing {

namespace {

// Control instances report once a second. The interval of an entry is 1 s, or 10 ms times the number of
// targets at which it has flows, whichever is longer.
// FIXME: An entry that has flows at more than 1,200 targets reports less often than this, so its report
// expires before the next one arrives.
constexpr Duration reportLifetime = 12s;

// Smaller changes don't affect the placement of flows.
constexpr std::uint32_t changeThresholdPercent = 20;

bool isSignificantChange(std::uint32_t lastSent, std::uint32_t current)
{
    std::uint32_t const difference = lastSent > current ? lastSent - current : current - lastSent;
    return difference > std::max(1U, lastSent * changeThresholdPercent / 100)
        || (difference > 0 && current == 0);
}

} // namespace

TokenIndex makeTokenIndex(TargetRegistry const &registry)
{
    TokenIndex index;
    for (RegisteredTarget const &target : registry.all()) {
        if (target.state != RegisteredState::Ready)
            continue;
        TargetGroup const group{target.service, target.failureDomain};
        TargetToken const token = tokenOf(target.number);
        index.groups.emplace(token, group);
        index.tokensOfDomain[target.failureDomain].push_back(token);
        index.slots[group] += target.slots;
    }
    return index;
}

void ActivityBlackboard::addToTotals(Counts const &flows)
{
    for (auto const &[token, count] : flows)
        this->totals[token] += count;
}

void ActivityBlackboard::subtractFromTotals(Counts const &flows)
{
    for (auto const &[token, count] : flows) {
        auto const total = this->totals.find(token);
        total->second -= count;
        if (total->second == 0)
            this->totals.erase(total);
    }
}

void ActivityBlackboard::updateEntry(std::string const &entryName,
                                     std::vector<TargetActivity> const &activity, Timestamp now)
{
    Counts flows;
    for (TargetActivity const &target : activity) {
        if (target.flows > 0)
            flows[target.token] = target.flows;
    }
    std::scoped_lock const lock(this->mutex);
    EntryReport &report = this->entries[entryName];
    this->addToTotals(flows);
    this->subtractFromTotals(report.flows);
    report.flows = std::move(flows);
    report.reportedAt = now;
}

void ActivityBlackboard::updatePeer(std::string const &peerEndpoint, GroupFlows const &flows, Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    this->peers[peerEndpoint] = PeerReport{.flows = flows, .reportedAt = now};
}

void ActivityBlackboard::removeExpired(Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    std::erase_if(this->entries, [&](auto const &entry) {
        bool const isExpired = now - entry.second.reportedAt > reportLifetime;
        if (isExpired)
            this->subtractFromTotals(entry.second.flows);
        return isExpired;
    });
    std::erase_if(this->peers,
                  [&](auto const &entry) { return now - entry.second.reportedAt > reportLifetime; });
}

std::vector<TargetActivity> ActivityBlackboard::takeChangesFor(std::string const &entryName,
                                                               std::string const &failureDomain,
                                                               TokenIndex const &index, Baseline baseline)
{
    std::scoped_lock const lock(this->mutex);
    EntryReport &report = this->entries[entryName];
    if (baseline == Baseline::Empty)
        report.lastSent.clear();
    std::vector<TargetActivity> changes;
    auto const tokens = index.tokensOfDomain.find(failureDomain);
    if (tokens == index.tokensOfDomain.end())
        return changes;
    for (TargetToken const token : tokens->second) {
        auto const total = this->totals.find(token);
        auto const own = report.flows.find(token);
        std::uint32_t const flows =
            (total == this->totals.end() ? 0 : total->second) - (own == report.flows.end() ? 0 : own->second);
        auto const known = report.lastSent.find(token);
        if (!isSignificantChange(known == report.lastSent.end() ? 0 : known->second, flows))
            continue;
        report.lastSent[token] = flows;
        changes.push_back(TargetActivity{.token = token, .flows = flows});
    }
    std::ranges::sort(changes, {}, &TargetActivity::token);
    return changes;
}

GroupFlows ActivityBlackboard::localFlows(TokenIndex const &index) const
{
    GroupFlows flows;
    std::scoped_lock const lock(this->mutex);
    for (auto const &[token, count] : this->totals) {
        if (auto const group = index.groups.find(token); group != index.groups.end())
            flows[group->second] += count;
    }
    return flows;
}

std::vector<GroupLoad> ActivityBlackboard::loads(TokenIndex const &index) const
{
    GroupFlows flows = this->localFlows(index);
    {
        std::scoped_lock const lock(this->mutex);
        for (auto const &[instance, report] : this->peers) {
            for (auto const &[group, count] : report.flows)
                flows[group] += count;
        }
    }
    std::vector<GroupLoad> loads;
    for (auto const &[group, count] : index.slots)
        loads.push_back(GroupLoad{.group = group, .flows = flows[group], .slots = count});
    return loads;
}

std::size_t ActivityBlackboard::rankOf(std::string const &entry) const
{
    std::scoped_lock const lock(this->mutex);
    auto const found = this->entries.find(entry);
    return static_cast<std::size_t>(std::distance(this->entries.begin(), found));
}

} // namespace almondwing
