// Implements the control role of an instance.

#include "ControlReplica.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibControlWire/ReplicationCodec.h>
#include <LibCore/Try.h>
#include <LibFrontEnd/HttpClient.h>
#include <LibReplication/FileStorage.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <random>
#include <utility>

namespace almondwing {

namespace {

// Much shorter than the heartbeat interval of ReplicationCore, which is 1 s.
constexpr Duration coreTickInterval = 50ms;

constexpr Duration replicationTimeout = 2s;

std::uint64_t randomNumber()
{
    thread_local std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string firstErrorText(InputErrors const &errors)
{
    return errors.empty() ? std::string("unknown error") : errors.front().toString();
}

} // namespace

ControlReplica::ControlReplica(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings,
                               ControlReplicaHooks replicaHooks)
    : runtime(ioRuntime), cluster(daemonSettings.cluster), hooks(std::move(replicaHooks)), queue(ioRuntime)
{
    for (PeerSettings const &peer : daemonSettings.peers) {
        if (peer.role == ControlRole::Control)
            this->controlInstances.emplace(peer.name, peer.http);
    }
}

absl::StatusOr<std::shared_ptr<ControlReplica>>
ControlReplica::open(IoRuntime &runtime, DaemonSettings const &settings, ControlReplicaHooks hooks)
{
    DiskHooks disk = TRY(openFolderDisk(*settings.dataFolder));
    auto const storage =
        TRY(FileStorage::open(std::move(disk), settings.instance, randomNumber, hooks.report));
    std::shared_ptr<ControlReplica> replica(new ControlReplica(runtime, settings, std::move(hooks)));
    ReplicationSettings replication;
    replication.controlInstances.push_back(settings.instance);
    for (auto const &[name, endpoint] : replica->controlInstances)
        replication.controlInstances.push_back(name);
    replica->core.emplace(std::move(replication), storage->loaded(), storage->hooks(), replica->coreHooks(),
                          IoRuntime::now());
    replica->publishStatus();
    return replica;
}

ReplicationHooks ControlReplica::coreHooks()
{
    return ReplicationHooks{
        .send = [this](ReplicaEnvelope const &envelope) { this->send(envelope); },
        .apply = [this](LogEntry const &entry) { this->apply(entry); },
        .restore = [this](Snapshot const &snapshot) { this->restore(snapshot); },
        .takeSnapshot = [this] { return formatConfigurationState(*this->machine.snapshot()); },
        .resolveProposal = [this](LogIndex index,
                                  ProposalOutcome outcome) { this->resolveProposal(index, outcome); },
        .resolveRead =
            [this](ReadToken token, absl::Status const &status) {
                auto const waiting = this->pendingReads.extract(token);
                if (!waiting.empty())
                    waiting.mapped()(status);
            },
        .mayBootstrap = this->hooks.mayBootstrap,
        .random = randomNumber,
        .report = this->hooks.report};
}

void ControlReplica::runOnQueue(std::function<void(ReplicationCore &)> work)
{
    this->queue.post([this, work = std::move(work)] {
        work(*this->core);
        this->publishStatus();
    });
}

void ControlReplica::start()
{
    this->runtime.runEvery(coreTickInterval, [this] {
        this->runOnQueue([](ReplicationCore &replica) { replica.tick(IoRuntime::now()); });
    });
}

void ControlReplica::publishStatus()
{
    this->publishedStatus.update([this](auto const &) { return this->core->status(); });
    this->publishedCounters.update([this](auto const &) { return this->core->counters(); });
}

void ControlReplica::send(ReplicaEnvelope const &envelope)
{
    auto const receiver = this->controlInstances.find(envelope.to.instance);
    if (receiver == this->controlInstances.end())
        return;
    HttpCall const call{.server = receiver->second,
                        .method = HttpMethod::Post,
                        .target = "/v1/replication",
                        .body = encodeReplicaEnvelope(this->cluster, envelope),
                        .timeout = replicationTimeout};
    // The core resends lost messages, so the result of the call is ignored.
    callHttp(this->runtime, call, [](absl::StatusOr<HttpResponse> const &) {});
}

void ControlReplica::handleReplicationMessage(std::string const &body)
{
    auto envelope = decodeReplicaEnvelope(this->cluster, body);
    if (!envelope.ok()) {
        this->hooks.report(Event::InputDropped,
                           fmt::format("/v1/replication: {}", std::string(envelope.status().message())));
        return;
    }
    this->runOnQueue([received = *std::move(envelope)](ReplicationCore &replica) {
        replica.handleMessage(received, IoRuntime::now());
    });
}

void ControlReplica::apply(LogEntry const &entry)
{
    auto const parsed = parseChangeRequest(entry.payload);
    if (auto const *const errors = std::get_if<InputErrors>(&parsed)) {
        // Every replica has the same bytes, so all of them skip the entry.
        this->hooks.report(
            Event::ConfigurationRefused,
            fmt::format("log entry {} is not a valid change: {}", entry.index, firstErrorText(*errors)));
        return;
    }
    ChangeOutcome const outcome = this->machine.apply(entry.index, std::get<ChangeRequest>(parsed));
    if (this->pendingChanges.contains(entry.index))
        this->appliedOutcomes.insert_or_assign(entry.index, outcome);
    if (std::holds_alternative<ChangeAccepted>(outcome))
        this->hooks.configurationCommitted(this->machine.snapshot()->configuration);
}

void ControlReplica::restore(Snapshot const &snapshot)
{
    auto const parsed = parseConfigurationState(snapshot.state);
    auto const *const state = std::get_if<ConfigurationState>(&parsed);
    if (state == nullptr) {
        this->hooks.report(Event::ConfigurationRefused,
                           fmt::format("snapshot at index {} can't be decoded: {}", snapshot.index,
                                       firstErrorText(std::get<InputErrors>(parsed))));
        return;
    }
    if (this->machine.restore(*state) == RestoreOutcome::Restored)
        this->hooks.configurationCommitted(state->configuration);
}

void ControlReplica::submit(ChangeRequest request, ChangeCallback callback)
{
    this->runOnQueue([this, change = std::move(request), resolve = std::move(callback)](ReplicationCore &) {
        this->propose(change, resolve);
    });
}

void ControlReplica::propose(ChangeRequest const &request, ChangeCallback const &callback)
{
    auto const proposed = this->core->propose(formatChangeRequest(request), IoRuntime::now());
    if (!proposed.ok()) {
        callback(proposed.status());
        return;
    }
    // A single voter commits inside propose(), before the change is pending. apply() has then stored no
    // outcome, and the callback gets Unknown.
    this->pendingChanges.insert_or_assign(proposed->index, callback);
    if (this->core->status().appliedIndex >= proposed->index)
        this->resolveProposal(proposed->index, ProposalOutcome::Committed);
}

void ControlReplica::resolveProposal(LogIndex index, ProposalOutcome outcome)
{
    auto const waiting = this->pendingChanges.extract(index);
    if (waiting.empty())
        return;
    auto const applied = this->appliedOutcomes.extract(index);
    if (outcome == ProposalOutcome::Committed && !applied.empty())
        waiting.mapped()(applied.mapped());
    else
        waiting.mapped()(absl::UnknownError("the leader lost its majority or its disk while the change was "
                                            "pending; resend it with the same request "
                                            "id to get the outcome"));
}

void ControlReplica::readLinearizable(
    std::function<void(absl::StatusOr<Cell<ConfigurationState>::Snapshot>)> callback)
{
    this->runOnQueue([this, resolve = std::move(callback)](ReplicationCore &replica) {
        auto const token = replica.startRead(IoRuntime::now());
        if (!token.ok()) {
            resolve(token.status());
            return;
        }
        this->pendingReads.insert_or_assign(*token, [this, resolve](absl::Status const &status) {
            if (status.ok())
                resolve(this->machine.snapshot());
            else
                resolve(status);
        });
    });
}

} // namespace almondwing
