// Pure decisions about locating a non-idempotent request before it is run for the first time.
//
// All dispatchers of the service are asked, and the replica groups of all its targets: a dispatcher that took
// over from a dead one need not hold the record itself, but of any two members that stored it and any
// (size - 1) members that are read, one is the same. An instance that answers "not known" promises not to
// run or record the request for anybody but the asker, so that an earlier attempt that is still on its way
// cannot run behind the answer.

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
    std::vector<InstanceId> ask; // Without this instance.
    LocateProgress progress;

    friend bool operator==(LocatePlan const &, LocatePlan const &) = default;
};

// `ownTarget` is a target whose records this instance need not read: none, or one for which it has dispatched
// for so long that no other instance can have recorded a request that is still alive.
LocatePlan planLocate(ServiceRoutes const &routes, InstanceId self, TargetId ownTarget,
                      DeadCheck const &isDead);

enum class LocateResult : std::uint8_t {
    Pending,
    NotKnown, // Certain.
    Known, // Served by an instance that answered.
    Recorded, // Another instance may have run it; nobody serves it.
    Incomplete, // All have answered, but not enough of them vouch for their memory.
};

LocateResult judgeLocate(LocateProgress const &progress);

// Whether another dispatcher may know the request or have run a copy of it, so that a non-idempotent one must
// be located first, and none can be refused as "not run" without that. `claims` are those of the targets of
// the service.
bool mayHaveRunElsewhere(RequestRecord const &record, TargetId target, std::uint16_t bucket,
                         ServiceRoutes const &routes, std::span<ClaimUpdate const> claims,
                         Timestamp takeoverUntil, RequestSettings const &settings, Timestamp now);

} // namespace almondwing
