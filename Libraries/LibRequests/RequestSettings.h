// Timeouts and limits of request handling. docs/design.md lists the same defaults.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// Whether requests that can't be answered before their deadline are refused early and not started.
enum class DeadlineChecks : std::uint8_t {
    Applied,
    Off, // Only for benchmarks that compare runs with and without the checks.
};

struct RequestSettings
{
    // The start of this process. Until `authoritativeAfter` has passed since then, replica records that a
    // former process of the same instance had stored may be missing, so a "not known" from this process is
    // not authoritative. The default is maxNonIdempotentTimeLeft + keepAfterDeadline, and no record lives
    // longer.
    Timestamp startedAt;
    Duration authoritativeAfter = 90s;

    // Non-idempotent requests with more time left are refused, because their records would outlive
    // `authoritativeAfter`.
    Duration maxNonIdempotentTimeLeft = 60s;
    Duration maxTimeLeft = 1h; // A longer time left is reduced to this.

    std::size_t maxQueueLength = 16; // Per target and request class.
    DeadlineChecks deadlineChecks = DeadlineChecks::Applied;
    std::size_t maxActiveRequests = 256; // Per target; RequestQueue::active says which requests count.
    Duration spillWaitThreshold = 500ms; // A request is spilled if its estimated wait is longer.
    std::uint8_t maxSpillHops = 2; // Requests forwarded this often, for any purpose, are not spilled.
    std::uint8_t maxForwardHops = 4; // The hop limit for forwarding in phase Forwarded and while stopping.

    Duration retransmitInterval = 200ms; // Of RunRequest, RecordRequest and CancelRequest.
    // A target whose process has died serves again after this time at the earliest. Messages about tries have
    // no start mark. Therefore a non-idempotent RunRequest is retransmitted for a shorter time, and a Shed
    // that arrives later does not prove that the try did not run, because the former process may have run it.
    Duration minTargetRestartTime = 1s;
    Duration nonIdempotentRetransmitTime = 600ms;
    Duration recordTimeout = 1s;
    Duration locateRetransmitInterval = 150ms;
    Duration locateTimeout = 500ms;
    // Callers wait at least this long before they resend a request; see "Requests" in docs/design.md. An
    // idempotent request that this instance has had for longer may have been resent and run by another one.
    Duration minResendDelay = 100ms;
    // If a bucket moved more recently than this, another instance may have run its requests. Non-idempotent
    // ones are located before they run, and idempotent ones end in OutcomeUnknown instead of NotRun.
    Duration bucketSettleTime = 2s;
    // A timeout that is handled later than this after it was due means that the process was paused and that
    // another instance may have taken over. It is shorter than the 3 s that a takeover needs. It is
    // also the assumed maximum lag between the routing views of two instances; see TryRunner::mayStillStart.
    Duration pauseTolerance = 1s;

    Duration missingPartTimeout = 200ms; // Time without a packet until missing parts are requested.
    // Time without a packet until the next part is requested, if no received part shows a gap.
    Duration nextPartTimeout = 500ms;
    Duration cancelTimeout = 500ms; // Without a confirmation of the cancellation the outcome is Unknown.
    // A slot whose release is not confirmed is released this long after the deadline. A new dispatcher counts
    // all slots as in use for at least this long.
    Duration slotGracePeriod = 5s;

    std::uint32_t maxTries = 3;
    Duration minRetryDelay = 50ms;

    // A target with one slot gets a bulk request only after it had no urgent or interactive request for this
    // long. Otherwise an urgent request that arrives a moment later would wait for a whole bulk service time.
    Duration bulkQuietTime = 500ms;
    Duration slowAnswerThreshold = 2s; // Urgent and interactive answers that take longer count as slow.

    Duration keepAfterFinish = 60s;
    Duration keepAfterDeadline = 30s;
    Duration promiseLifetime = 60s;
    std::size_t maxStoredAnswerBytes = std::size_t{64} << 20U;
    std::size_t maxAnswerBytes = std::size_t{16} << 20U; // Per answer.
    std::size_t maxReplicaRecords = 200'000; // About 100 bytes each.

    std::size_t maxPacedParts = 65'536;
    std::uint64_t bulkBytesPerSecond = 64'000'000;
};

} // namespace almondwing
