// Judges the health of a target at each check: first by what it did with its requests and flows, and only
// without such evidence by what its health endpoint says. Pure functions.
//
// A target that was excluded because its requests timed out, while its endpoint says healthy, would come back
// after each two checks and time out again. It needs twice as many successful checks after each relapse.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/TargetUsage.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr std::uint32_t failuresToExclude = 3;
constexpr std::uint32_t successesToReturn = 2;
constexpr std::uint32_t mostSuccessesToReturn = 64;
// A target that is excluded again later than this after its return needs only the fewest successes again.
constexpr Duration relapseMemory = 60s;

enum class Inclusion : std::uint8_t { InUse, Excluded };

struct HealthProgress
{
    Inclusion inclusion = Inclusion::InUse;
    std::optional<Timestamp> lastReturn{}; // When it was last included again.
    std::uint32_t failures = 0; // In a row.
    std::uint32_t successes = 0; // In a row.
    std::uint32_t successesNeeded = successesToReturn;
    // The totals of TargetUsage at the last check.
    std::uint64_t answeredSeen = 0;
    std::uint64_t timedOutSeen = 0;
    Timestamp previousLastReceived;
    Timestamp lastSignOfLife; // Announcement, packet or answer of the health endpoint.

    friend bool operator==(HealthProgress const &, HealthProgress const &) = default;
};

enum class CheckResult : std::uint8_t { Success, Failure };

enum class AnnouncementAge : std::uint8_t { Recent, Missing };

HealthProgress startHealth(TargetUsage const &usage, Timestamp now);

CheckResult judgeCheck(HealthProgress const &progress, TargetUsage const &usage, HealthAnswer endpoint,
                       AnnouncementAge announcement);

HealthProgress noteCheck(HealthProgress const &progress, TargetUsage const &usage, HealthAnswer endpoint,
                         AnnouncementAge announcement, Timestamp now);

// Whether the target has failed often enough to be excluded from new work.
bool isFailing(HealthProgress const &progress);

// Whether an excluded target has succeeded often enough to be used again.
bool isReadyToReturn(HealthProgress const &progress);

HealthProgress exclude(HealthProgress progress, Timestamp now);
HealthProgress includeAgain(HealthProgress progress, Timestamp now);

} // namespace almondwing
