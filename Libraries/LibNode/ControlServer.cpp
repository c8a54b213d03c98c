// Implements a control instance.

#include <LibNode/ControlServer.h>

#include <LibControlWire/ReplicationCodec.h>
#include <LibCore/Try.h>
#include <LibFrontEnd/DecisionLog.h>
#include <LibNode/ControlResponses.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace almondwing {

namespace {

constexpr std::string_view clusterName = "almondwing";

// Interval of ControlServer::tick(). Changes are sent without waiting for it.
constexpr Duration tickInterval = 50ms;

constexpr Duration replicationTimeout = 400ms;

// Each target keeps a connection open for its heartbeats, and after failures a single instance may have to
// serve 3,000 targets. This process is limited to 4,096 file descriptors.
constexpr std::size_t maxControlConnections = 3600;

// Interval of the work that iterates over the whole registry.
constexpr Duration refreshInterval = 500ms;

// Peers without a contact in this time are removed, except the initial seeds and the voters of the log.
constexpr Duration peerRetention = 30s;

// The targets of a failure domain that returns to service count as cold until their next heartbeats. This is
// the maximum wait for such a heartbeat: one heartbeat interval, and 1 s for a failed attempt.
// handleApplied() adds the cold phase.
constexpr Duration maxHeartbeatWaitAfterReturn = 2500ms;

// Timing of the replicated log for links of 0.5 ms: one or two heartbeats may be lost, or delayed by a slow
// process, before an election begins.
ReplicationSettings replicationSettings(std::vector<Endpoint> const &seeds)
{
    ReplicationSettings settings;
    for (Endpoint const seed : seeds)
        settings.controlInstances.push_back(seed.toString());
    settings.admission = VoterAdmission::AnyInstance;
    settings.heartbeatInterval = 100ms;
    settings.minElectionTimeout = 400ms;
    settings.maxElectionTimeout = 800ms;
    settings.joinInterval = 250ms;
    settings.maxPayloadBytes = 1024UL * 1024;
    settings.entriesPerSnapshot = 200;
    settings.logBytesPerSnapshot = 512UL * 1024;
    return settings;
}

// An entry with a permit opens at most one flow in 1.1 s (coldFlowInterval) at each cold target, so the
// maximum rate is also the maximum number of permits. The result is one less, because a permit may pass from
// one entry to another within a second.
std::size_t maxColdPermits(NodeSettings const &settings)
{
    return settings.coldFlowsPerSecond <= 1 ? 0 : static_cast<std::size_t>(settings.coldFlowsPerSecond) - 1;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

ControlServer::ControlServer(IoRuntime &ioRuntime, NodeSettings nodeSettings, ControlAdapter controlAdapter,
                             EventReporter eventReporter)
    : runtime(ioRuntime), settings(std::move(nodeSettings)), adapter(std::move(controlAdapter)),
      report(std::move(eventReporter)), bootId(randomNumber()),
      registry(RegistrySettings{.heartbeatInterval = settings.heartbeatInterval},
               TargetRegistryHooks{.isServiceDefined =
                                       [this](std::string const &service) {
                                           return this->log->applied()->view.configuration.services.contains(
                                               service);
                                       },
                                   .isDomainKnown =
                                       [this](std::string const &domain) {
                                           return this->settings.failureDomains.empty()
                                               || this->failureDomains.read()->contains(domain);
                                       }})
{
    DocumentLogHooks hooks{
        .send = [this](ReplicaEnvelope const &envelope) { this->sendReplication(envelope); },
        .knownInstances = [this] { return this->knownInstances(); },
        .mayBootstrap = [this] { return this->settings.isFirstStart; },
        .parse = this->adapter.parseDocument,
        .changed = [this](AppliedDocument const &before,
                          AppliedDocument const &after) { this->handleApplied(before, after); },
        .report = this->report};
    this->log = std::make_unique<DocumentLog>(
        this->runtime,
        ReplicatedLogSettings{.instance = this->settings.control->toString(),
                              .dataFolder = *this->settings.dataFolder,
                              .replication = replicationSettings(this->settings.seeds)},
        std::move(hooks));
    this->registrySync = std::make_unique<RegistrySync>(
        this->runtime,
        RegistrySyncSettings{.self = *this->settings.control,
                             .failureDomain = this->settings.failureDomain,
                             .bootId = this->bootId},
        this->registry, this->directory, this->activity, [this] { return this->viewServer->localFlows(); });
    this->viewServer = std::make_unique<ViewServer>(
        ViewServerSettings{.bootId = this->bootId,
                           .completionDelay = 2 * this->settings.heartbeatInterval + 1s,
                           .startedAt = IoRuntime::now(),
                           .maxColdPermits = maxColdPermits(this->settings)},
        *this->log, this->registry, this->directory, this->activity);
    this->store = std::make_unique<RegistryStore>(this->runtime, *this->settings.dataFolder + "/registry",
                                                  this->registry, this->report);
    this->announcer = std::make_unique<EntryAnnouncer>(
        this->runtime,
        EntryAnnouncerSettings{.self = *this->settings.control,
                               .folder = *this->settings.dataFolder + "/entries"},
        this->report);
    this->addSeeds(this->settings.seeds);
    this->addFailureDomains(this->settings.failureDomains);
    this->addFailureDomains({this->settings.failureDomain});
}

absl::Status ControlServer::open()
{
    HttpServerHooks hooks{
        .handle = [this](HttpRequest const &request,
                         HttpResponder const &respond) { this->handle(request, respond); },
        .reportInvalidInput = [this](std::string const &text) { this->report(Event::InputDropped, text); }};
    this->http =
        TRY(HttpServer::open(this->runtime, this->settings.controlListen.value_or(*this->settings.control),
                             std::move(hooks), HttpServerLimits{.connections = maxControlConnections}));
    return absl::OkStatus();
}

void ControlServer::start()
{
    this->log->start();
    this->store->load([this] { this->viewServer->answerDue(IoRuntime::now()); });
    this->announcer->start();
    this->runtime.runEvery(tickInterval, [this] { this->tick(); });
}

void ControlServer::addSeeds(std::vector<Endpoint> const &seeds)
{
    for (Endpoint const seed : seeds)
        this->directory.addPeer(seed, "");
    this->directory.addPeer(*this->settings.control, this->settings.failureDomain);
}

void ControlServer::addFailureDomains(std::vector<std::string> const &names)
{
    this->failureDomains.update([&names](std::set<std::string> known) {
        known.insert(names.begin(), names.end());
        return known;
    });
}

void ControlServer::tick()
{
    Timestamp const now = IoRuntime::now();
    this->directory.recordContact(*this->settings.control, this->settings.failureDomain, now);
    bool const isInContact = this->log->contact()->isInContact;
    if (this->wasInContact.exchange(isInContact) != isInContact)
        this->report(isInContact ? Event::MajorityContactRegained : Event::MajorityContactLost,
                     fmt::format("term={} applied={}", this->log->contact()->status.term,
                                 this->log->contact()->status.appliedIndex));
    std::vector<Endpoint> keep = this->settings.seeds;
    auto const contact = this->log->contact(); // Keeps the snapshot alive while the loop reads it.
    for (Replica const &voter : contact->status.voters) {
        if (auto const endpoint = Endpoint::parse(voter.instance); endpoint.ok()) {
            keep.push_back(*endpoint);
            this->directory.addPeer(*endpoint, "");
        }
    }
    this->directory.removeStalePeers(now - peerRetention, keep);
    if (now - this->lastRefresh.load() >= refreshInterval) {
        this->lastRefresh = now;
        this->registry.removeExpired(now);
        this->viewServer->refresh(now);
    }
    this->registrySync->sync(now);
    this->store->saveIfDue(now);
    this->announcer->saveIfDue(now);
    this->viewServer->answerDue(now);
}

void ControlServer::beginStop()
{
    this->isStopping = true;
    this->log->stepDown();
    this->viewServer->answerAll(IoRuntime::now());
}

ControlState ControlServer::state() const
{
    auto const targets = this->registry.all();
    return ControlState{
        .contact = *this->log->contact(),
        .configurationVersion = this->log->applied()->state.version,
        .targets = static_cast<std::size_t>(std::ranges::count_if(
            targets, [](RegisteredTarget const &target) { return target.state != RegisteredState::Gone; })),
        .reportRefusals = *this->refusals.read()};
}

std::vector<std::string> ControlServer::knownInstances() const
{
    std::vector<std::string> endpoints;
    for (auto const &[endpoint, peer] : this->directory.peers())
        endpoints.push_back(endpoint.toString());
    return endpoints;
}

void ControlServer::sendReplication(ReplicaEnvelope const &envelope)
{
    auto const endpoint = Endpoint::parse(envelope.to.instance);
    if (!endpoint.ok() || *endpoint == *this->settings.control)
        return;
    std::shared_ptr<HttpConnection> link;
    {
        std::scoped_lock const lock(this->linksMutex);
        auto &entry = this->replicationLinks[*endpoint];
        if (entry == nullptr)
            entry = std::make_shared<HttpConnection>(this->runtime, *endpoint);
        link = entry;
    }
    HttpCall const call{.server = *endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(replicationPath),
                        .body = encodeReplicaEnvelope(clusterName, envelope),
                        .timeout = replicationTimeout,
                        .connectTimeout = nodeConnectTimeout};
    // The log sends lost messages again, so the result of the call is ignored.
    link->call(call, [](absl::StatusOr<HttpResponse> const &) {});
}

void ControlServer::handleApplied(AppliedDocument const &before, AppliedDocument const &after)
{
    Timestamp const now = IoRuntime::now();
    for (std::string const &domain : before.view.domainsTakenOut) {
        if (after.view.domainsTakenOut.contains(domain))
            continue;
        this->registry.markCold(domain,
                                now + after.view.configuration.coldPhase + maxHeartbeatWaitAfterReturn);
        this->report(
            Event::DomainServiceChanged,
            fmt::format("domain={} service=in revision={}", quoteLogValue(domain), after.view.revision));
    }
    for (std::string const &domain : after.view.domainsTakenOut) {
        if (!before.view.domainsTakenOut.contains(domain))
            this->report(
                Event::DomainServiceChanged,
                fmt::format("domain={} service=out revision={}", quoteLogValue(domain), after.view.revision));
    }
    if (before.state.version != after.state.version)
        this->report(Event::ConfigurationInForce,
                     fmt::format("version={} routes={} revision={}", after.state.version,
                                 after.view.configuration.routes.size(), after.view.revision));
    this->viewServer->answerDue(now);
}

void ControlServer::handle(HttpRequest const &request, HttpResponder const &respond)
{
    if (this->handleCallFromInstance(request, respond))
        return;
    std::visit([&](auto const &call) { this->answer(request, call, respond); },
               this->adapter.decode(request));
}

bool ControlServer::handleCallFromInstance(HttpRequest const &request, HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    if (request.path == viewPath) {
        auto view = parseViewRequest(request.body);
        if (view.ok() && view->readiness && view->failureDomain == this->settings.failureDomain)
            this->announcer->note(*view->readiness);
        if (view.ok())
            this->viewServer->handle(*std::move(view), respond, now);
        else
            respond(errorResponse(400, std::string(view.status().message())));
        return true;
    }
    if (request.path == registryPath) {
        auto const exchange = parseRegistryExchange(request.body, now);
        if (!exchange.ok()) {
            respond(errorResponse(400, std::string(exchange.status().message())));
            return true;
        }
        std::uint64_t const before = this->registry.changeGeneration();
        respond(
            HttpResponse{.body = formatRegistryExchangeReply(this->registrySync->handle(*exchange, now))});
        if (this->registry.changeGeneration() != before)
            this->viewServer->answerDue(now);
        return true;
    }
    if (request.path == replicationPath) {
        auto envelope = decodeReplicaEnvelope(clusterName, request.body);
        if (!envelope.ok()) {
            respond(errorResponse(400, std::string(envelope.status().message())));
            return true;
        }
        this->log->handleMessage(*std::move(envelope));
        respond(emptyResponse());
        return true;
    }
    return false;
}

} // namespace almondwing
