// Implements following the view.

#include <LibNode/ViewFollower.h>

#include <LibFrontEnd/DecisionLog.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A control instance answers within 400 ms even if nothing has changed.
constexpr Duration requestTimeout = 800ms;

// Flows are reported once a second, with many targets less often, so that a report of any size takes
// about 1.5 KB a second.
constexpr Duration shortestActivityInterval = 1s;
constexpr Duration activityIntervalOfTarget = 10ms;

// A permit is renewed with every answer.
constexpr Duration coldPermitLifetime = 1s;

// Before the next instance is asked; several that are down are tried in turn.
constexpr Duration retryDelay = 50ms;

// Heartbeats do not reach entries, so a record is kept well beyond the lifetime of any flow.
constexpr Duration registryRetention = 1h;

} // namespace

ViewFollower::ViewFollower(IoRuntime &ioRuntime, NodeSettings const &nodeSettings,
                           TokenBlackboard &tokenBoard, FollowerHooks followerHooks)
    : runtime(ioRuntime), instance(nodeSettings.instance), failureDomain(nodeSettings.failureDomain),
      board(tokenBoard), hooks(std::move(followerHooks)),
      registry(RegistrySettings{.heartbeatInterval = nodeSettings.heartbeatInterval,
                                .retention = registryRetention}),
      queue(ioRuntime)
{
    this->addSeeds(nodeSettings.seeds);
}

void ViewFollower::addSeeds(std::vector<Endpoint> const &seeds)
{
    for (Endpoint const seed : seeds)
        this->directory.addPeer(seed, "");
}

void ViewFollower::start()
{
    this->queue.post([this] { this->ask(); });
}

