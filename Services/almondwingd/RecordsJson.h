// The JSON encoding of member and target records, which instances fetch from each other, and of target
// announcements.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/Blackboard.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace almondwing {

struct ClusterRecords
{
    std::vector<MemberRecord> members;
    std::vector<TargetRecord> targets;

    static ClusterRecords of(Blackboard const &blackboard);

    friend bool operator==(ClusterRecords const &, ClusterRecords const &) = default;
};

std::string formatClusterRecords(ClusterRecords const &records);

// Rejects the whole text if any of its records is incomplete.
absl::StatusOr<ClusterRecords> parseClusterRecords(std::string const &text);

absl::StatusOr<TargetAnnouncement> parseAnnouncement(std::string const &text);

} // namespace almondwing
