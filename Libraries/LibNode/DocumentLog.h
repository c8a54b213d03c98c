// The configuration of a control instance: the state machine on the replicated log. A log entry replaces the
// document, takes a failure domain out of service or returns it to service. A document is a complete
// configuration as an operator submitted it. Entry nodes route by the ConfigurationView that is derived from
// the state.

#pragma once

#include <LibConfiguration/DocumentState.h>
#include <LibNode/NodeWire.h>
#include <LibNode/ReplicatedLog.h>

#include <functional>
#include <memory>
#include <string>

namespace almondwing {

using ParseDocument = std::function<absl::StatusOr<FlowConfiguration>(std::string const &)>;

// The applied state and the view derived from it.
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
    // Called on the queue of the log after the published state has changed.
    std::function<void(AppliedDocument const &before, AppliedDocument const &after)> changed;
    EventReporter report;
};

class DocumentLog
{
public:
    DocumentLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings, DocumentLogHooks logHooks);

    void start() { this->log.start(); }
    void stepDown() { this->log.stepDown(); }
    void handleMessage(ReplicaEnvelope envelope) { this->log.handleMessage(std::move(envelope)); }

    // The result is OK once the change is committed. A change that would not alter the state, as confirmed by
    // a majority, succeeds without a log entry.
    void submit(DocumentChange const &change, std::function<void(absl::Status const &)> result);

    // A linearizable read: the current state, confirmed by a majority.
    void read(std::function<void(absl::StatusOr<DocumentState>)> result);

    // The state that this replica has applied, which may lag behind the majority. Its revision never
    // decreases.
    Cell<AppliedDocument>::Snapshot applied() const { return this->published.read(); }
    Cell<LogContact>::Snapshot contact() const { return this->log.contact(); }
    bool isInContact(Timestamp now) const { return this->log.isInContact(now); }

private:
    ReplicatedLogHooks logHooks();
    void apply(LogEntry const &entry);
    void restore(Snapshot const &snapshot);
    void publish(LogIndex applied);

    DocumentLogHooks hooks;
    Cell<AppliedDocument> published;
    RevisedDocument document; // Accessed only on the queue of the log.
    ReplicatedLog log;
};

} // namespace almondwing
