// Pure functions that decide how a non-idempotent request is located: before its first run, other instances
// are asked whether they know it.
//
// A Locate goes to all dispatchers of the service and to the replica groups of all its targets. A dispatcher
// that took over from a dead one need not have stored the record, but a record is stored by two members of
// the group and read from all members but one, so the two quorums overlap. An instance that answers "not
// known" promises not to run or record the request for any other instance than the sender of the Locate.
// Otherwise an earlier attempt that is still in transit could run after the answer.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>
#include <LibState/RoutingView.h>

#include <functional>
#include <span>
#include <vector>

namespace almondwing {

using DeadCheck = std::function<bool(InstanceId)>;

struct LocatePlan
{
    std::vector<InstanceId> recipients; // Excludes this instance.
    LocateProgress progress;

    friend bool operator==(LocatePlan const &, LocatePlan const &) = default;
};

// `exemptTarget` is a target whose replica group need not be read, or none. It must be a target that this
// instance has dispatched for so long that every record of another dispatcher has expired.
LocatePlan planLocate(ServiceRoutes const &routes, InstanceId self, TargetId exemptTarget,
                      DeadCheck const &isDead);

enum class LocateResult : std::uint8_t {
    Pending,
    NotKnown, // Certain: a read quorum of each replica group has answered that it doesn't know the request.
    Known, // An instance that answered serves the request.
    Recorded, // Another instance may have run the request, but no instance that answered serves it.
    Incomplete, // All instances have answered, but too few of the answers are authoritative.
};

LocateResult evaluateLocate(LocateProgress const &progress);

// Whether another dispatcher may know the request or may have run a copy of it. If so, a non-idempotent
// request must be located before it runs, and a request that was not located must not be refused as NotRun.
// `claims` are the claims of the targets of the service.
bool mayHaveRunElsewhere(RequestRecord const &record, TargetId target, std::uint16_t bucket,
                         ServiceRoutes const &routes, std::span<ClaimUpdate const> claims,
                         Timestamp inheritedUntil, RequestSettings const &settings, Timestamp now);

} // namespace almondwing
