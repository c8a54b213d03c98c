// A control instance: it takes heartbeats of targets and changes of operators, keeps the configuration in the
// replicated log, and tells the entries what to route by. The calls of targets and operators are decoded by
// an adapter, so another front end can stand beside it.

#pragma once

#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/Metrics.h>
#include <LibNode/DocumentLog.h>
#include <LibNode/RegistrySpreader.h>
#include <LibNode/RegistryStore.h>
#include <LibNode/ViewServer.h>
#include <LibSettings/NodeSettings.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace almondwing {

struct HeartbeatCall
{
    RegisteredTarget target; // Without times.
    Duration coldFor = 0s; // How much longer it is cold.

    friend bool operator==(HeartbeatCall const &, HeartbeatCall const &) = default;
};

struct LeaveCall
{
    TargetNumber target;
    std::optional<std::int64_t> startUnixMilliseconds; // Of the incarnation that leaves, if the call says so.

    friend bool operator==(LeaveCall const &, LeaveCall const &) = default;
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

// The call is known but not valid.
struct InvalidCall
{
    unsigned status = 400;
    std::string reason;

    friend bool operator==(InvalidCall const &, InvalidCall const &) = default;
};

using ControlCall = std::variant<HeartbeatCall, LeaveCall, ChangeCall, ReadCall, InvalidCall>;

// What metrics tell of a control instance.
struct ControlState
{
    LogContact contact;
    std::uint64_t configurationVersion = 0;
    std::size_t targets = 0;

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

    // A planned stop: another replica may lead at once, and entries that wait are answered.
    void beginStop();

    ControlState state() const;
    LatencyHistogram const &changeLatency() const { return this->changes; }
    LatencyHistogram const &targetEndLatency() const { return this->spreads; }

    Endpoint localEndpoint() const { return this->http->localEndpoint(); }

    // Seeds that the settings name now; known peers stay.
    void addSeeds(std::vector<Endpoint> const &seeds);

private:
    void handle(HttpRequest const &request, HttpResponder const &respond);
    bool handleInternal(HttpRequest const &request, HttpResponder const &respond);
    void answer(HttpRequest const &request, HeartbeatCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, LeaveCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, ChangeCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, ReadCall const &call, HttpResponder const &respond);
    void answer(HttpRequest const &request, InvalidCall const &call, HttpResponder const &respond);
    void answerWhenSpread(std::string const &target, HttpResponder const &respond);
    void answerChange(HttpRequest const &request, absl::Status const &status, Timestamp since,
                      HttpResponder const &respond);
    void noteAnswered(HttpRequest const &request, HttpResponse const &response, std::uint64_t version,
                      std::string const &reason);
    HttpResponse refusal(HttpRequest const &request, absl::Status const &status) const;
    void sendReplication(ReplicaEnvelope const &envelope);
    std::vector<std::string> knownInstances() const;
    void noteApplied(AppliedDocument const &before, AppliedDocument const &after);
    void tick();

    IoRuntime &runtime;
    NodeSettings settings;
    ControlAdapter adapter;
    EventReporter report;
    std::uint64_t boot; // Drawn at random for each process.
    TargetRegistry registry;
    PeerDirectory directory;
    ActivityBoard activity;
    std::unique_ptr<DocumentLog> log;
    std::unique_ptr<RegistrySpreader> spreader;
    std::unique_ptr<RegistryStore> store;
    std::unique_ptr<ViewServer> views;
    std::shared_ptr<HttpServer> http;
    LatencyHistogram changes; // From a change of an operator to its acknowledgement.
    LatencyHistogram spreads; // From the drain or end of a target to its acknowledgement.
    std::atomic<bool> isStopping{false};
    std::atomic<bool> wasInContact{false};
    std::atomic<Timestamp> lastRefresh{Timestamp{}};

    std::mutex linksMutex; // Guards replicationLinks.
    std::map<Endpoint, std::shared_ptr<HttpConnection>> replicationLinks;
};

} // namespace almondwing
