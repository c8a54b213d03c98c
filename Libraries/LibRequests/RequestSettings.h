// Timeouts and limits of request handling. The design page lists the same defaults.

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
    std::size_t maxActiveRequests = 256; // Located, running and cancelled requests per target.
    Duration spillWaitThreshold = 500ms; // A request is spilled if its estimated wait is longer.
    std::uint8_t maxSpillHops = 2;
    std::uint8_t maxForwardHops = 4; // Limits how often a request in phase Forwarded is forwarded.

    Duration retransmitInterval = 200ms; // Of RunRequest, RecordRequest and CancelRequest.
    // A target process that dies serves again after this time at the earliest. Messages about tries carry no
    // start mark. Therefore a non-idempotent RunRequest is retransmitted for a shorter time, and a Shed that
    // arrives later does not prove that the try did not run, because the former process may have run it.
    Duration minTargetRestartTime = 1s;
    Duration nonIdempotentRetransmitTime = 600ms;
    Duration recordTimeout = 1s;
    Duration locateRetransmitInterval = 150ms;
    Duration locateTimeout = 500ms;
    // Callers wait at least this long before they resend a request; see "Requests" on the design page. An
    // idempotent request that this instance has had for longer may have been resent and run by another one.
    Duration minResendDelay = 100ms;
    Duration bucketSettleTime = 2s; // Requests of a bucket that moved more recently are located first.
    // A timeout that is handled later than this after it was due means that the process was paused and that
    // another instance may have taken over. It is shorter than the 3 s that a takeover needs.
    Duration pauseTolerance = 1s;

    Duration missingPartTimeout = 200ms; // Time without a packet until missing parts are requested.
    Duration answerTailTimeout = 500ms; // The same if it is not known whether parts are missing.
    Duration cancelTimeout = 500ms; // Without a confirmation of the cancellation the outcome is Unknown.
    Duration slotGracePeriod = 5s; // After the deadline; then an unconfirmed slot is released.

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
