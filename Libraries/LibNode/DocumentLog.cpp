// Implements the configuration of a control instance.

#include <LibNode/DocumentLog.h>

#include <LibConfigurationJson/DocumentJson.h>

#include <fmt/format.h>

#include <utility>

namespace almondwing {

DocumentLog::DocumentLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, DocumentLogHooks newHooks)
    : hooks(std::move(newHooks)), log(ioRuntime, std::move(logSettings), this->logHooks())
{
}

ReplicatedLogHooks DocumentLog::logHooks()
{
    return ReplicatedLogHooks{.send = this->hooks.send,
                              .reset = [this] { this->stateMachine = DocumentState{}; },
                              .apply = [this](LogEntry const &entry) { this->apply(entry); },
                              .restore = [this](Snapshot const &snapshot) { this->restore(snapshot); },
                              .takeSnapshot = [this] { return formatDocumentState(this->stateMachine); },
                              .publish = [this](LogIndex applied) { this->publish(applied); },
                              .mayBootstrap = this->hooks.mayBootstrap,
                              .knownInstances = this->hooks.knownInstances,
                              .report = this->hooks.report};
}

void DocumentLog::apply(LogEntry const &entry)
{
    auto const change = parseDocumentChange(entry.payload);
    if (!change.ok()) {
        // All replicas have the same bytes, so all of them skip this entry.
        this->hooks.report(Event::ConfigurationRefused,
                           fmt::format("log entry {} can't be decoded: {}", entry.index,
                                       std::string(change.status().message())));
        return;
    }
    this->stateMachine = applyDocumentChange(std::move(this->stateMachine), *change);
}

void DocumentLog::restore(Snapshot const &snapshot)
{
    auto state = parseDocumentState(snapshot.state);
    if (!state.ok()) {
        this->hooks.report(Event::ConfigurationRefused,
                           fmt::format("snapshot at {} can't be decoded: {}", snapshot.index,
                                       std::string(state.status().message())));
        return;
    }
    this->stateMachine = *std::move(state);
}

// After the data folder is opened again, the log may at first be applied only in part. The published state
// stays until the log has been applied beyond it.
//
// The revision rises only with the contents, because each entry requests the whole configuration again after
// it has risen. Log entries without a change, such as the one of each new leader, leave it as it is.
void DocumentLog::publish(LogIndex applied)
{
    auto const before = this->published.read();
    if (applied <= before->view.revision)
        return;
    AppliedDocument next{.state = this->stateMachine, .view = before->view};
    next.view.domainsTakenOut.clear();
    for (auto const &[domain, service] : this->stateMachine.domains) {
        if (service == DomainServiceState::TakenOut)
            next.view.domainsTakenOut.insert(domain);
    }
    bool const isFirst = before->view.revision == 0;
    if (!isFirst && next.state.version == before->state.version
        && next.view.domainsTakenOut == before->view.domainsTakenOut)
        return;
    next.view.revision = applied;
    if (this->stateMachine.version != before->state.version) {
        auto configuration = this->hooks.parse(*this->stateMachine.text);
        if (configuration.ok())
            next.view.configuration = *std::move(configuration);
        else
            this->hooks.report(Event::ConfigurationRefused,
                               fmt::format("version {} can't be decoded: {}", this->stateMachine.version,
                                           std::string(configuration.status().message())));
    }
    this->published.update([&next](AppliedDocument const &) { return next; });
    this->hooks.changed(*before, next);
}

void DocumentLog::submit(DocumentChange const &change, std::function<void(absl::Status const &)> result)
{
    if (!isNoOp(this->published.read()->state, change)) {
        this->log.propose(formatDocumentChange(change), std::move(result));
        return;
    }
    // The state applied by this replica may lag behind, so the check needs a confirmed state.
    this->log.confirmRead([this, change, result = std::move(result)](absl::Status const &status) {
        if (!status.ok() || isNoOp(this->stateMachine, change))
            result(status);
        else
            this->log.propose(formatDocumentChange(change), result);
    });
}

void DocumentLog::read(std::function<void(absl::StatusOr<DocumentState>)> result)
{
    this->log.confirmRead([this, result = std::move(result)](absl::Status const &status) {
        if (status.ok())
            result(this->stateMachine);
        else
            result(status);
    });
}

} // namespace almondwing
