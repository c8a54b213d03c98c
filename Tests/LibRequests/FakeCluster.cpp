// Implements the instances of the fake cluster, their views and the network between them.

#include "FakeCluster.h"

#include <LibState/Rendezvous.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration tickInterval = 20ms;

} // namespace

FakeCluster::FakeCluster(std::uint64_t seed, FaultRates faultRates,
                         std::vector<std::size_t> instancesPerDomain, RequestSettings settingsInUse)
    : engine(seed), faults(faultRates), settings(settingsInUse)
{
    for (std::size_t domain = 0; domain < instancesPerDomain.size(); ++domain) {
        std::string const domainName = fmt::format("domain-{}", domain);
        this->targets.push_back(
            {.id = TargetId{domain + 1},
             .endpoint = {.address = 0x7f000001, .port = static_cast<std::uint16_t>(1000 + domain)},
             .domain = domainName});
        for (std::size_t index = 0; index < instancesPerDomain[domain]; ++index)
            this->instances.push_back(
                {.id = InstanceId::fromName(fmt::format("{}-{}", domainName, index)), .domain = domainName});
    }
    // Long before the first request, so that the replica records of every instance are authoritative.
    this->settings.startedAt = this->now - 900s;
    for (FakeInstance &instance : this->instances)
        this->start(instance);
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->applyView(index);
}

void FakeCluster::start(FakeInstance &instance)
{
    instance.board = std::make_unique<Blackboard>();
    ++instance.incarnation;
    instance.isAlive = true;
    instance.dispatchedTargets.clear();
    instance.board->ownStatus.update([&](OwnStatus status) {
        status.self.id = instance.id;
        status.lease = LeaseState::Held;
        return status;
    });
    InstanceId const self = instance.id;
    unsigned const incarnation = instance.incarnation;
    Outbox outbox;
    outbox.sendToCaller = [this, self, incarnation](Endpoint, CallerReply const &reply) {
        this->transmit([=, this] { this->handleCallerReply(this->find(self), incarnation, reply); });
    };
    outbox.sendToTarget = [this, self](Endpoint endpoint, TargetCommand const &command) {
        auto const target = std::ranges::find(this->targets, endpoint, &FakeTarget::endpoint);
        auto const index = static_cast<std::size_t>(target - this->targets.begin());
        this->transmit([=, this] { this->handleTargetCommand(this->targets[index], self, command); });
    };
    outbox.sendToInstance = [this, self](InstanceId to, PeerMessage const &message) {
        auto const source = static_cast<std::size_t>(&this->find(self) - this->instances.data());
        auto const index = static_cast<std::size_t>(&this->find(to) - this->instances.data());
        if (this->isolated.contains(source) || this->isolated.contains(index))
            return;
        this->transmit([=, this] {
            this->deliver(index, [=, this] { this->handlePeer(this->instances[index], self, message); });
        });
    };
    outbox.report = [](Event, std::string const &) {};
    RequestSettings own = this->settings;
    if (instance.incarnation > 1)
        own.startedAt = this->now;
    instance.controller =
        std::make_unique<RequestController>(*instance.board, own, outbox, [this] { return this->engine(); });
    this->schedule(tickInterval, [=, this] { this->tickRepeatedly(self, incarnation); });
}

void FakeCluster::tickRepeatedly(InstanceId id, unsigned incarnation)
{
    FakeInstance &instance = this->find(id);
    if (!instance.isAlive || instance.incarnation != incarnation)
        return;
    if (!instance.isFrozen) {
        instance.controller->tick(this->now);
        while (instance.controller->sendNextBulkPart(this->now) == this->now) { }
    }
    this->schedule(tickInterval, [=, this] { this->tickRepeatedly(id, incarnation); });
}

void FakeCluster::schedule(Duration delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void FakeCluster::run(Duration duration)
{
    Timestamp const end = this->now + duration;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        auto const first = this->events.begin();
        this->now = first->first;
        auto const action = std::move(first->second);
        this->events.erase(first);
        action();
    }
    this->now = end;
}

void FakeCluster::transmit(std::function<void()> deliver)
{
    if (this->randomBelow(100) < this->faults.lostPercent)
        return;
    auto const delay = [this] {
        return 1ms + Duration(this->randomBelow(static_cast<std::uint64_t>(this->faults.maxDelay.count())));
    };
    if (this->randomBelow(100) < this->faults.duplicatedPercent)
        this->schedule(delay(), deliver);
    this->schedule(delay(), std::move(deliver));
}

void FakeCluster::deliver(std::size_t index, std::function<void()> handle)
{
    FakeInstance &instance = this->instances[index];
    if (!instance.isAlive)
        return;
    if (instance.isFrozen)
        instance.inbox.push_back(std::move(handle));
    else
        handle();
}

