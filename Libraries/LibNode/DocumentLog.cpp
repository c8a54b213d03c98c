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
                              .reset = [this] { this->machine = DocumentState{}; },
                              .apply = [this](LogEntry const &entry) { this->apply(entry); },
                              .restore = [this](Snapshot const &snapshot) { this->restore(snapshot); },
                              .takeSnapshot = [this] { return formatDocumentState(this->machine); },
                              .publish = [this](LogIndex applied) { this->publish(applied); },
                              .mayBootstrap = this->hooks.mayBootstrap,
                              .knownInstances = this->hooks.knownInstances,
                              .report = this->hooks.report};
}

void DocumentLog::apply(LogEntry const &entry)
{
    auto const change = parseDocumentChange(entry.payload);
    if (!change.ok()) {
        // Every replica sees the same bytes, so all of them pass over the entry.
        this->hooks.report(Event::ConfigurationRefused,
                           fmt::format("log entry {} is not a change: {}", entry.index,
                                       std::string(change.status().message())));
        return;
    }
    this->machine = applyDocumentChange(std::move(this->machine), *change);
}

void DocumentLog::restore(Snapshot const &snapshot)
{
    auto state = parseDocumentState(snapshot.state);
    if (!state.ok()) {
        this->hooks.report(Event::ConfigurationRefused,
                           fmt::format("snapshot at {} does not decode: {}", snapshot.index,
                                       std::string(state.status().message())));
        return;
    }
    this->machine = *std::move(state);
}

// After the folder was opened again the log may at first be applied only in part; what was published stays
// until the log is past it.
void DocumentLog::publish(LogIndex applied)
{
    auto const before = this->published.read();
    if (applied <= before->view.revision)
        return;
    AppliedDocument next{.state = this->machine, .view = before->view};
    next.view.revision = applied;
    next.view.domainsTakenOut.clear();
    for (auto const &[domain, service] : this->machine.domains) {
        if (service == DomainServiceState::TakenOut)
            next.view.domainsTakenOut.insert(domain);
    }
    if (this->machine.version != before->state.version) {
        auto configuration = this->hooks.parse(*this->machine.text);
        if (configuration.ok())
            next.view.configuration = *std::move(configuration);
        else
            this->hooks.report(Event::ConfigurationRefused,
                               fmt::format("version {} does not parse: {}", this->machine.version,
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
    // The state that this replica has applied may be behind, so only a confirmed one tells.
    this->log.confirmRead([this, change, result = std::move(result)](absl::Status const &status) {
        if (!status.ok() || isNoOp(this->machine, change))
            result(status);
        else
            this->log.propose(formatDocumentChange(change), result);
    });
}

void DocumentLog::read(std::function<void(absl::StatusOr<DocumentState>)> result)
{
    this->log.confirmRead([this, result = std::move(result)](absl::Status const &status) {
        if (status.ok())
            result(this->machine);
        else
            result(status);
    });
}

} // namespace almondwing
