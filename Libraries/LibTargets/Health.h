// Pure functions that evaluate the health of a target at each check. The results of its requests and flows
// decide first. Without any, a received packet is a success, overdue announcements are a failure, and
// otherwise the answer of its health endpoint decides. A target whose requests time out while its endpoint
// reports healthy would be included again after two checks and time out again. Therefore it needs twice as
// many successful checks after each repeated exclusion.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/TargetAnnouncement.h>
#include <LibState/TargetUsage.h>

#include <cstdint>
#include <optional>

namespace almondwing {

constexpr std::uint32_t failuresToExclude = 3;
constexpr std::uint32_t successesToReturn = 2;
constexpr std::uint32_t maxSuccessesToReturn = 64;
// If a target is excluded again within this time after it recovered, it needs twice as many successful checks
// as before, up to maxSuccessesToReturn; otherwise it needs successesToReturn.
constexpr Duration repeatedExclusionWindow = 60s;

enum class Inclusion : std::uint8_t { Included, Excluded };

struct HealthState
{
    Inclusion inclusion = Inclusion::Included;
    std::optional<Timestamp> lastRecovery{}; // When it last passed enough checks to be included again.
    std::uint32_t failures = 0; // Consecutive.
    std::uint32_t successes = 0; // Consecutive.
    std::uint32_t successesNeeded = successesToReturn;
    // The values of TargetUsage at the last check.
    std::uint64_t previousCompleted = 0; // The sum of answered and accepted.
    std::uint64_t previousTimedOut = 0;
    Timestamp previousLastReceived;
    Timestamp lastSeenAt; // The last announcement, packet or answer of the health endpoint.

    friend bool operator==(HealthState const &, HealthState const &) = default;
};

enum class CheckResult : std::uint8_t { Success, Failure };

enum class AnnouncementStatus : std::uint8_t { Recent, Overdue };

HealthState initialHealth(TargetUsage const &usage, Timestamp now);

CheckResult evaluateCheck(HealthState const &health, TargetUsage const &usage, HealthAnswer answer,
                          AnnouncementStatus announcement);

HealthState recordCheckResult(HealthState const &health, TargetUsage const &usage, HealthAnswer answer,
                              AnnouncementStatus announcement, Timestamp now);

// Returns whether the target has failed enough checks to be excluded from new work.
bool isFailing(HealthState const &health);

// Returns whether an excluded target has passed enough checks to be included again.
bool isReadyToReturn(HealthState const &health);

HealthState exclude(HealthState health, Timestamp now);
HealthState includeAfterRecovery(HealthState health, Timestamp now);

} // namespace almondwing