FakeInstance &FakeCluster::find(InstanceId id)
{
    return *std::ranges::find(this->instances, id, &FakeInstance::id);
}

void FakeCluster::refreshViews()
{
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        Duration const delay{
            this->randomBelow(static_cast<std::uint64_t>(this->faults.maxViewDelay.count()) + 1)};
        this->schedule(delay,
                       [this, index] { this->deliver(index, [this, index] { this->applyView(index); }); });
    }
}

RoutingView FakeCluster::buildView(FakeInstance const &instance) const
{
    std::vector<MemberRecord> members;
    for (FakeInstance const &known : this->instances) {
        auto const state = known.isDeclaredDead ? MemberState::Dead
            : known.isLeaving                   ? MemberState::Leaving
                                                : MemberState::Alive;
        members.push_back({.id = known.id,
                           .name = {},
                           .failureDomain = known.domain,
                           .peerEndpoint = {},
                           .httpEndpoint = {},
                           .state = state});
        instance.board->members.update(known.id, [&](auto const &) { return std::optional(members.back()); });
    }
    auto routes = std::make_shared<ServiceRoutes>();
    auto const former = instance.board->routingView.read();
    ServiceRoutes const *const before = former->findService(this->service);
    routes->id = this->service;
    RoutingView view;
    for (FakeTarget const &target : this->targets) {
        RoutedTarget routed;
        routed.record = {.id = target.id,
                         .name = {},
                         .service = this->service,
                         .failureDomain = target.domain,
                         .packetEndpoint = target.endpoint,
                         .httpEndpoint = {},
                         .startMark = target.startMark,
                         .state = target.state,
                         .sequence = {}};
        routed.limits = routed.fullLimits = {.slots = target.slots, .connections = 0};
        routed.dispatcher = chooseDispatcher(target.id, target.domain, members);
        routed.replicaGroup = chooseReplicaGroup(target.id, target.domain, members);
        routes->targets.push_back(routed);
        view.serviceOfTarget[target.id] = this->service;
    }
    if (before != nullptr)
        routes->recentMoves = before->recentMoves;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        routes->buckets[bucket] =
            static_cast<std::uint16_t>((bucket + (this->areBucketsMoved ? 1 : 0)) % this->targets.size());
        bool const isChanged = before != nullptr && before->buckets[bucket] != routes->buckets[bucket];
        if (isChanged)
            routes->recentMoves.push_back(
                BucketMove{.bucket = static_cast<std::uint16_t>(bucket),
                           .previous = before->targets[before->buckets[bucket]].record.id,
                           .at = this->now});
    }
    std::ranges::stable_sort(routes->recentMoves, {}, &BucketMove::bucket);
    view.services[this->service] = routes;
    return view;
}

void FakeCluster::applyView(std::size_t index)
{
    FakeInstance &instance = this->instances[index];
    // The first dispatchers have no predecessors, so they inherit no slots.
    bool const isFirst = instance.board->routingView.read()->services.empty() && instance.incarnation == 1;
    auto const view = this->buildView(instance);
    instance.board->routingView.update([&](RoutingView const &) { return RoutingView(view); });
    for (RoutedTarget const &target : view.services.at(this->service)->targets) {
        bool const isOwn = target.dispatcher == instance.id;
        bool const isNew = isOwn && !instance.dispatchedTargets.contains(target.record.id);
        if (isNew && !isFirst)
            instance.controller->handleTakeover(target.record.id, this->now);
        if (isOwn)
            instance.dispatchedTargets.insert(target.record.id);
        else
            instance.dispatchedTargets.erase(target.record.id);
    }
}

void FakeCluster::broadcastClaims()
{
    for (FakeInstance const &owner : this->instances) {
        if (!owner.isAlive || owner.isFrozen)
            continue;
        auto const view = owner.board->routingView.read();
        ServiceRoutes const &routes = *view->findService(this->service);
        for (std::size_t index = 0; index < routes.targets.size(); ++index) {
            TargetId const target = routes.targets[index].record.id;
            if (routes.targets[index].dispatcher != owner.id)
                continue;
            ClaimUpdate claim{.target = target, .service = this->service, .sequence = {}, .buckets = {}};
            for (std::uint16_t const bucket : owner.controller->bucketsInUse(target)) {
                if (routes.buckets[bucket] != index)
                    claim.buckets.push_back(bucket);
            }
            for (FakeInstance const &peer : this->instances) {
                if (peer.isAlive)
                    peer.board->claims.update(target, [&](auto const &) { return std::optional(claim); });
            }
        }
    }
}

