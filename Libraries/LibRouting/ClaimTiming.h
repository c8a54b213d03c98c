// Times after which claims are known at the instances that search by them. The publication of claims and the
// search for flows must agree on these.

#pragma once

#include <LibCore/Time.h>

namespace almondwing {

// Claims are recomputed this soon after a change of the routing view.
constexpr Duration changeRecomputeInterval = 500ms;

// How long a new dispatcher waits for the claims of the previous one, which learns of its successor within a
// second and then transfers its claims.
constexpr Duration transferPeriod = 2s;

// The instances of a failure domain learn of a start or an end of one of them within this time.
constexpr Duration memberSpread = 1s;

// After a dispatcher has taken over a target, or a bucket has moved, claims of other dispatchers may still be
// in transit. A packet of an unknown flow is dropped without a reply during this period; the caller
// retransmits it. The longest way of a claim to an instance that has just started: a dispatcher learns of the
// start but ends before it publishes to that instance, and its successor learns of this, awaits the transfer
// and publishes then.
constexpr Duration searchGracePeriod = 2 * memberSpread + transferPeriod + 2 * changeRecomputeInterval;

} // namespace almondwing
