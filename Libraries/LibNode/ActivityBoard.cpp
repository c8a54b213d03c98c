// Implements the sums of flows over entries.

#include <LibNode/ActivityBoard.h>

#include <algorithm>

namespace almondwing {

namespace {

// Entries with many targets report every few seconds, others and control instances once a second.
constexpr Duration reportLifetime = 12s;

// Smaller changes do not alter where flows go.
constexpr std::uint32_t toldTolerancePercent = 20;

bool isWorthTelling(std::uint32_t told, std::uint32_t now)
{
    std::uint32_t const difference = told > now ? told - now : now - told;
    return difference > std::max(1U, told * toldTolerancePercent / 100) || (difference > 0 && now == 0);
}

} // namespace

TokenPlaces tokenPlaces(TargetRegistry const &registry)
{
    TokenPlaces places;
    for (RegisteredTarget const &target : registry.all()) {
        if (target.state != RegisteredState::Ready)
            continue;
        TargetGroup const group{target.service, target.failureDomain};
        TargetToken const token = tokenOf(target.number);
        places.groups.emplace(token, group);
        places.tokensOfDomain[target.failureDomain].push_back(token);
        places.slots[group] += target.slots;
    }
    return places;
}

void ActivityBoard::add(Counts const &flows)
{
    for (auto const &[token, count] : flows)
        this->totals[token] += count;
}

void ActivityBoard::subtract(Counts const &flows)
{
    for (auto const &[token, count] : flows) {
        auto const total = this->totals.find(token);
        total->second -= count;
        if (total->second == 0)
            this->totals.erase(total);
    }
}

void ActivityBoard::reportEntry(std::string const &instance, std::vector<TargetActivity> const &activity,
                                Timestamp now)
{
    Counts flows;
    for (TargetActivity const &entry : activity) {
        if (entry.flows > 0)
            flows[entry.token] = entry.flows;
    }
    std::scoped_lock const lock(this->mutex);
    EntryReport &report = this->entries[instance];
    this->add(flows);
    this->subtract(report.flows);
    report.flows = std::move(flows);
    report.reportedAt = now;
}

void ActivityBoard::reportPeer(std::string const &instance, GroupFlows const &flows, Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    this->peers[instance] = PeerReport{.flows = flows, .reportedAt = now};
}

void ActivityBoard::removeExpired(Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    std::erase_if(this->entries, [&](auto const &entry) {
        bool const isOld = now - entry.second.reportedAt > reportLifetime;
        if (isOld)
            this->subtract(entry.second.flows);
        return isOld;
    });
    std::erase_if(this->peers,
                  [&](auto const &entry) { return now - entry.second.reportedAt > reportLifetime; });
}

std::vector<TargetActivity> ActivityBoard::changesFor(std::string const &instance,
                                                      std::string const &failureDomain,
                                                      TokenPlaces const &places, Told told)
{
    std::scoped_lock const lock(this->mutex);
    EntryReport &report = this->entries[instance];
    if (told == Told::Nothing)
        report.told.clear();
    std::vector<TargetActivity> changes;
    auto const tokens = places.tokensOfDomain.find(failureDomain);
    if (tokens == places.tokensOfDomain.end())
        return changes;
    for (TargetToken const token : tokens->second) {
        auto const total = this->totals.find(token);
        auto const own = report.flows.find(token);
        std::uint32_t const flows =
            (total == this->totals.end() ? 0 : total->second) - (own == report.flows.end() ? 0 : own->second);
        auto const known = report.told.find(token);
        if (!isWorthTelling(known == report.told.end() ? 0 : known->second, flows))
            continue;
        report.told[token] = flows;
        changes.push_back(TargetActivity{.token = token, .flows = flows});
    }
    std::ranges::sort(changes, {}, &TargetActivity::token);
    return changes;
}

GroupFlows ActivityBoard::ownFlows(TokenPlaces const &places) const
{
    GroupFlows flows;
    std::scoped_lock const lock(this->mutex);
    for (auto const &[token, count] : this->totals) {
        if (auto const group = places.groups.find(token); group != places.groups.end())
            flows[group->second] += count;
    }
    return flows;
}

std::vector<GroupLoad> ActivityBoard::loads(TokenPlaces const &places) const
{
    GroupFlows flows = this->ownFlows(places);
    {
        std::scoped_lock const lock(this->mutex);
        for (auto const &[instance, report] : this->peers) {
            for (auto const &[group, count] : report.flows)
                flows[group] += count;
        }
    }
    std::vector<GroupLoad> loads;
    for (auto const &[group, count] : places.slots)
        loads.push_back(GroupLoad{.group = group, .flows = flows[group], .slots = count});
    return loads;
}

std::size_t ActivityBoard::rankOf(std::string const &entry) const
{
    std::scoped_lock const lock(this->mutex);
    auto const found = this->entries.find(entry);
    return static_cast<std::size_t>(std::distance(this->entries.begin(), found));
}

} // namespace almondwing
