// Runs one replica of the log: its storage on a folder, its work on a serial queue because a sync may block,
// and its recovery after the disk refused a write.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibReplication/ReplicationCore.h>

#include <absl/status/statusor.h>

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
    // Before the log is opened, first or again: the state machine goes back to its beginning.
    std::function<void()> reset;
    std::function<void(LogEntry const &)> apply;
    std::function<void(Snapshot const &)> restore;
    std::function<std::string()> takeSnapshot;
    // After each piece of work: what is applied now.
    std::function<void(LogIndex applied)> publish;
    std::function<bool()> mayBootstrap;
    std::function<std::vector<std::string>()> knownInstances;
    EventReporter report;
};

struct ReplicatedLogSettings
{
    std::string instance;
    std::string dataFolder;
    ReplicationSettings replication;
    Duration tickInterval = 25ms; // A fourth of the heartbeat interval of the log.
    Duration reopenInterval = 1s; // Between attempts to open a data folder that failed.
};

struct LogContact
{
    ReplicationStatus status;
    bool isInContact = false; // Leads with a majority, or heard such a leader a short time ago.

    friend bool operator==(LogContact const &, LogContact const &) = default;
};

class ReplicatedLog
{
public:
    ReplicatedLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, ReplicatedLogHooks logHooks);

    void start();

    // FailedPrecondition: another replica leads, or the storage failed; Unavailable: no leader is known.
    // Nothing was done then. Unknown: the entry may yet be committed. OK comes after publish().
    void propose(std::string payload, std::function<void(absl::Status const &)> result);

    // OK once the state machine reflects everything that was committed before the call.
    void confirmRead(std::function<void(absl::Status const &)> result);

    void handleMessage(ReplicaEnvelope envelope);
    void resign();

    Cell<LogContact>::Snapshot contact() const { return this->published.read(); }

private:
    ReplicationHooks coreHooks();
    void open();
    void tick();
    void runOnQueue(std::function<void(ReplicationCore &)> work);
    void publish();
    void answer(std::function<void(absl::Status const &)> result, absl::Status status);
    void resolveProposal(LogIndex index, ProposalOutcome outcome);
    absl::Status notOpen() const;

    IoRuntime &runtime;
    ReplicatedLogSettings settings;
    ReplicatedLogHooks hooks;
    SerialQueue queue;
    Cell<LogContact> published;

    // Touched only by work on the queue.
    std::optional<ReplicationCore> core; // Absent while the folder can't be opened.
    absl::Status openFailure;
    Timestamp nextOpen;
    std::map<LogIndex, std::function<void(absl::Status const &)>> proposals;
    std::map<ReadToken, std::function<void(absl::Status const &)>> reads;
    // Given when the state that they tell of is published, so that whoever asks after an answer sees it.
    std::vector<std::function<void()>> answers;
};

} // namespace almondwing
