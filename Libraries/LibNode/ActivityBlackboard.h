// The activity of targets, which is the number of active flows at each, summed over the entries that
// report here. Each of them receives the sums over the others, as new totals of those targets of its failure
// domain whose total changed significantly, and the load of each service in the other failure domains.

#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/TargetRegistry.h>
#include <LibTokenRouting/TokenBlackboard.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace almondwing {

// Groups the tokens of all ready targets by service and failure domain. It is rebuilt when the registry
// changes.
struct TokenIndex
{
    absl::flat_hash_map<TargetToken, TargetGroup> groups;
    std::map<std::string, std::vector<TargetToken>> tokensOfDomain;
    std::map<TargetGroup, std::uint32_t> slots;

    friend bool operator==(TokenIndex const &, TokenIndex const &) = default;
};

TokenIndex makeTokenIndex(TargetRegistry const &registry);

using GroupFlows = std::map<TargetGroup, std::uint32_t>;

class ActivityBlackboard
{
public:
    // Replaces the previous report of the entry.
    void updateEntry(std::string const &entryName, std::vector<TargetActivity> const &activity,
                     Timestamp now);
    // Replaces the previous report of another control instance: the flows of the entries that report there.
    void updatePeer(std::string const &peerEndpoint, GroupFlows const &flows, Timestamp now);

    void removeExpired(Timestamp now);

    // Returns the targets of a failure domain at which the flows of the other entries changed significantly
    // since the last reply to this entry, and records them as sent. An empty baseline stands for no flows at
    // all targets.
    enum class Baseline : std::uint8_t { Empty, LastReply };
    std::vector<TargetActivity> takeChangesFor(std::string const &entryName, std::string const &failureDomain,
                                               TokenIndex const &index, Baseline baseline);

    // The flows of the entries that report to this control instance.
    GroupFlows localFlows(TokenIndex const &index) const;
    // The flows of all entries and the slots, of each service in each failure domain.
    std::vector<GroupLoad> loads(TokenIndex const &index) const;

    // The position of the entry among the reporting entries in the order of their names; their count if it
    // does not report.
    std::size_t rankOf(std::string const &entry) const;

private:
    using Counts = absl::flat_hash_map<TargetToken, std::uint32_t>;

    struct EntryReport
    {
        Counts flows;
        Counts lastSent; // The flows of the other entries as last sent to this entry.
        Timestamp reportedAt;
    };

    struct PeerReport
    {
        GroupFlows flows;
        Timestamp reportedAt;
    };

    void addToTotals(Counts const &flows);
    void subtractFromTotals(Counts const &flows);

    mutable std::mutex mutex; // Guards all members below.
    std::map<std::string, EntryReport> entries;
    std::map<std::string, PeerReport> peers;
    Counts totals; // Sums over `entries`; targets without flows are left out.
};

} // namespace almondwing
