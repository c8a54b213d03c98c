// The configuration of a control instance: the state machine of whole configurations on the replicated log,
// and the view that entries route by.

#pragma once

#include <LibConfiguration/DocumentState.h>
#include <LibNode/NodeWire.h>
#include <LibNode/ReplicatedLog.h>

#include <functional>
#include <memory>
#include <string>

namespace almondwing {

using ParseDocument = std::function<absl::StatusOr<FlowConfiguration>(std::string const &)>;

// What is applied, with the view made of it.
struct AppliedDocument
{
    DocumentState state;
    ConfigurationView view; // Its revision is the index of the last applied log entry.

    friend bool operator==(AppliedDocument const &, AppliedDocument const &) = default;
};

struct DocumentLogHooks
{
    std::function<void(ReplicaEnvelope)> send;
    std::function<std::vector<std::string>()> knownInstances;
    std::function<bool()> mayBootstrap;
    ParseDocument parse;
    // The published state has changed; called on the queue of the log.
    std::function<void(AppliedDocument const &before, AppliedDocument const &after)> changed;
    EventReporter report;
};

class DocumentLog
{
public:
    DocumentLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, DocumentLogHooks logHooks);

    void start() { this->log.start(); }
    void resign() { this->log.resign(); }
    void handleMessage(ReplicaEnvelope envelope) { this->log.handleMessage(std::move(envelope)); }

    // OK once the change is committed, or would have changed nothing in a state that a majority confirmed.
    void submit(DocumentChange const &change, std::function<void(absl::Status const &)> result);

    // The state as of now, confirmed by a majority.
    void read(std::function<void(absl::StatusOr<DocumentState>)> result);

    // The state that this replica has applied, possibly behind the majority. Its revision never falls.
    Cell<AppliedDocument>::Snapshot applied() const { return this->published.read(); }
    Cell<LogContact>::Snapshot contact() const { return this->log.contact(); }

private:
    ReplicatedLogHooks logHooks();
    void apply(LogEntry const &entry);
    void restore(Snapshot const &snapshot);
    void publish(LogIndex applied);

    DocumentLogHooks hooks;
    Cell<AppliedDocument> published;
    DocumentState machine; // Touched only by the queue of the log.
    ReplicatedLog log;
};

} // namespace almondwing
