// Implements the configuration of a control instance.

#include <LibNode/DocumentLog.h>

#include <LibConfigurationJson/DocumentJson.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

DocumentLog::DocumentLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, DocumentLogHooks newHooks)
    : hooks(std::move(newHooks)), log(ioRuntime, std::move(logSettings), this->logHooks())
{
}

ReplicatedLogHooks DocumentLog::logHooks()
{
    return ReplicatedLogHooks{.send = this->hooks.send,
                              .reset = [this] { this->document = RevisedDocument{}; },
                              .apply = [this](LogEntry const &entry) { this->apply(entry); },
                              .restore = [this](Snapshot const &snapshot) { this->restore(snapshot); },
                              .takeSnapshot = [this] { return formatDocumentState(this->document.state); },
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
    this->document = applyDocumentEntry(std::move(this->document), entry.index, *change);
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
    // The snapshot does not tell which entry changed its state last.
    this->document = RevisedDocument{.state = *std::move(state), .revision = snapshot.index};
}

// The revision rises only with the contents, because each entry requests the whole configuration again after
// it has risen. Log entries without a change, such as the one of each new leader, leave it as it is. It rises
// with every change, also if several changes of one batch cancel out, because entries may have got the state
// between them from another instance.
//
// After the data folder is opened again, the log may at first be applied only in part. The published state
// stays until the log has been applied beyond it.
void DocumentLog::publish(LogIndex applied)
{
    auto const before = this->published.read();
    // An entry that has no revision yet is answered at once, so the state before the first change has one,
    // too.
    std::uint64_t const revision = std::max<std::uint64_t>(this->document.revision, 1);
    if (applied == 0 || revision <= before->view.revision)
        return;
    AppliedDocument next{.state = this->document.state, .view = before->view};
    next.view.revision = revision;
    next.view.domainsTakenOut.clear();
    for (auto const &[domain, service] : this->document.state.domains) {
        if (service == DomainServiceState::TakenOut)
            next.view.domainsTakenOut.insert(domain);
    }
    if (this->document.state.version != before->state.version) {
        auto configuration = this->hooks.parse(*this->document.state.text);
        if (configuration.ok())
            next.view.configuration = *std::move(configuration);
        else
            this->hooks.report(Event::ConfigurationRefused,
                               fmt::format("version {} can't be decoded: {}", this->document.state.version,
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
        if (!status.ok() || isNoOp(this->document.state, change))
            result(status);
        else
            this->log.propose(formatDocumentChange(change), result);
    });
}

void DocumentLog::read(std::function<void(absl::StatusOr<DocumentState>)> result)
{
    this->log.confirmRead([this, result = std::move(result)](absl::Status const &status) {
        if (status.ok())
            result(this->document.state);
        else
            result(status);
    });
}

} // namespace almondwing
