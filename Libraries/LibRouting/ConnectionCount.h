// Counts the open flows of a target against its connection limit. All changes go through these functions, so
// that the count on the blackboard is exact whichever thread opens or ends a flow.

#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibState/Blackboard.h>

#include <algorithm>
#include <cstdint>

namespace almondwing {

enum class AcquireOutcome { Acquired, LimitReached };

// Returns the connections that count as in use: those of known flows and those that a previous dispatcher may
// have left open.
constexpr std::uint32_t occupiedConnections(TargetUsage const &usage, Timestamp now)
{
    return usage.connections + (now < usage.inheritedUntil ? usage.inheritedConnections : 0);
}

inline AcquireOutcome acquireConnection(Blackboard &blackboard, TargetId target, std::uint32_t limit,
                                        Timestamp now)
{
    auto outcome = AcquireOutcome::LimitReached;
    blackboard.usage.update(
        target, [&](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
            TargetUsage next = current.value_or(TargetUsage{});
            outcome = occupiedConnections(next, now) < limit ? AcquireOutcome::Acquired
                                                             : AcquireOutcome::LimitReached;
            if (outcome == AcquireOutcome::LimitReached)
                return std::nullopt;
            ++next.connections;
            return next;
        });
    return outcome;
}

// An adopted flow was counted as an inherited connection, so it moves from that count to the other.
inline void adoptConnection(Blackboard &blackboard, TargetId target)
{
    blackboard.usage.update(target,
                            [](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
                                TargetUsage next = current.value_or(TargetUsage{});
                                ++next.connections;
                                next.inheritedConnections -= std::min(next.inheritedConnections, 1U);
                                return next;
                            });
}

inline void releaseConnection(Blackboard &blackboard, TargetId target)
{
    blackboard.usage.update(target,
                            [](std::optional<TargetUsage> const &current) -> std::optional<TargetUsage> {
                                if (!current || current->connections == 0)
                                    return std::nullopt;
                                TargetUsage next = *current;
                                --next.connections;
                                return next;
                            });
}

} // namespace almondwing
