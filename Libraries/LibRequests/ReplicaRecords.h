// Records of non-idempotent requests that this instance stores as a member of replica groups. From them a
// second dispatcher learns that a request may have run already.
//
// A key has at most one entry, and an entry keeps its holder until it expires:
// - Promised to H: this instance answered H that it does not know the request. Only H may record it.
// - Recorded by H: H may have run the request. No other instance may run it, and H may run it only under the
//   same record id. A different id means that H has restarted and lost its state.
// - Released by H: H has answered NotRun. The entry stays, because a resend that was in transit when the
//   caller received that answer must not run at another instance.
// `RequestSettings::authoritativeAfter` covers entries that a restart loses before they expire.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibRequests/ExpirySchedule.h>
#include <LibRequests/RequestSettings.h>
#include <LibState/Blackboard.h>

#include <optional>
#include <vector>

namespace almondwing {

// The result of a request for a promise.
enum class PromiseOutcome : std::uint8_t {
    Given,
    AlreadyHeld, // The request is recorded here, or promised to another instance.
    Inconclusive, // Not known, but the process started too recently to be authoritative, or the table is
                  // full.
};

class ReplicaRecords
{
public:
    ReplicaRecords(Blackboard &board, RequestSettings const &requestSettings, ExpirySchedule &expiry);

    RecordVerdict record(RecordRequest const &request, Timestamp now);
    void release(InstanceId holder, RecordRelease const &release);
    PromiseOutcome promise(RequestKey key, InstanceId requester, Timestamp now);
    std::optional<ReplicaRecord> find(RequestKey key, Timestamp now) const;

    // Returns the latest deadline of the recorded requests that may still run at the target, if there are
    // any.
    std::optional<Timestamp> latestDeadline(TargetId target, Timestamp now) const;

    void expire(std::vector<RequestKey> const &keys, Timestamp now);

    // Whether a missing entry proves that no request was recorded here; see `authoritativeAfter`.
    bool isAuthoritative(Timestamp now) const;

private:
    bool hasRoom() const;

    Blackboard &blackboard;
    RequestSettings const &settings;
    ExpirySchedule &schedule;
};

} // namespace almondwing
