// The control role of an instance: the replicated log with its storage and transport, and the configuration
// state machine that it drives. All operations on the log run on one serial queue, because a disk sync may
// block.

#pragma once

#include <LibConfiguration/ConfigurationStateMachine.h>
#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibReplication/ReplicationCore.h>
#include <LibSettings/DaemonSettings.h>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondwing {

struct ControlReplicaHooks
{
    std::function<void(Configuration const &)> configurationCommitted;
    // Returns false once a peer has reported a configuration. A bootstrap would then start a second,
    // conflicting history.
    std::function<bool()> mayBootstrap;
    EventReporter report;
};

// Receives the outcome of a change from the state machine, or an error. After FailedPrecondition (not the
// leader, or failed), InvalidArgument (too large), ResourceExhausted (too many changes pending) or
// Unavailable, the change was not proposed. After Unknown, the change may still be accepted; a resend with
// the same request id returns its outcome.
using ChangeCallback = std::function<void(absl::StatusOr<ChangeOutcome>)>;

class ControlReplica
{
public:
    static absl::StatusOr<std::shared_ptr<ControlReplica>>
    open(IoRuntime &runtime, DaemonSettings const &settings, ControlReplicaHooks hooks);

    void start();

    void submit(ChangeRequest request, ChangeCallback callback);
    void handleReplicationMessage(std::string const &body);

    // Reads the state after a majority has confirmed this replica as the leader. Passes an error to the
    // callback if the confirmation fails.
    void readLinearizable(std::function<void(absl::StatusOr<Cell<ConfigurationState>::Snapshot>)> callback);

    // Returns the state that this replica has applied, which may lag behind the majority.
    Cell<ConfigurationState>::Snapshot appliedState() const { return this->machine.snapshot(); }
    ReplicationStatus status() const { return *this->publishedStatus.read(); }
    ReplicationCounters counters() const { return *this->publishedCounters.read(); }

private:
    ControlReplica(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings,
                   ControlReplicaHooks replicaHooks);

    ReplicationHooks coreHooks();
    void send(ReplicaEnvelope const &envelope);
    void apply(LogEntry const &entry);
    void restore(Snapshot const &snapshot);
    void resolveProposal(LogIndex index, ProposalOutcome outcome);
    void propose(ChangeRequest const &request, ChangeCallback const &callback);
    void publishStatus();
    void runOnQueue(std::function<void(ReplicationCore &)> work);

    IoRuntime &runtime;
    std::string cluster;
    std::map<std::string, Endpoint> controlInstances; // HTTP endpoints of the other control instances.
    ControlReplicaHooks hooks;
    SerialQueue queue;
    ConfigurationStateMachine machine;
    Cell<ReplicationStatus> publishedStatus;
    Cell<ReplicationCounters> publishedCounters;

    // Accessed only on the queue.
    std::optional<ReplicationCore> core;
    std::map<LogIndex, ChangeCallback> pendingChanges;
    std::map<LogIndex, ChangeOutcome> appliedOutcomes; // Contains only indexes in pendingChanges.
    std::map<ReadToken, std::function<void(absl::Status const &)>> pendingReads;
};

} // namespace almondwing
