// The part of a replica group member: keeps records of non-idempotent requests for dispatchers, so that a
// second dispatcher finds that a request may have run.
//
// A key has at most one entry, and an entry never changes its holder before it expires:
// - Promised to H: this instance told H that it does not know the request. Only H may record it.
// - Recorded by H: H may have run it. Nobody else may, and H only under the same record id; another id means
//   that H has restarted and lost its memory.
// - Released by H: H has answered NotRun. The entry stays, because a resend that was under way when the
// caller
//   got that answer must not run elsewhere.
// An entry that is lost earlier than it should (restart) is covered by `authoritativeAfter`; see
// RequestSettings.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibRequests/ExpirySchedule.h>
#include <LibRequests/RequestSettings.h>
#include <LibState/Blackboard.h>

#include <optional>
#include <vector>

namespace almondwing {

// The answer to an instance that asks for a promise.
enum class PromiseOutcome : std::uint8_t {
    Given,
    Known, // The request is recorded here, or promised to another instance.
    Unable, // Not known, but this process is too young to vouch for that, or has no room for a promise.
};

class ReplicaRecords
{
public:
    ReplicaRecords(Blackboard &board, RequestSettings const &times, ExpirySchedule &expiry);

    RecordVerdict record(RecordRequest const &request, Timestamp now);
    void release(InstanceId holder, RecordRelease const &release);
    PromiseOutcome promise(RequestKey key, InstanceId asker, Timestamp now);
    std::optional<ReplicaRecord> find(RequestKey key, Timestamp now) const;

    // The longest deadline of the requests that may still run at a target.
    std::optional<Timestamp> longestDeadline(TargetId target, Timestamp now) const;

    void expire(std::vector<RequestKey> const &keys, Timestamp now);

    bool vouches(Timestamp now) const;

private:
    bool hasRoom() const;

    Blackboard &blackboard;
    RequestSettings const &settings;
    ExpirySchedule &schedule;
};

} // namespace almondwing
