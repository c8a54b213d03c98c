// Runs one replica of the log: its storage in a folder, its work on a serial queue because fsync() may block,
// and its recovery after a failed write.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibReplication/ReplicationCore.h>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// The hooks of the state machine are called on the queue of the log.
struct ReplicatedLogHooks
{
    std::function<void(ReplicaEnvelope)> send;
    // Called before the log is opened, also when it is opened again: resets the state machine to its initial
    // state.
    std::function<void()> reset;
    std::function<void(LogEntry const &)> apply;
    std::function<void(Snapshot const &)> restore;
    std::function<std::string()> takeSnapshot;
    // Called with the index of the last applied entry after the status has changed.
    std::function<void(LogIndex applied)> publish;
    std::function<bool()> mayBootstrap;
    std::function<std::vector<std::string>()> knownInstances;
    EventReporter report;
};

struct ReplicatedLogSettings
{
    std::string instance; // Name of this replica in the log; for a ControlServer, its endpoint as text.
    std::string dataFolder;
    ReplicationSettings replication;
    Duration tickInterval = 25ms; // A quarter of the heartbeat interval of the log.
    Duration reopenInterval = 1s; // Between attempts to open the data folder after a failure.
};

// The status of the replica, and whether it is in contact with a majority.
struct LogContact
{
    ReplicationStatus status;
    bool isInContact = false; // Is a leader with a majority, or was in contact with such a leader recently.

    friend bool operator==(LogContact const &, LogContact const &) = default;
};

class ReplicatedLog
{
public:
    ReplicatedLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, ReplicatedLogHooks logHooks);

    void start();

    // Appends an entry to the log and passes the outcome to `result`: OK once the entry is committed and the
    // hook `publish` has run; Unknown if the entry may still be committed. After any other error nothing has
    // been appended: FailedPrecondition if another replica leads or the storage failed, Unavailable if no
    // leader is known, InvalidArgument if the payload is too large, ResourceExhausted if too many entries
    // wait to be committed.
    void propose(std::string payload, std::function<void(absl::Status const &)> result);

    // The result is OK once the state machine reflects all entries that were committed before the call.
    void confirmRead(std::function<void(absl::Status const &)> result);

    void handleMessage(ReplicaEnvelope envelope);
    void stepDown();

    Cell<LogContact>::Snapshot contact() const { return this->published.read(); }

    // Whether this replica is in contact with a majority at the time `now`. After a pause of the process the
    // last known contact does not count until the replica has checked it again.
    bool isInContact(Timestamp now) const;

private:
    ReplicationHooks coreHooks();
    void open();
    void tick();
    void runOnQueue(std::function<void(ReplicationCore &)> work);
    void publish();
    void answer(std::function<void(absl::Status const &)> result, absl::Status status);
    void resolveProposal(LogIndex index, ProposalOutcome outcome);
    absl::Status notOpenError() const;

    IoRuntime &runtime;
    ReplicatedLogSettings settings;
    ReplicatedLogHooks hooks;
    SerialQueue queue;
    Cell<LogContact> published;
    std::atomic<Timestamp> contactCheckedAt{Timestamp{}}; // When `published` was last brought up to date.

    // The members below are accessed only on the queue.
    std::optional<ReplicationCore> core; // Absent while the data folder can't be opened.
    absl::Status openFailure;
    Timestamp nextOpen;
    std::map<LogIndex, std::function<void(absl::Status const &)>> proposals;
    std::map<ReadToken, std::function<void(absl::Status const &)>> reads;
    // Sent after the state that they refer to is published, so that a read that follows an answer sees that
    // state.
    std::vector<std::function<void()>> pendingAnswers;
};

} // namespace almondwing
