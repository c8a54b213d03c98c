// How many flows the entries have at each target, as they and other control instances report it. Entries
// place new flows by the sum over all others.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibCore/Time.h>
#include <LibTokenRouting/TokenBoard.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondwing {

struct ActivityReport
{
    std::vector<TargetActivity> activity;
    Timestamp reportedAt;

    friend bool operator==(ActivityReport const &, ActivityReport const &) = default;
};

class ActivityBoard
{
public:
    // An entry or a control instance, by its name; an older report of it is replaced.
    void reportEntry(std::string const &instance, std::vector<TargetActivity> activity, Timestamp now);
    void reportPeer(std::string const &instance, std::vector<TargetActivity> activity, Timestamp now);

    // Over all entries that report here.
    std::vector<TargetActivity> ownEntries(Timestamp now) const;
    // Over all entries that are known, but for the flows of one of them.
    std::vector<TargetActivity> allBut(std::string const &instance, Timestamp now) const;

    // The entries that report here, in the order of their names.
    std::vector<std::string> entryNames(Timestamp now) const;

private:
    using Reports = std::map<std::string, ActivityReport>;

    Cell<Reports> entries;
    Cell<Reports> peers;
};

} // namespace almondwing
