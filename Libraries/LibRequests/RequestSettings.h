// Times and bounds of request handling. The defaults are those of the design page.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace almondwing {

// Whether work that can't be answered before its deadline is refused early and not started.
enum class DeadlineChecks : std::uint8_t {
    Applied,
    Off, // For measuring what the checks are worth.
};

struct RequestSettings
{
    // Start of this process. Until `authoritativeAfter` later its replica records may lack what a former
    // process of the same instance had stored, so it does not vouch for requests that it does not know.
    Timestamp startedAt;
    Duration authoritativeAfter = 90s; // longestRecorded + keepAfterDeadline: no record lives longer.

    // Non-idempotent requests with more time left are refused: their records would outlive
    // `authoritativeAfter`.
    Duration longestRecorded = 60s;
    Duration longestDeadline = 1h; // More time left is cut down to this.

    std::size_t maxQueueLength = 16; // For each target and class.
    DeadlineChecks deadlineChecks = DeadlineChecks::Applied;
    std::size_t maxActiveRequests = 256; // Located, running and cancelled requests of one target.
    Duration spillWait = 500ms; // An expected wait above this makes another target worth a hop.
    std::uint8_t maxSpillHops = 2;
    std::uint8_t maxPassOnHops = 4; // A request that was handed elsewhere is passed on at most this often.

    Duration repeatEvery = 200ms; // RunRequest, RecordRequest, CancelRequest.
    // A target process that dies needs at least this long until it serves again. Messages about tries carry
    // no start mark, so a non-idempotent try is repeated for less than this, and a Shed that comes later does
    // not prove that it did not run: the former process may have run it.
    Duration targetRestartTime = 1s;
    Duration repeatNonIdempotentFor = 600ms;
    Duration recordWait = 1s;
    Duration locateRepeatEvery = 150ms;
    Duration locateWait = 500ms;
    // No caller sends a request again sooner than this; see "Requests" on the design page. An idempotent
    // request that has been here for longer may have been sent again and run elsewhere.
    Duration soonestResend = 100ms;
    Duration bucketSettleTime = 2s; // A bucket that moved less than this ago is located first.
    // A timeout noticed later than this after it was due means that the process was paused, and that another
    // instance may have taken over. Shorter than the 3 s that a takeover needs.
    Duration pauseTolerance = 1s;

    Duration askForPartsAfter = 200ms; // Silence after which gaps in an answer are asked for.
    Duration askForTailAfter = 500ms; // The same when it is not known whether parts are missing.
    Duration cancelWait = 500ms; // For the confirmation of a cancelled try, before its outcome is unknown.
    Duration slotGrace = 5s; // After the deadline, until a slot without confirmation is free again.

    std::uint32_t maxTries = 3;
    Duration minRetryDelay = 50ms;

    // With one slot, bulk starts only after the target had no urgent or interactive work for this long.
    // Otherwise an urgent request that arrives a moment later would wait for a whole bulk service time.
    Duration bulkQuietTime = 500ms;
    Duration slowAnswer = 2s; // An urgent or interactive answer that takes longer counts as slow.

    Duration keepAfterFinish = 60s;
    Duration keepAfterDeadline = 30s;
    Duration keepPromiseFor = 60s;
    std::size_t keptAnswerBytes = std::size_t{64} << 20U;
    std::size_t answerBytes = std::size_t{16} << 20U; // Of one answer.
    std::size_t replicaRecordBound = 200'000; // About 100 bytes each.

    std::size_t pacedPartBound = 65'536;
    std::uint64_t bulkBytesPerSecond = 64'000'000;
};

} // namespace almondwing
