// Implements the client of the view.

#include <LibNode/ViewClient.h>

#include <LibFrontEnd/DecisionLog.h>
#include <LibFrontEnd/ListenerCheck.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A control instance answers within 400 ms, even if nothing has changed.
constexpr Duration requestTimeout = 800ms;

// A configuration of 1,400 routes takes most of a second over the link of an entry (2 Mbit/s), and longer
// while all entries of the failure domain receive it.
constexpr Duration transferTimeout = 5s;

// Flows are reported once a second, and less often with many targets, so that reports of any size take about
// 1.5 KB a second.
constexpr Duration minActivityInterval = 1s;
constexpr Duration activityIntervalPerTarget = 10ms;

// A permit is renewed by every reply that grants it. Its time starts with the request, because the reply may
// wait for an entry that is paused.
constexpr Duration coldPermitLifetime = 1s;

// Delay before the next instance is tried. Several instances that are down are tried in turn.
constexpr Duration retryDelay = 50ms;

// Entries don't receive heartbeats, so they keep a record well beyond the lifetime of any flow.
constexpr Duration registryRetention = 1h;

} // namespace

ViewClient::ViewClient(IoRuntime &ioRuntime, NodeSettings const &nodeSettings,
                       TokenBlackboard &tokenBlackboard, ViewClientHooks clientHooks)
    : runtime(ioRuntime), instance(nodeSettings.instance), failureDomain(nodeSettings.failureDomain),
      readiness(nodeSettings.readiness), blackboard(tokenBlackboard), hooks(std::move(clientHooks)),
      registry(RegistrySettings{.heartbeatInterval = nodeSettings.heartbeatInterval,
                                .retention = registryRetention},
               TargetRegistryHooks{.isServiceDefined =
                                       [this](std::string const &service) {
                                           return this->configuration
                                               && this->configuration->configuration.services.contains(
                                                   service);
                                       }}),
      queue(ioRuntime)
{
    this->addSeeds(nodeSettings.seeds);
}

void ViewClient::addSeeds(std::vector<Endpoint> const &seeds)
{
    for (Endpoint const seed : seeds)
        this->directory.addPeer(seed, "");
}

void ViewClient::start()
{
    this->queue.post([this] { this->sendRequest(); });
}

