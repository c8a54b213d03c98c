// The silence of whole failure domains, as one instance observes it. When a failure domain loses power or is
// cut off, an instance has at most one or two flows at each of its many targets, too few to judge any of them
// alone. Targets of one failure domain that stop answering within a short time, while none of its targets
// answers, confirm each other.
//
// The state is soft and never leaves the instance: a cut link between the instance and the failure domain
// looks the same, and for the callers of this instance it is the same.

#pragma once

#include <LibBlackboard/ShardedTable.h>
#include <LibRegistry/RegisteredTarget.h>

#include <cstddef>
#include <string>
#include <vector>

namespace almondwing {

struct DomainSilenceSettings
{
    // Callers retransmit after 200 ms and a check takes up to 120 ms, so unanswered checks of targets that
    // were lost together end within less than this time of each other.
    Duration window = 1s;
    std::size_t minTargets = 2; // A single unanswered check may be a lost packet.

    friend bool operator==(DomainSilenceSettings const &, DomainSilenceSettings const &) = default;
};

struct SilentCheck
{
    TargetNumber target;
    Timestamp endedAt;

    friend bool operator==(SilentCheck const &, SilentCheck const &) = default;
};

struct DomainSilence
{
    Timestamp lastAnswerAt; // When an answer of any of its targets was last observed.
    // Checks without an answer since then, of different targets, oldest first. Older ones than the window are
    // removed with the next one.
    std::vector<SilentCheck> checks;

    bool isSilentAt(Timestamp now, DomainSilenceSettings const &settings) const;

    friend bool operator==(DomainSilence const &, DomainSilence const &) = default;
};

using DomainSilenceTable = ShardedTable<std::string, DomainSilence, 16>; // By failure domain.

// Records an answer to a caller, or an accepted check, of any target of the failure domain.
void recordDomainAnswer(DomainSilenceTable &table, std::string const &failureDomain, Timestamp now);

struct SilenceVerdict
{
    // Targets whose silence is confirmed: all those with a recent check without an answer, or none.
    std::vector<TargetNumber> targets;
    bool isNew = false; // The failure domain has fallen silent with this check.

    friend bool operator==(SilenceVerdict const &, SilenceVerdict const &) = default;
};

// Records a check without an answer of a target with an unanswered flow.
SilenceVerdict recordSilentCheck(DomainSilenceTable &table, std::string const &failureDomain,
                                 TargetNumber target, DomainSilenceSettings const &settings, Timestamp now);

} // namespace almondwing