// The own failure domain first: it is nearer, and reachable when other failure domains are not.
std::vector<Endpoint> ViewFollower::candidates() const
{
    std::vector<Endpoint> own;
    std::vector<Endpoint> others;
    for (auto const &[endpoint, peer] : this->directory.peers())
        (peer.failureDomain == this->failureDomain ? own : others).push_back(endpoint);
    // Entries that prefer different instances outside their failure domain share the load.
    if (!others.empty())
        std::rotate(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(hashText(this->instance) % others.size()),
                    others.end());
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

void ViewFollower::chooseSource()
{
    if (this->source)
        return;
    auto const endpoints = this->candidates();
    if (endpoints.empty())
        return;
    Endpoint const chosen = endpoints[this->nextCandidate++ % endpoints.size()];
    this->source = Source{.endpoint = chosen,
                          .link = std::make_shared<HttpConnection>(this->runtime, chosen),
                          .position = this->positions[chosen]};
    this->patience.noteSource();
}

void ViewFollower::leaveSource(std::string const &reason)
{
    if (!this->source)
        return;
    this->hooks.report(Event::ViewSourceLost,
                       fmt::format("source={} {}", this->source->endpoint.toString(), reason));
    this->source.reset();
}

void ViewFollower::ask()
{
    this->chooseSource();
    if (!this->source) {
        this->askLater();
        return;
    }
    ViewRequest const request{.instance = this->instance,
                              .failureDomain = this->failureDomain,
                              .boot = this->source->position.boot,
                              .registryGeneration = this->source->position.registryGeneration,
                              .revision = this->configuration ? this->configuration->revision : 0,
                              .isNewSource = !this->source->hasAnswered,
                              .activity = this->activityIfDue(IoRuntime::now())};
    HttpCall const call{.server = this->source->endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(viewPath),
                        .body = formatViewRequest(request),
                        .timeout = requestTimeout,
                        .connectTimeout = nodeConnectTimeout};
    this->source->link->call(call, [this](absl::StatusOr<HttpResponse> const &response) {
        this->queue.post([this, response] { this->handleReply(response); });
    });
}

std::optional<std::vector<TargetActivity>> ViewFollower::activityIfDue(Timestamp now)
{
    if (this->source->hasAnswered && now < this->nextActivity)
        return std::nullopt;
    std::vector<TargetActivity> activity = this->hooks.activity();
    this->nextActivity =
        now + std::max<Duration>(shortestActivityInterval, activity.size() * activityIntervalOfTarget);
    return activity;
}

void ViewFollower::askLater()
{
    this->runtime.runAfter(retryDelay, [this] { this->queue.post([this] { this->ask(); }); });
}

void ViewFollower::handleReply(absl::StatusOr<HttpResponse> const &response)
{
    Timestamp const now = IoRuntime::now();
    absl::StatusOr<ViewReply> const reply = response.ok() && response->isSuccess()
        ? parseViewReply(response->body, now)
        : absl::StatusOr<ViewReply>(response.ok() ? absl::UnavailableError("no success") : response.status());
    if (!reply.ok()) {
        this->leaveSource("reason=" + quoteLogValue(std::string(reply.status().message())));
        this->askLater();
        return;
    }
    this->apply(*reply, now);
    // Without contact the others are asked, too; with none in contact this one is as good as any.
    if (reply->isInContact)
        this->nextCandidate = 0;
    if (this->patience.isOver(reply->isInContact, now))
        this->leaveSource("reason=out-of-contact");
    this->ask();
}

void ViewFollower::apply(ViewReply const &reply, Timestamp now)
{
    bool const isFirstAnswer = !std::exchange(this->source->hasAnswered, true);
    if (isFirstAnswer)
        this->hooks.report(Event::ViewSourceFollowed,
                           fmt::format("source={} in_contact={} complete={}",
                                       this->source->endpoint.toString(), reply.isInContact,
                                       reply.isComplete));
    this->source->position = Position{.boot = reply.boot, .registryGeneration = reply.registryGeneration};
    this->positions[this->source->endpoint] = this->source->position;
    for (ControlPeer const &peer : reply.controls)
        this->directory.addPeer(peer.endpoint, peer.failureDomain);
    bool isChanged = false;
    for (RegisteredTarget const &target : reply.targets)
        isChanged |= this->registry.merge(target, now) == MergeOutcome::Changed;
    std::set<TargetNumber> const nowOverdue(reply.overdue.begin(), reply.overdue.end());
    isChanged |= std::exchange(this->overdue, nowOverdue) != nowOverdue;
    std::uint64_t const known = this->configuration ? this->configuration->revision : 0;
    if (reply.configuration && reply.configuration->revision > known) {
        this->configuration = reply.configuration;
        isChanged = true;
    }
    ViewFreshness const before = this->freshness();
    this->currentFreshness.update([&](ViewFreshness freshness) {
        if (reply.isInContact)
            freshness.answeredAt = now;
        freshness.isRegistryComplete |= reply.isComplete;
        return freshness;
    });
    isChanged |= before.isRegistryComplete != this->freshness().isRegistryComplete;
    if (reply.mayOpenCold)
        this->hooks.coldFlowsPermitted(now + coldPermitLifetime);
    if (isFirstAnswer || reply.extent == RegistryExtent::Full)
        clearRemoteActivity(this->board);
    setRemoteActivity(this->board, reply.activity);
    if (!reply.loads.empty())
        setGroupLoads(this->board, reply.loads);
    if (isChanged)
        this->publishView(now);
}

void ViewFollower::publishView(Timestamp now)
{
    this->registry.removeExpired(now);
    std::vector<ViewTarget> targets;
    for (RegisteredTarget const &target : this->registry.all())
        targets.push_back(ViewTarget{.target = target, .isOverdue = this->overdue.contains(target.number)});
    ConfigurationView const known = this->configuration.value_or(ConfigurationView{});
    ServingView view = makeServingView(known.configuration, std::move(targets), known.domainsTakenOut);
    view.isRegistryComplete = this->freshness().isRegistryComplete;
    this->board.view.update([&view](ServingView const &) { return view; });
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
