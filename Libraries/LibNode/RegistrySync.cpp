// Implements the synchronization of the registry.

#include <LibNode/RegistrySync.h>

#include <algorithm>
#include <utility>

namespace almondwing {

RegistrySync::RegistrySync(IoRuntime &ioRuntime, RegistrySyncSettings syncSettings,
                           TargetRegistry &targetRegistry, PeerDirectory &peerDirectory,
                           ActivityBlackboard &activityBlackboard,
                           std::function<Cell<GroupFlows>::Snapshot()> localFlowsHook)
    : runtime(ioRuntime), settings(std::move(syncSettings)), registry(targetRegistry),
      directory(peerDirectory), activity(activityBlackboard), localFlows(std::move(localFlowsHook))
{
}

bool RegistrySync::isAlive(ControlPeer const &peer, Timestamp now) const
{
    return peer.lastSeenAt != Timestamp{} && now - peer.lastSeenAt <= this->settings.peerTimeout;
}

std::shared_ptr<RegistrySync::PeerLink> RegistrySync::linkTo(Endpoint peer)
{
    std::scoped_lock const lock(this->linksMutex);
    auto &link = this->links[peer];
    if (link == nullptr)
        link = std::make_shared<PeerLink>(this->runtime, peer);
    return link;
}

void RegistrySync::sync(Timestamp now)
{
    auto const peers = this->directory.peers();
    for (auto const &[endpoint, peer] : peers) {
        if (endpoint != this->settings.self)
            this->syncPeer(peer, now);
    }
    {
        std::scoped_lock const lock(this->linksMutex);
        std::erase_if(this->links, [&](auto const &entry) { return !peers.contains(entry.first); });
    }
    this->resolveWaiters(now);
}

// Changes are sent to every peer, whichever instance reported them, so that they get around a partition.
// Heartbeats are sent by the instance that received them from the target. This instance relays those of
// another one only to peers that aren't in contact with that instance.
RegistryExchange RegistrySync::exchangeFor(PeerLink const &link, RegistryChanges changes,
                                           bool isHeartbeatRound, Timestamp now) const
{
    RegistryExchange exchange{.from = this->settings.self,
                              .failureDomain = this->settings.failureDomain,
                              .bootId = this->settings.bootId,
                              .receiverBootId = link.bootId};
    exchange.targets = std::move(changes.targets);
    for (auto const &[endpoint, peer] : this->directory.peers()) {
        exchange.peers.push_back(peer);
        if (this->isAlive(peer, now))
            exchange.reachablePeers.push_back(endpoint);
    }
    if (!isHeartbeatRound)
        return exchange;
    for (RegistryEntry const &entry : this->registry.refreshedAfter(link.confirmedHeartbeatGeneration)) {
        bool const isDirect = entry.reporter == Endpoint{};
        bool const reachesReporter =
            std::ranges::find(link.reachablePeers, entry.reporter) != link.reachablePeers.end();
        if (entry.changeGeneration <= link.confirmedGeneration && (isDirect || !reachesReporter))
            exchange.heartbeats.push_back(entry.target);
    }
    auto const counts = this->localFlows();
    for (auto const &[group, flows] : *counts)
        exchange.flows.push_back(GroupLoad{.group = group, .flows = flows});
    return exchange;
}

std::vector<TargetNumber> RegistrySync::addMissing(std::vector<RegisteredTarget> &targets,
                                                   std::vector<TargetNumber> const &missing) const
{
    std::vector<TargetNumber> left;
    for (TargetNumber const number : missing) {
        if (std::ranges::find(targets, number, &RegisteredTarget::number) != targets.end())
            continue;
        auto record = this->registry.find(number);
        if (record && targets.size() < this->settings.maxTargetsPerExchange)
            targets.push_back(*std::move(record));
        else if (record)
            left.push_back(number);
    }
    return left;
}

void RegistrySync::syncPeer(ControlPeer const &peer, Timestamp now)
{
    auto const link = this->linkTo(peer.endpoint);
    std::scoped_lock const lock(link->mutex);
    bool const isHeartbeatRound = now - link->lastHeartbeatRound >= this->settings.heartbeatRoundInterval;
    bool const hasChanges =
        this->registry.changeGeneration() > link->confirmedGeneration || !link->missing.empty();
    // A peer that doesn't answer is called once per heartbeat round.
    if (link->isCallPending || (!isHeartbeatRound && !(hasChanges && this->isAlive(peer, now))))
        return;
    std::uint64_t const generation = this->registry.generation();
    RegistryChanges changes =
        this->registry.oldestChangesAfter(link->confirmedGeneration, this->settings.maxTargetsPerExchange);
    std::uint64_t const sentGeneration = changes.isTruncated ? changes.lastGeneration : generation;
    link->missing = this->addMissing(changes.targets, link->missing);
    RegistryExchange const exchange = this->exchangeFor(*link, std::move(changes), isHeartbeatRound, now);
    link->isCallPending = true;
    if (isHeartbeatRound)
        link->lastHeartbeatRound = now;
    HttpCall const call{.server = peer.endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(registryPath),
                        .body = formatRegistryExchange(exchange, now),
                        .timeout = this->settings.callTimeout,
                        .connectTimeout = nodeConnectTimeout};
    // The link owns its calls, so the callback holds only a weak reference to the link.
    link->connection.call(call,
                          [this, weak = std::weak_ptr(link), endpoint = peer.endpoint, sentGeneration,
                           isHeartbeatRound](absl::StatusOr<HttpResponse> const &response) {
                              if (auto const current = weak.lock())
                                  this->handleReply(endpoint, *current, sentGeneration, isHeartbeatRound,
                                                    response);
                          });
}

void RegistrySync::handleReply(Endpoint peer, PeerLink &link, std::uint64_t sentGeneration,
                               bool wasHeartbeatRound, absl::StatusOr<HttpResponse> const &response)
{
    Timestamp const now = IoRuntime::now();
    bool hasMoreToSend = false;
    {
        std::scoped_lock const lock(link.mutex);
        link.isCallPending = false;
        // A peer that is down is called again in the next heartbeat round.
        if (!response.ok() || !response->isSuccess())
            return;
        auto const reply = parseRegistryExchangeReply(response->body);
        if (!reply.ok())
            return;
        this->directory.recordContact(peer, "", now);
        if (!reply->missing.empty())
            link.missing = reply->missing;
        hasMoreToSend = !link.missing.empty();
        if (reply->bootId != link.bootId) {
            // A new process has no records, and the exchange just sent may have been only a delta.
            bool const wasFull = link.confirmedGeneration == 0;
            link.bootId = reply->bootId;
            link.confirmedGeneration = wasFull ? sentGeneration : 0;
            link.confirmedHeartbeatGeneration = 0;
            hasMoreToSend |= !wasFull;
        } else {
            link.confirmedGeneration = std::max(link.confirmedGeneration, sentGeneration);
            if (wasHeartbeatRound)
                link.confirmedHeartbeatGeneration =
                    std::max(link.confirmedHeartbeatGeneration, sentGeneration);
        }
    }
    if (hasMoreToSend || this->registry.changeGeneration() > sentGeneration)
        this->sync(now);
    else
        this->resolveWaiters(now);
}

RegistryExchangeReply RegistrySync::handle(RegistryExchange const &exchange, Timestamp now)
{
    this->directory.recordContact(exchange.from, exchange.failureDomain, now);
    for (ControlPeer const &peer : exchange.peers)
        this->directory.addPeer(peer.endpoint, peer.failureDomain);
    for (RegisteredTarget const &target : exchange.targets)
        this->registry.merge(target, now, exchange.from);
    {
        auto const link = this->linkTo(exchange.from);
        std::scoped_lock const lock(link->mutex);
        link->reachablePeers = exchange.reachablePeers;
    }
    // A heartbeat has only the version of a record. If it referred to a record that a former process had
    // confirmed, an outdated record that this process has loaded from its disk would get that version, and
    // the record that the peer sends next would be ignored as known.
    RegistryExchangeReply reply{.bootId = this->settings.bootId};
    if (exchange.receiverBootId.value_or(this->settings.bootId) == this->settings.bootId) {
        for (RegisteredTarget const &target : exchange.heartbeats) {
            if (this->registry.mergeHeartbeat(target, now, exchange.from) == MergeOutcome::UnknownRun)
                reply.missing.push_back(target.number);
        }
    }
    if (!exchange.flows.empty()) {
        GroupFlows flows;
        for (GroupLoad const &load : exchange.flows)
            flows[load.group] = load.flows;
        this->activity.updatePeer(exchange.from.toString(), flows, now);
    }
    return reply;
}

void RegistrySync::whenSynced(Timestamp deadline, std::function<void(SyncResult)> done)
{
    {
        std::scoped_lock const lock(this->waitersMutex);
        this->waiters.push_back(Waiter{
            .generation = this->registry.changeGeneration(), .deadline = deadline, .done = std::move(done)});
    }
    this->sync(IoRuntime::now());
}

void RegistrySync::resolveWaiters(Timestamp now)
{
    std::vector<std::uint64_t> confirmed;
    for (auto const &[endpoint, peer] : this->directory.peers()) {
        if (endpoint == this->settings.self || !this->isAlive(peer, now))
            continue;
        auto const link = this->linkTo(endpoint);
        std::scoped_lock const lock(link->mutex);
        confirmed.push_back(link->confirmedGeneration);
    }
    std::vector<std::pair<SyncResult, std::function<void(SyncResult)>>> resolved;
    {
        std::scoped_lock const lock(this->waitersMutex);
        std::erase_if(this->waiters, [&](Waiter &entry) {
            auto const holders = static_cast<std::size_t>(std::ranges::count_if(
                confirmed, [&](std::uint64_t generation) { return generation >= entry.generation; }));
            SyncResult const result{.holders = holders + 1, .alive = confirmed.size() + 1};
            if (result.holders < result.alive && now < entry.deadline)
                return false;
            resolved.emplace_back(result, std::move(entry.done));
            return true;
        });
    }
    for (auto const &[result, done] : resolved)
        done(result);
}

} // namespace almondwing
