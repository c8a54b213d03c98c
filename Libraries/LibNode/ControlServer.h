// A control instance: it receives heartbeats of targets and configuration changes of operators, keeps the
// configuration in the replicated log, and serves the entries the view that they route by. An adapter decodes
// the calls of targets and operators, so that the server does not depend on the encoding of these calls.

#pragma once

#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/Metrics.h>
#include <LibNode/DocumentLog.h>
#include <LibNode/EntryAnnouncer.h>
#include <LibNode/RegistryStore.h>
#include <LibNode/RegistrySync.h>
#include <LibNode/ViewServer.h>
#include <LibSettings/NodeSettings.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

struct HeartbeatCall
{
    RegisteredTarget target; // lastSeenAt and coldUntil are not set.
    Duration coldFor = 0s; // Remaining time of the cold phase.

    friend bool operator==(HeartbeatCall const &, HeartbeatCall const &) = default;
};

struct DeregisterCall
{
    TargetNumber target;
    // Start time of the target process that leaves, if the call contains it.
    std::optional<std::int64_t> startUnixMilliseconds;

    friend bool operator==(DeregisterCall const &, DeregisterCall const &) = default;
};

struct ChangeCall
{
    DocumentChange change;

    friend bool operator==(ChangeCall const &, ChangeCall const &) = default;
};

struct ReadCall
{
    friend bool operator==(ReadCall const &, ReadCall const &) = default;
};

// A call that is refused with an HTTP status.
struct InvalidCall
{
    unsigned status = 400;
    std::string reason;

    friend bool operator==(InvalidCall const &, InvalidCall const &) = default;
};

// A heartbeat or deregistration that no target sends. It is refused with status 400 and changes nothing.
struct InvalidReport
{
    std::string field; // One of a few names; refusals are counted by it.
    std::string reason;

    friend bool operator==(InvalidReport const &, InvalidReport const &) = default;
};

using ControlCall =
    std::variant<HeartbeatCall, DeregisterCall, ChangeCall, ReadCall, InvalidCall, InvalidReport>;

using ReportRefusals = std::map<std::string, std::uint64_t>; // Refused reports by field.

// State of a control instance that is exported as metrics.
struct ControlState
{
    LogContact contact;
    std::uint64_t configurationVersion = 0;
    std::size_t targets = 0;
    ReportRefusals reportRefusals;

    friend bool operator==(ControlState const &, ControlState const &) = default;
};

struct ControlAdapter
{
    std::function<ControlCall(HttpRequest const &)> decode;
    ParseDocument parseDocument;
};

class ControlServer
{
public:
    ControlServer(IoRuntime &ioRuntime, NodeSettings nodeSettings, ControlAdapter controlAdapter,
                  EventReporter eventReporter);

    absl::Status open();
    void start();

    // Begins a graceful stop: steps down as leader, so that another replica can lead at once, and answers all
    // waiting entries.
    void beginStop();

    ControlState state() const;
    LatencyHistogram const &changeLatency() const { return this->changeLatencies; }
    LatencyHistogram const &targetEndLatency() const { return this->targetEndLatencies; }

    Endpoint localEndpoint() const { return this->http->localEndpoint(); }

    // Adds the seeds of reloaded settings. Seeds without a contact before the next tick are removed again.
    void addSeeds(std::vector<Endpoint> const &seeds);

    // Adds the failure domains of reloaded settings. Until then, reports that name a new one are refused.
    void addFailureDomains(std::vector<std::string> const &names);

private:
    void handle(HttpRequest const &request, HttpResponder const &respond);
    // Returns false if the call is not one between instances.
    bool handleCallFromInstance(HttpRequest const &request, HttpResponder const &respond);
    void answer(HttpRequest const &request, HeartbeatCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, DeregisterCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, ChangeCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, ReadCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, InvalidCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, InvalidReport const &call, HttpResponder const &respond);
    void answerEnd(RegisteredTarget const &target, std::string_view state, HttpResponder const &respond);
    void answerWhenSynced(std::string const &logFields, HttpResponder const &respond);
    void answerChange(HttpRequest const &request, absl::Status const &status, Timestamp since,
                      HttpResponder const &respond);
    void reportAnswer(HttpRequest const &request, HttpResponse const &response, std::uint64_t version,
                      std::string const &reason);
    HttpResponse refusal(HttpRequest const &request, absl::Status const &status) const;
    void sendReplication(ReplicaEnvelope const &envelope);
    std::vector<std::string> knownInstances() const;
    void handleApplied(AppliedDocument const &before, AppliedDocument const &after);
    void tick();

    IoRuntime &runtime;
    NodeSettings settings;
    ControlAdapter adapter;
    EventReporter report;
    std::uint64_t bootId; // Random; identifies this process.
    Cell<std::set<std::string>> failureDomains; // Those that reports may name.
    Cell<ReportRefusals> refusals;
    std::atomic<Timestamp> nextRefusalLine{
        Timestamp{}}; // The earliest time of the next log line of a refusal.
    TargetRegistry registry;
    PeerDirectory directory;
    ActivityBlackboard activity;
    std::unique_ptr<DocumentLog> log;
    std::unique_ptr<RegistrySync> registrySync;
    std::unique_ptr<RegistryStore> store;
    std::unique_ptr<ViewServer> viewServer;
    std::unique_ptr<EntryAnnouncer> announcer;
    std::shared_ptr<HttpServer> http;
    LatencyHistogram changeLatencies; // From the change of an operator to its acknowledgement.
    LatencyHistogram targetEndLatencies; // From the drain or deregistration of a target to its answer.
    std::atomic<bool> isStopping{false};
    std::atomic<bool> wasInContact{false};
    std::atomic<Timestamp> lastRefresh{Timestamp{}};

    std::mutex linksMutex; // Guards replicationLinks.
    std::map<Endpoint, std::shared_ptr<HttpConnection>> replicationLinks;
};

} // namespace almondwing
