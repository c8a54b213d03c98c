// How many flows the entries have at each target, as they report it. An entry gets the sums over all others
// for the targets of its own failure domain, as differences; of other failure domains it gets the load of
// each service.

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

// The tokens of the registry by where their targets are, made anew when the registry changes.
struct TokenPlaces
{
    absl::flat_hash_map<TargetToken, TargetGroup> groups;
    std::map<std::string, std::vector<TargetToken>> tokensOfDomain;
    std::map<TargetGroup, std::uint32_t> slots;

    friend bool operator==(TokenPlaces const &, TokenPlaces const &) = default;
};

TokenPlaces tokenPlaces(TargetRegistry const &registry);

using GroupFlows = std::map<TargetGroup, std::uint32_t>;

class ActivityBoard
{
public:
    // An entry, by its name; its earlier report is replaced.
    void reportEntry(std::string const &instance, std::vector<TargetActivity> const &activity, Timestamp now);
    // Another control instance: the flows of the entries that report there.
    void reportPeer(std::string const &instance, GroupFlows const &flows, Timestamp now);

    void removeExpired(Timestamp now);

    // What has changed for an entry since it was told last, for the targets of a failure domain; everything
    // if it was told nothing.
    enum class Told : std::uint8_t { Nothing, Earlier };
    std::vector<TargetActivity> changesFor(std::string const &instance, std::string const &failureDomain,
                                           TokenPlaces const &places, Told told);

    // Flows of the entries that report here.
    GroupFlows ownFlows(TokenPlaces const &places) const;
    // Flows of all entries for the slots of each service in each failure domain.
    std::vector<GroupLoad> loads(TokenPlaces const &places) const;

    // How many of the entries that report here come before it by name; all of them if it does not report.
    std::size_t rankOf(std::string const &entry) const;

private:
    using Counts = absl::flat_hash_map<TargetToken, std::uint32_t>;

    struct EntryReport
    {
        Counts flows;
        Counts told; // Flows of the others, as the entry was told last.
        Timestamp reportedAt;
    };

    struct PeerReport
    {
        GroupFlows flows;
        Timestamp reportedAt;
    };

    void add(Counts const &flows);
    void subtract(Counts const &flows);

    mutable std::mutex mutex; // Guards all members below.
    std::map<std::string, EntryReport> entries;
    std::map<std::string, PeerReport> peers;
    Counts totals; // Sums over `entries`.
};

} // namespace almondwing
