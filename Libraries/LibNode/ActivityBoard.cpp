// Implements the sums of flows over entries.

#include <LibNode/ActivityBoard.h>

#include <utility>

namespace almondwing {

namespace {

// Entries report several times a second, control instances about once.
constexpr Duration reportLifetime = 3s;

void addTo(std::map<TargetToken, std::uint32_t> &sums, std::vector<TargetActivity> const &activity)
{
    for (TargetActivity const &entry : activity)
        sums[entry.token] += entry.flows;
}

std::vector<TargetActivity> listOf(std::map<TargetToken, std::uint32_t> const &sums)
{
    std::vector<TargetActivity> list;
    for (auto const &[token, flows] : sums)
        list.push_back(TargetActivity{.token = token, .flows = flows});
    return list;
}

template<typename Reports>
void replaceReport(Cell<Reports> &cell, std::string const &instance, ActivityReport const &report)
{
    cell.update([&](Reports reports) {
        std::erase_if(reports, [&](auto const &entry) {
            return report.reportedAt - entry.second.reportedAt > reportLifetime;
        });
        reports.insert_or_assign(instance, report);
        return reports;
    });
}

} // namespace

void ActivityBoard::reportEntry(std::string const &instance, std::vector<TargetActivity> activity,
                                Timestamp now)
{
    replaceReport(this->entries, instance,
                  ActivityReport{.activity = std::move(activity), .entries = 1, .reportedAt = now});
}

void ActivityBoard::reportPeer(std::string const &instance, ActivitySum const &sum, Timestamp now)
{
    replaceReport(this->peers, instance,
                  ActivityReport{.activity = sum.activity, .entries = sum.entries, .reportedAt = now});
}

ActivitySum ActivityBoard::ownEntries(Timestamp now) const
{
    std::map<TargetToken, std::uint32_t> sums;
    std::uint32_t entryCount = 0;
    auto const reports = this->entries.read();
    for (auto const &[instance, report] : *reports) {
        if (now - report.reportedAt > reportLifetime)
            continue;
        addTo(sums, report.activity);
        ++entryCount;
    }
    return ActivitySum{.activity = listOf(sums), .entries = entryCount};
}

ActivitySum ActivityBoard::allBut(std::string const &instance, Timestamp now) const
{
    std::map<TargetToken, std::uint32_t> sums;
    std::uint32_t entryCount = 0;
    auto const entryReports = this->entries.read();
    for (auto const &[name, report] : *entryReports) {
        if (now - report.reportedAt > reportLifetime)
            continue;
        ++entryCount;
        if (name != instance)
            addTo(sums, report.activity);
    }
    auto const peerReports = this->peers.read();
    for (auto const &[name, report] : *peerReports) {
        if (now - report.reportedAt > reportLifetime)
            continue;
        entryCount += report.entries;
        addTo(sums, report.activity);
    }
    return ActivitySum{.activity = listOf(sums), .entries = entryCount};
}

} // namespace almondwing