void FakeCluster::route(FakeInstance &at, Forwarded forwarded)
{
    auto const view = at.board->routingView.read();
    Request const *const request = std::get_if<Request>(&forwarded.message);
    if (request == nullptr)
        return;
    bool const isSearch = forwarded.purpose == ForwardPurpose::Search;
    if (isSearch && !at.controller->isServedHere(request->key)) {
        this->forwardToCandidate(at, std::move(forwarded));
        return;
    }
    TargetId const target = forwarded.candidates.empty() ? TargetId{} : forwarded.candidates.front();
    RoutedTarget const *const routed = view->findTarget(target);
    bool const isHandledHere = isSearch || forwarded.purpose == ForwardPurpose::SearchEnded
        || (routed != nullptr && routed->dispatcher == at.id);
    if (isHandledHere)
        at.controller->handleRequest({.caller = forwarded.caller,
                                      .request = *request,
                                      .target = target,
                                      .purpose = forwarded.purpose,
                                      .hops = forwarded.hops,
                                      .origin = forwarded.origin},
                                     this->now);
    else if (routed != nullptr && !routed->dispatcher.isNone() && forwarded.hops < 6) {
        ++forwarded.hops;
        InstanceId const to = routed->dispatcher;
        this->transmit([=, this] {
            auto const index = static_cast<std::size_t>(&this->find(to) - this->instances.data());
            this->deliver(index, [=, this] { this->route(this->instances[index], forwarded); });
        });
    }
}

void FakeCluster::forwardToCandidate(FakeInstance &at, Forwarded forwarded)
{
    auto const view = at.board->routingView.read();
    if (!forwarded.candidates.empty())
        forwarded.candidates.erase(forwarded.candidates.begin());
    RoutedTarget const *const routed =
        forwarded.candidates.empty() ? nullptr : view->findTarget(forwarded.candidates.front());
    InstanceId const to = routed != nullptr ? routed->dispatcher : forwarded.origin;
    if (routed == nullptr)
        forwarded.purpose = ForwardPurpose::SearchEnded;
    if (to.isNone() || forwarded.hops > 6)
        return;
    ++forwarded.hops;
    this->transmit([=, this] {
        auto const index = static_cast<std::size_t>(&this->find(to) - this->instances.data());
        this->deliver(index, [=, this] { this->route(this->instances[index], forwarded); });
    });
}

void FakeCluster::handlePeer(FakeInstance &at, InstanceId from, PeerMessage const &message)
{
    if (auto const *const forwarded = std::get_if<Forwarded>(&message))
        this->route(at, *forwarded);
    else if (auto const *const record = std::get_if<RecordRequest>(&message))
        at.controller->handlePeerMessage(from, *record, this->now);
    else if (auto const *const reply = std::get_if<RecordReply>(&message))
        at.controller->handlePeerMessage(from, *reply, this->now);
    else if (auto const *const release = std::get_if<RecordRelease>(&message))
        at.controller->handlePeerMessage(from, *release, this->now);
    else if (auto const *const locate = std::get_if<Locate>(&message))
        at.controller->handlePeerMessage(from, *locate, this->now);
    else if (auto const *const located = std::get_if<LocateReply>(&message))
        at.controller->handlePeerMessage(from, *located, this->now);
}

unsigned FakeCluster::runsOf(RequestKey key) const
{
    auto const found = this->runCounts.find(key);
    return found == this->runCounts.end() ? 0 : found->second;
}

std::size_t FakeCluster::countOutcomes(RequestOutcome outcome) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->callers, [&](auto const &entry) { return entry.second.outcome == outcome; }));
}

FakeInstance &FakeCluster::dispatcherOf(std::size_t target)
{
    for (FakeInstance &instance : this->instances) {
        if (instance.isAlive && instance.dispatchedTargets.contains(this->targets[target].id))
            return instance;
    }
    return this->instances.front();
}

std::string FakeCluster::firstViolation() const
{
    if (!this->violations.empty())
        return this->violations.front();
    for (FakeTarget const &target : this->targets) {
        if (target.maxRunning > target.slots)
            return fmt::format("{} tries at a target with {} slots", target.maxRunning, target.slots);
    }
    for (auto const &[key, caller] : this->callers) {
        bool const isOnce = caller.request.idempotency == Idempotency::NonIdempotent;
        if (isOnce && this->runsOf(key) > 1)
            return fmt::format("request {} ran {} times", key.number, this->runsOf(key));
        if (caller.outcome == RequestOutcome::NotRun && this->runsOf(key) > 0)
            return fmt::format("request {} ran although its caller received NotRun", key.number);
        if (caller.outcome == RequestOutcome::Answered && this->runsOf(key) == 0)
            return fmt::format("request {} was answered without a run", key.number);
    }
    return {};
}

} // namespace almondwing
