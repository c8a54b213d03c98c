// Implements a control instance.

#include <LibNode/ControlServer.h>

#include <LibControlWire/ReplicationCodec.h>
#include <LibCore/Try.h>
#include <LibFrontEnd/DecisionLog.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace almondwing {

namespace {

constexpr std::string_view clusterName = "almondwing";

// Requests that wait are looked at this often; changes are announced at once.
constexpr Duration tickInterval = 50ms;

// A target waits 1 s for its acknowledgement; one that is not spread by then would come too late.
constexpr Duration longestSpread = 700ms;

constexpr Duration replicationTimeout = 400ms;

// Each target keeps a connection for its heartbeats; 3,000 targets may have one instance left in a failure. A
// process of the platform has 4,096 descriptors.
constexpr std::size_t largestControlConnections = 3600;

// What walks over the whole registry is done this often.
constexpr Duration refreshInterval = 500ms;

// Peers that were not heard for so long are forgotten, unless the settings or the log name them.
constexpr Duration peerRetention = 30s;

// A target whose failure domain comes back is taken for cold until its next heartbeat, which comes within an
// interval and a failed attempt of 1 s; the cold phase of its service is added.
constexpr Duration returnMargin = 2500ms;

// Timing of the replicated log on links of 0.5 ms: a heartbeat may be lost or late by a slow process once or
// twice before an election.
ReplicationSettings replicationSettings(std::vector<Endpoint> const &seeds)
{
    ReplicationSettings settings;
    for (Endpoint const seed : seeds)
        settings.controlInstances.push_back(seed.toString());
    settings.admission = VoterAdmission::AnyInstance;
    settings.heartbeatInterval = 100ms;
    settings.shortestElectionTimeout = 400ms;
    settings.longestElectionTimeout = 800ms;
    settings.joinInterval = 250ms;
    settings.largestPayload = 1024UL * 1024;
    settings.entriesPerSnapshot = 200;
    settings.logBytesPerSnapshot = 512UL * 1024;
    return settings;
}

// One less than what a cold target may get, because two entries may hold a permit in turn within a second.
std::size_t coldPermits(NodeSettings const &settings)
{
    return settings.coldFlowsPerSecond <= 1 ? 0 : static_cast<std::size_t>(settings.coldFlowsPerSecond) - 1;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

HttpResponse errorResponse(unsigned status, std::string const &reason)
{
    return HttpResponse{.status = status, .body = nlohmann::json{{"error", reason}}.dump()};
}

HttpResponse emptyResponse()
{
    return HttpResponse{.body = "{}"};
}

} // namespace

ControlServer::ControlServer(IoRuntime &ioRuntime, NodeSettings nodeSettings, ControlAdapter controlAdapter,
                             EventReporter eventReporter)
    : runtime(ioRuntime), settings(std::move(nodeSettings)), adapter(std::move(controlAdapter)),
      report(std::move(eventReporter)), boot(randomNumber()),
      registry(RegistrySettings{.heartbeatInterval = settings.heartbeatInterval})
{
    DocumentLogHooks hooks{
        .send = [this](ReplicaEnvelope const &envelope) { this->sendReplication(envelope); },
        .knownInstances = [this] { return this->knownInstances(); },
        .mayBootstrap = [this] { return this->settings.isFirstStart; },
        .parse = this->adapter.parseDocument,
        .changed = [this](AppliedDocument const &before,
                          AppliedDocument const &after) { this->noteApplied(before, after); },
        .report = this->report};
    this->log = std::make_unique<DocumentLog>(
        this->runtime,
        ReplicatedLogSettings{.instance = this->settings.control->toString(),
                              .dataFolder = *this->settings.dataFolder,
                              .replication = replicationSettings(this->settings.seeds)},
        std::move(hooks));
    this->spreader = std::make_unique<RegistrySpreader>(
        this->runtime,
        SpreaderSettings{.self = *this->settings.control,
                         .failureDomain = this->settings.failureDomain,
                         .boot = this->boot},
        this->registry, this->directory, this->activity, [this] { return this->views->ownFlows(); });
    this->views = std::make_unique<ViewServer>(
        ViewServerSettings{.boot = this->boot,
                           .completeAfter = 2 * this->settings.heartbeatInterval + 1s,
                           .startedAt = IoRuntime::now(),
                           .coldPermits = coldPermits(this->settings)},
        *this->log, this->registry, this->directory, this->activity);
    this->store = std::make_unique<RegistryStore>(this->runtime, *this->settings.dataFolder + "/registry",
                                                  this->registry, this->report);
    this->learnSeeds(this->settings.seeds);
}

absl::Status ControlServer::open()
{
    HttpServerHooks hooks{
        .handle = [this](HttpRequest const &request,
                         HttpRespond const &respond) { this->handle(request, respond); },
        .reportRefusal = [this](std::string const &text) { this->report(Event::InputDropped, text); }};
    this->http =
        TRY(HttpServer::open(this->runtime, this->settings.controlListen.value_or(*this->settings.control),
                             std::move(hooks), HttpServerLimits{.connections = largestControlConnections}));
    return absl::OkStatus();
}

void ControlServer::start()
{
    this->log->start();
    this->store->load([this] { this->views->answerDue(IoRuntime::now()); });
    this->runtime.runEvery(tickInterval, [this] { this->tick(); });
}

void ControlServer::learnSeeds(std::vector<Endpoint> const &seeds)
{
    for (Endpoint const seed : seeds)
        this->directory.learn(seed, "");
    this->directory.learn(*this->settings.control, this->settings.failureDomain);
}

void ControlServer::tick()
{
    Timestamp const now = IoRuntime::now();
    this->directory.noteAlive(*this->settings.control, this->settings.failureDomain, now);
    bool const isInContact = this->log->contact()->isInContact;
    if (this->wasInContact.exchange(isInContact) != isInContact)
        this->report(isInContact ? Event::MajorityContactRegained : Event::MajorityContactLost,
                     fmt::format("term={} applied={}", this->log->contact()->status.term,
                                 this->log->contact()->status.appliedIndex));
    std::vector<Endpoint> keep = this->settings.seeds;
    auto const contact = this->log->contact(); // Kept, because the loop looks into it.
    for (Replica const &voter : contact->status.voters) {
        if (auto const endpoint = Endpoint::parse(voter.instance); endpoint.ok()) {
            keep.push_back(*endpoint);
            this->directory.learn(*endpoint, "");
        }
    }
    this->directory.forgetSilent(now - peerRetention, keep);
    if (now - this->lastRefresh.load() >= refreshInterval) {
        this->lastRefresh = now;
        this->registry.forgetOld(now);
        this->views->refresh(now);
    }
    this->spreader->spread(now);
    this->store->saveIfDue(now);
    this->views->answerDue(now);
}

void ControlServer::beginStop()
{
    this->isStopping = true;
    this->log->resign();
    this->views->answerAll(IoRuntime::now());
}

ControlState ControlServer::state() const
{
    auto const targets = this->registry.all();
    return ControlState{
        .contact = *this->log->contact(),
        .configurationVersion = this->log->applied()->state.version,
        .targets = static_cast<std::size_t>(std::ranges::count_if(
            targets, [](RegisteredTarget const &target) { return target.state != RegisteredState::Gone; }))};
}

std::vector<std::string> ControlServer::knownInstances() const
{
    std::vector<std::string> names;
    for (auto const &[endpoint, peer] : this->directory.peers())
        names.push_back(endpoint.toString());
    return names;
}

void ControlServer::sendReplication(ReplicaEnvelope const &envelope)
{
    auto const endpoint = Endpoint::parse(envelope.to.instance);
    if (!endpoint.ok() || *endpoint == *this->settings.control)
        return;
    std::shared_ptr<HttpLink> link;
    {
        std::scoped_lock const lock(this->linksMutex);
        auto &entry = this->replicationLinks[*endpoint];
        if (entry == nullptr)
            entry = std::make_shared<HttpLink>(this->runtime, *endpoint);
        link = entry;
    }
    HttpCall const call{.server = *endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(replicationPath),
                        .body = encodeReplicaEnvelope(clusterName, envelope),
                        .timeout = replicationTimeout,
                        .connectTimeout = nodeConnectTimeout};
    // The log repeats what is lost, so the result of the call does not matter.
    link->call(call, [](absl::StatusOr<HttpResponse> const &) {});
}

void ControlServer::noteApplied(AppliedDocument const &before, AppliedDocument const &after)
{
    Timestamp const now = IoRuntime::now();
    for (std::string const &domain : before.view.domainsTakenOut) {
        if (after.view.domainsTakenOut.contains(domain))
            continue;
        this->registry.treatAsCold(domain, now + after.view.configuration.coldPhase + returnMargin);
        this->report(Event::DomainServiceChanged,
                     fmt::format("domain={} service=in revision={}", logValue(domain), after.view.revision));
    }
    for (std::string const &domain : after.view.domainsTakenOut) {
        if (!before.view.domainsTakenOut.contains(domain))
            this->report(
                Event::DomainServiceChanged,
                fmt::format("domain={} service=out revision={}", logValue(domain), after.view.revision));
    }
    if (before.state.version != after.state.version)
        this->report(Event::ConfigurationInForce,
                     fmt::format("version={} routes={} revision={}", after.state.version,
                                 after.view.configuration.routes.size(), after.view.revision));
    this->views->answerDue(now);
}

void ControlServer::handle(HttpRequest const &request, HttpRespond const &respond)
{
    if (this->handleInternal(request, respond))
        return;
    std::visit([&](auto const &call) { this->answer(request, call, respond); },
               this->adapter.decode(request));
}

bool ControlServer::handleInternal(HttpRequest const &request, HttpRespond const &respond)
{
    Timestamp const now = IoRuntime::now();
    if (request.path == viewPath) {
        auto view = parseViewRequest(request.body);
        if (view.ok())
            this->views->handle(*std::move(view), respond, now);
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
        respond(HttpResponse{.body = formatRegistryExchangeReply(this->spreader->handle(*exchange, now))});
        if (this->registry.changeGeneration() != before)
            this->views->answerDue(now);
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

void ControlServer::answer(HttpRequest const &, HeartbeatCall const &call, HttpRespond const &respond)
{
    Timestamp const now = IoRuntime::now();
    RegisteredTarget target = call.target;
    target.heardAt = now;
    target.coldUntil = now + call.coldFor;
    auto const before = this->registry.find(target.number);
    bool const hasChanged = this->registry.merge(target, now) == MergeOutcome::Changed;
    if (hasChanged) {
        this->report(
            Event::TargetAnnounced,
            fmt::format(
                "target={:x} service={} domain={} endpoint={} state={} born={} sequence={} cold_ms={}",
                target.number.value, target.service, target.failureDomain, target.endpoint.toString(),
                static_cast<int>(target.state), target.order.bornMilliseconds, target.order.sequence,
                call.coldFor.count() / 1000));
        this->views->answerDue(now);
    }
    // Only that it gets no more flows is a promise to the target, also when it says again that it drains.
    if (target.state != RegisteredState::Ready) {
        this->answerWhenSpread(fmt::format("target={:x} state=draining", target.number.value), respond);
        return;
    }
    if (hasChanged)
        this->spreader->spread(now);
    respond(emptyResponse());
}

void ControlServer::answer(HttpRequest const &, LeaveCall const &call, HttpRespond const &respond)
{
    Timestamp const now = IoRuntime::now();
    auto const known = this->registry.find(call.target);
    if (!known) {
        // Nothing is sent to a target that no instance knows here; a peer that knows it hears of its end by
        // silence.
        respond(emptyResponse());
        return;
    }
    std::int64_t const born = call.bornMilliseconds.value_or(known->order.bornMilliseconds);
    if (this->registry.markGone(call.target, born, now) == MergeOutcome::Changed) {
        this->report(Event::TargetGone, fmt::format("target={:x} born={} left", call.target.value, born));
        this->views->answerDue(now);
    }
    this->answerWhenSpread(fmt::format("target={:x} state=gone", call.target.value), respond);
}

// Entries that follow a control instance that has not heard of the end of a target go on sending to it, so
// the call is acknowledged when more than half of the control instances know. Voters that are silent count:
// an instance that is cut off from them can't tell the others.
void ControlServer::answerWhenSpread(std::string const &target, HttpRespond const &respond)
{
    Timestamp const since = IoRuntime::now();
    this->spreader->whenSpread(
        since + longestSpread, [this, since, target, respond](RegistrySpreader::SpreadResult const &result) {
            std::size_t const known = std::max(result.known, this->log->contact()->status.voters.size());
            bool const isKnown = result.holders * 2 > known;
            this->spreads.observe(IoRuntime::now() - since);
            this->report(Event::EndAnswered,
                         fmt::format("{} holders={} known={} status={}", target, result.holders, known,
                                     isKnown ? 200 : 503));
            respond(isKnown ? emptyResponse()
                            : errorResponse(503, "too few control instances could be told; try another"));
        });
}

void ControlServer::answer(HttpRequest const &request, ChangeCall const &call, HttpRespond const &respond)
{
    if (auto const *const domain = std::get_if<TakeOutDomain>(&call.change); domain != nullptr
        && std::ranges::find(this->settings.failureDomains, domain->failureDomain)
            == this->settings.failureDomains.end()) {
        this->answer(request,
                     InvalidCall{.status = 404, .reason = "unknown failure domain: " + domain->failureDomain},
                     respond);
        return;
    }
    this->log->submit(call.change,
                      [this, request, respond, since = IoRuntime::now()](absl::Status const &status) {
                          this->answerChange(request, status, since, respond);
                      });
}

void ControlServer::answerChange(HttpRequest const &request, absl::Status const &status, Timestamp since,
                                 HttpRespond const &respond)
{
    HttpResponse const response = status.ok() ? emptyResponse() : this->refusal(request, status);
    this->changes.observe(IoRuntime::now() - since);
    this->noteAnswered(request, response, this->log->applied()->state.version, std::string(status.message()));
    respond(response);
}

void ControlServer::noteAnswered(HttpRequest const &request, HttpResponse const &response,
                                 std::uint64_t version, std::string const &reason)
{
    this->report(Event::ChangeAnswered,
                 fmt::format("path={} bytes={} status={} version={} reason={}", request.path,
                             request.body.size(), response.status, version, logValue(reason)));
}

void ControlServer::answer(HttpRequest const &request, ReadCall const &, HttpRespond const &respond)
{
    this->log->read([this, request, respond](absl::StatusOr<DocumentState> const &state) {
        HttpResponse const response = !state.ok() ? this->refusal(request, state.status())
            : state->version == 0                 ? errorResponse(503, "no configuration was accepted yet")
                                                  : HttpResponse{.body = *state->text};
        this->noteAnswered(request, response, state.ok() ? state->version : 0,
                           std::string(state.status().message()));
        respond(response);
    });
}

void ControlServer::answer(HttpRequest const &request, InvalidCall const &call, HttpRespond const &respond)
{
    HttpResponse const response = errorResponse(call.status, call.reason);
    this->noteAnswered(request, response, this->log->applied()->state.version, call.reason);
    respond(response);
}

// Another replica leads, or it is not known whether the change was committed. Callers try again then.
HttpResponse ControlServer::refusal(HttpRequest const &request, absl::Status const &status) const
{
    auto const contact = this->log->contact();
    auto const &leader = contact->status.leader;
    std::string const reason(status.message());
    if (absl::IsInvalidArgument(status))
        return errorResponse(413, reason);
    bool const isElsewhere = absl::IsFailedPrecondition(status) && leader
        && leader->instance != this->settings.control->toString() && !this->isStopping;
    if (!isElsewhere)
        return errorResponse(503, reason);
    HttpResponse redirect = errorResponse(307, reason);
    redirect.location = fmt::format("http://{}{}", leader->instance, request.path);
    return redirect;
}

} // namespace almondwing
