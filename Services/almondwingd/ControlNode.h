// The part of a control instance: the replicated log with its storage and transport, and the configuration
// state machine on top. All work on the log runs on one serial queue, because a sync may block.

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

// Hooks to the rest of the daemon.
struct ControlNodeHooks
{
    std::function<void(Configuration const &)> configurationCommitted;
    // False while a peer has reported a configuration, so that no second history begins.
    std::function<bool()> mayBootstrap;
    EventReporter report;
};

// The outcome of a change for the operator: an outcome of the state machine, or an error. FailedPrecondition:
// this replica does not lead, nothing was done. Unavailable: nothing was done. Unknown: the change may yet be
// accepted; a resend with the same request id tells.
using ChangeResult = std::function<void(absl::StatusOr<ChangeOutcome>)>;

class ControlNode
{
public:
    static absl::StatusOr<std::shared_ptr<ControlNode>>
    open(IoRuntime &runtime, DaemonSettings const &settings, ControlNodeHooks hooks);

    void start();

    void submit(ChangeRequest request, ChangeResult result);
    void handleReplicationMessage(std::string const &body);

    // The state as of now, confirmed by a majority. The result is an error if this replica can't confirm it.
    void readConfirmed(std::function<void(absl::StatusOr<Cell<ConfigurationState>::Snapshot>)> result);

    // The state that this replica has applied, possibly behind the majority.
    Cell<ConfigurationState>::Snapshot appliedState() const { return this->machine.snapshot(); }
    ReplicationStatus status() const { return *this->publishedStatus.read(); }
    ReplicationCounters counters() const { return *this->publishedCounters.read(); }

private:
    ControlNode(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings, ControlNodeHooks nodeHooks);

    ReplicationHooks coreHooks();
    void send(ReplicaEnvelope const &envelope);
    void apply(LogEntry const &entry);
    void restore(Snapshot const &snapshot);
    void resolveProposal(LogIndex index, ProposalOutcome outcome);
    void propose(ChangeRequest const &request, ChangeResult const &result);
    void publishStatus();
    void runOnQueue(std::function<void(ReplicationCore &)> work);

    IoRuntime &runtime;
    std::string cluster;
    std::map<std::string, Endpoint> controlInstances; // HTTP endpoints of the others.
    ControlNodeHooks hooks;
    SerialQueue queue;
    ConfigurationStateMachine machine;
    Cell<ReplicationStatus> publishedStatus;
    Cell<ReplicationCounters> publishedCounters;

    // Touched only by work on the queue.
    std::optional<ReplicationCore> core;
    std::map<LogIndex, ChangeResult> waitingChanges;
    std::map<LogIndex, ChangeOutcome> appliedOutcomes; // Of waiting changes only.
    std::map<ReadToken, std::function<void(absl::Status const &)>> waitingReads;
};

} // namespace almondwing