// Instances of the own failure domain come first: they have the lowest latency and stay reachable when the
// other failure domains are not.
std::vector<Endpoint> ViewClient::candidates() const
{
    std::vector<Endpoint> own;
    std::vector<Endpoint> others;
    for (auto const &[endpoint, peer] : this->directory.peers())
        (peer.failureDomain == this->failureDomain ? own : others).push_back(endpoint);
    // Rotating the others by a hash of the instance name distributes the load of entries over them.
    if (!others.empty())
        std::rotate(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(hashText(this->instance) % others.size()),
                    others.end());
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

void ViewClient::chooseSource()
{
    if (this->source)
        return;
    auto const endpoints = this->candidates();
    if (endpoints.empty())
        return;
    this->follow(endpoints[this->nextCandidate++ % endpoints.size()]);
}

void ViewClient::follow(Endpoint endpoint)
{
    this->source = Source{.endpoint = endpoint,
                          .link = std::make_shared<HttpConnection>(this->runtime, endpoint),
                          .position = this->positions[endpoint]};
    this->contactTimeout.reset();
}

void ViewClient::continueSearch()
{
    Timestamp const now = IoRuntime::now();
    if (!this->search.isRunning()) {
        // The next search prefers another candidate, because one that accepts connections may not answer.
        auto endpoints = this->candidates();
        if (endpoints.empty()) {
            this->scheduleRequest();
            return;
        }
        std::rotate(endpoints.begin(),
                    endpoints.begin() + static_cast<std::ptrdiff_t>(this->nextCandidate++ % endpoints.size()),
                    endpoints.end());
        this->search.begin(endpoints, now);
    }
    for (Endpoint const candidate : this->search.takeDue(now))
        checkListener(this->runtime, candidate, this->search.tryTimeout(),
                      [this, candidate](ListenerState state) {
                          this->queue.post([this, candidate, state] {
                              this->handleSearchResult(candidate, state == ListenerState::Accepted);
                          });
                      });
    auto const next = this->search.nextDue();
    if (!next || this->isSearchScheduled)
        return;
    this->isSearchScheduled = true;
    this->runtime.runAfter(*next - now, [this] {
        this->queue.post([this] {
            this->isSearchScheduled = false;
            if (this->search.isRunning())
                this->continueSearch();
        });
    });
}

void ViewClient::handleControlStarted(Endpoint controlInstance)
{
    this->directory.addPeer(controlInstance, "");
    this->queue.post([this, controlInstance] {
        if (!this->search.isRunning())
            return;
        this->search.end();
        this->follow(controlInstance);
        this->sendRequest();
    });
}

void ViewClient::handleSearchResult(Endpoint candidate, bool isAccepted)
{
    if (this->search.handleResult(candidate, isAccepted, IoRuntime::now())) {
        this->follow(candidate);
        this->sendRequest();
    } else if (this->search.isRunning()) {
        this->continueSearch();
    }
}

void ViewClient::dropSource(std::string const &reason)
{
    if (!this->source)
        return;
    this->hooks.report(Event::ViewSourceLost,
                       fmt::format("source={} {}", this->source->endpoint.toString(), reason));
    this->source.reset();
}

void ViewClient::sendRequest()
{
    if (!this->source && !this->configuration) {
        this->continueSearch();
        return;
    }
    this->chooseSource();
    if (!this->source) {
        this->scheduleRequest();
        return;
    }
    ViewRequest const request{.instance = this->instance,
                              .failureDomain = this->failureDomain,
                              .bootId = this->source->position.bootId,
                              .registryGeneration = this->source->position.registryGeneration,
                              .revision = this->configuration ? this->configuration->revision : 0,
                              .isNewSource = !this->source->hasAnswered,
                              .readiness = this->source->hasAnswered ? std::nullopt : this->readiness,
                              .activity = this->activityIfDue(IoRuntime::now())};
    HttpCall const call{.server = this->source->endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(viewPath),
                        .body = formatViewRequest(request),
                        .timeout = requestTimeout,
                        .connectTimeout = nodeConnectTimeout,
                        .transferTimeout = transferTimeout};
    this->source->link->call(
        call, [this, sentAt = IoRuntime::now()](absl::StatusOr<HttpResponse> const &response) {
            this->queue.post([this, sentAt, response] { this->handleReply(response, sentAt); });
        });
}

std::optional<std::vector<TargetActivity>> ViewClient::activityIfDue(Timestamp now)
{
    if (this->source->hasAnswered && now < this->nextActivityReport)
        return std::nullopt;
    std::vector<TargetActivity> activity = this->hooks.activity();
    this->nextActivityReport =
        now + std::max<Duration>(minActivityInterval, activity.size() * activityIntervalPerTarget);
    return activity;
}

void ViewClient::scheduleRequest()
{
    this->runtime.runAfter(retryDelay, [this] { this->queue.post([this] { this->sendRequest(); }); });
}

void ViewClient::handleReply(absl::StatusOr<HttpResponse> const &response, Timestamp sentAt)
{
    Timestamp const now = IoRuntime::now();
    absl::StatusOr<ViewReply> const reply = response.ok() && response->isSuccess()
        ? parseViewReply(response->body, now)
        : absl::StatusOr<ViewReply>(response.ok() ? absl::UnavailableError("HTTP status is not a success")
                                                  : response.status());
    if (!reply.ok()) {
        this->dropSource("reason=" + quoteLogValue(std::string(reply.status().message())));
        this->scheduleRequest();
        return;
    }
    this->apply(*reply, sentAt, now);
    // After an answer with contact, the next search begins again with the preferred instances. Without
    // contact the search continues, so that all instances get their turn.
    if (reply->isInContact)
        this->nextCandidate = 0;
    if (this->contactTimeout.hasExpired(reply->isInContact, now))
        this->dropSource("reason=out-of-contact");
    this->sendRequest();
}

void ViewClient::apply(ViewReply const &reply, Timestamp sentAt, Timestamp now)
{
    bool const isFirstAnswer = !std::exchange(this->source->hasAnswered, true);
    if (isFirstAnswer)
        this->hooks.report(Event::ViewSourceFollowed,
                           fmt::format("source={} in_contact={} complete={}",
                                       this->source->endpoint.toString(), reply.isInContact,
                                       reply.isRegistryComplete));
    this->source->position = Position{.bootId = reply.bootId, .registryGeneration = reply.registryGeneration};
    this->positions[this->source->endpoint] = this->source->position;
    for (ControlPeer const &peer : reply.controlInstances)
        this->directory.addPeer(peer.endpoint, peer.failureDomain);
    bool isChanged = false;
    // The registry uses the configuration, so the configuration comes first.
    std::uint64_t const knownRevision = this->configuration ? this->configuration->revision : 0;
    if (reply.configuration && reply.configuration->revision > knownRevision) {
        this->configuration = reply.configuration;
        isChanged = true;
    }
    for (RegisteredTarget const &target : reply.targets)
        isChanged |= this->registry.merge(target, now) == MergeOutcome::Changed;
    std::set<TargetNumber> const newOverdue(reply.overdue.begin(), reply.overdue.end());
    isChanged |= std::exchange(this->overdue, newOverdue) != newOverdue;
    ViewFreshness const before = this->freshness();
    this->currentFreshness.update([&](ViewFreshness freshness) {
        if (reply.isInContact)
            freshness.answeredAt = now;
        freshness.isRegistryComplete |= reply.isRegistryComplete;
        return freshness;
    });
    isChanged |= before.isRegistryComplete != this->freshness().isRegistryComplete;
    if (reply.hasColdPermit)
        this->hooks.permitColdFlows(sentAt + coldPermitLifetime);
    if (isFirstAnswer || reply.extent == RegistryExtent::Full)
        clearRemoteActivity(this->blackboard);
    setRemoteActivity(this->blackboard, reply.activity);
    if (!reply.loads.empty())
        setGroupLoads(this->blackboard, reply.loads);
    if (isChanged)
        this->publishView(now);
}

void ViewClient::publishView(Timestamp now)
{
    this->registry.removeExpired(now);
    std::vector<ViewTarget> targets;
    for (RegisteredTarget const &target : this->registry.all())
        targets.push_back(ViewTarget{.target = target, .isOverdue = this->overdue.contains(target.number)});
    ConfigurationView const known = this->configuration.value_or(ConfigurationView{});
    ServingView view = makeServingView(known.configuration, std::move(targets), known.domainsTakenOut);
    view.isRegistryComplete = this->freshness().isRegistryComplete;
    this->blackboard.view.update([&view](ServingView const &) { return view; });
    this->currentFreshness.update([&known](ViewFreshness freshness) {
        freshness.revision = known.revision;
        return freshness;
    });
    this->hooks.report(Event::ViewChanged,
                       fmt::format("revision={} version={} targets={} overdue={} taken_out={} complete={}",
                                   known.revision, known.configuration.version, view.targets.size(),
                                   this->overdue.size(), known.domainsTakenOut.size(),
                                   view.isRegistryComplete));
    this->hooks.viewChanged();
}

} // namespace almondwing
