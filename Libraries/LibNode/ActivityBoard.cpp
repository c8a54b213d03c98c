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
                  ActivityReport{.activity = std::move(activity), .reportedAt = now});
}

void ActivityBoard::reportPeer(std::string const &instance, std::vector<TargetActivity> activity,
                               Timestamp now)
{
    replaceReport(this->peers, instance, ActivityReport{.activity = std::move(activity), .reportedAt = now});
}

std::vector<TargetActivity> ActivityBoard::ownEntries(Timestamp now) const
{
    std::map<TargetToken, std::uint32_t> sums;
    auto const reports = this->entries.read();
    for (auto const &[name, report] : *reports) {
        if (now - report.reportedAt <= reportLifetime)
            addTo(sums, report.activity);
    }
    return listOf(sums);
}

std::vector<TargetActivity> ActivityBoard::allBut(std::string const &instance, Timestamp now) const
{
    std::map<TargetToken, std::uint32_t> sums;
    for (auto const &reports : {this->entries.read(), this->peers.read()}) {
        for (auto const &[name, report] : *reports) {
            if (name != instance && now - report.reportedAt <= reportLifetime)
                addTo(sums, report.activity);
        }
    }
    return listOf(sums);
}

std::vector<std::string> ActivityBoard::entryNames(Timestamp now) const
{
    std::vector<std::string> names;
    auto const reports = this->entries.read();
    for (auto const &[name, report] : *reports) {
        if (now - report.reportedAt <= reportLifetime)
            names.push_back(name);
    }
    return names;
}

} // namespace almondwing
