// Implements spreading the registry of targets.

#include <LibNode/RegistrySpreader.h>

#include <algorithm>
#include <utility>

namespace almondwing {

RegistrySpreader::RegistrySpreader(IoRuntime &ioRuntime, SpreaderSettings spreaderSettings,
                                   TargetRegistry &targetRegistry, PeerDirectory &peerDirectory,
                                   ActivityBoard &activityBoard,
                                   std::function<Cell<GroupFlows>::Snapshot()> ownFlowsHook)
    : runtime(ioRuntime), settings(std::move(spreaderSettings)), registry(targetRegistry),
      directory(peerDirectory), activity(activityBoard), ownFlows(std::move(ownFlowsHook))
{
}

bool RegistrySpreader::isHeard(ControlPeer const &peer, Timestamp now) const
{
    return peer.lastSeenAt != Timestamp{} && now - peer.lastSeenAt <= this->settings.peerLifetime;
}

std::shared_ptr<RegistrySpreader::PeerLink> RegistrySpreader::linkTo(Endpoint peer)
{
    std::scoped_lock const lock(this->linksMutex);
    auto &link = this->links[peer];
    if (link == nullptr)
        link = std::make_shared<PeerLink>(this->runtime, peer);
    return link;
}

void RegistrySpreader::spread(Timestamp now)
{
    auto const peers = this->directory.peers();
    for (auto const &[endpoint, peer] : peers) {
        if (endpoint != this->settings.self)
            this->spreadTo(peer, now);
    }
    {
        std::scoped_lock const lock(this->linksMutex);
        std::erase_if(this->links, [&](auto const &entry) { return !peers.contains(entry.first); });
    }
    this->resolveWaiting(now);
}

// Changes go to every peer, whoever reported them, so that they pass around a partition. Heartbeats come from
// the instance that got them, and through this one only where that instance and the peer do not hear each
// other.
RegistryExchange RegistrySpreader::exchangeFor(PeerLink const &link, RegistryChanges changes, bool isRound,
                                               Timestamp now) const
{
    RegistryExchange exchange{.from = this->settings.self,
                              .failureDomain = this->settings.failureDomain,
                              .boot = this->settings.boot};
    exchange.targets = std::move(changes.targets);
    for (auto const &[endpoint, peer] : this->directory.peers()) {
        exchange.peers.push_back(peer);
        if (this->isHeard(peer, now))
            exchange.hears.push_back(endpoint);
    }
    if (!isRound)
        return exchange;
    for (RegistryEntry const &entry : this->registry.refreshedAfter(link.heardConfirmed)) {
        bool const isDirect = entry.reporter == Endpoint{};
        bool const hearsReporter = std::ranges::find(link.hears, entry.reporter) != link.hears.end();
        if (entry.changeGeneration <= link.confirmed && (isDirect || !hearsReporter))
            exchange.heard.push_back(entry.target);
    }
    auto const own = this->ownFlows();
    for (auto const &[group, flows] : *own)
        exchange.flows.push_back(GroupLoad{.group = group, .flows = flows});
    return exchange;
}

void RegistrySpreader::spreadTo(ControlPeer const &peer, Timestamp now)
{
    auto const link = this->linkTo(peer.endpoint);
    std::scoped_lock const lock(link->mutex);
    bool const isRound = now - link->lastRound >= this->settings.heartbeatRound;
    bool const hasChanges = this->registry.changeGeneration() > link->confirmed;
    // A peer that does not answer is tried once a round.
    if (link->isCalling || (!isRound && !(hasChanges && this->isHeard(peer, now))))
        return;
    std::uint64_t const generation = this->registry.generation();
    RegistryChanges changes =
        this->registry.oldestChangesAfter(link->confirmed, this->settings.targetsInExchange);
    std::uint64_t const upTo = changes.isTruncated ? changes.lastGeneration : generation;
    RegistryExchange const exchange = this->exchangeFor(*link, std::move(changes), isRound, now);
    link->isCalling = true;
    if (isRound)
        link->lastRound = now;
    HttpCall const call{.server = peer.endpoint,
                        .method = HttpMethod::Post,
                        .target = std::string(registryPath),
                        .body = formatRegistryExchange(exchange, now),
                        .timeout = this->settings.callTimeout,
                        .connectTimeout = nodeConnectTimeout};
    // The link owns its calls, so a call does not own the link.
    link->link.call(call,
                    [this, weak = std::weak_ptr(link), endpoint = peer.endpoint, upTo,
                     isRound](absl::StatusOr<HttpResponse> const &response) {
                        if (auto const current = weak.lock())
                            this->noteReply(endpoint, *current, upTo, isRound, response);
                    });
}

void RegistrySpreader::noteReply(Endpoint peer, PeerLink &link, std::uint64_t sentUpTo, bool wasRound,
                                 absl::StatusOr<HttpResponse> const &response)
{
    Timestamp const now = IoRuntime::now();
    bool needsMore = false;
    {
        std::scoped_lock const lock(link.mutex);
        link.isCalling = false;
        // A peer that is down is called again with the next round.
        if (!response.ok() || !response->isSuccess())
            return;
        auto const reply = parseRegistryExchangeReply(response->body);
        if (!reply.ok())
            return;
        this->directory.recordContact(peer, "", now);
        if (reply->boot != link.boot) {
            // A new process has nothing; what was sent just now may have been only a difference.
            bool const wasFromStart = link.confirmed == 0;
            link.boot = reply->boot;
            link.confirmed = wasFromStart ? sentUpTo : 0;
            link.heardConfirmed = 0;
            needsMore = !wasFromStart;
        } else {
            link.confirmed = std::max(link.confirmed, sentUpTo);
            if (wasRound)
                link.heardConfirmed = std::max(link.heardConfirmed, sentUpTo);
        }
    }
    if (needsMore || this->registry.changeGeneration() > sentUpTo)
        this->spread(now);
    else
        this->resolveWaiting(now);
}

RegistryExchangeReply RegistrySpreader::handle(RegistryExchange const &exchange, Timestamp now)
{
    this->directory.recordContact(exchange.from, exchange.failureDomain, now);
    for (ControlPeer const &peer : exchange.peers)
        this->directory.addPeer(peer.endpoint, peer.failureDomain);
    for (RegisteredTarget const &target : exchange.targets)
        this->registry.merge(target, now, exchange.from);
    {
        auto const link = this->linkTo(exchange.from);
        std::scoped_lock const lock(link->mutex);
        link->hears = exchange.hears;
    }
    for (RegisteredTarget const &target : exchange.heard)
        this->registry.mergeHeartbeat(target, now, exchange.from);
    if (!exchange.flows.empty()) {
        GroupFlows flows;
        for (GroupLoad const &load : exchange.flows)
            flows[load.group] = load.flows;
        this->activity.reportPeer(exchange.from.toString(), flows, now);
    }
    return RegistryExchangeReply{.boot = this->settings.boot};
}

void RegistrySpreader::whenSpread(Timestamp deadline, std::function<void(SpreadResult)> done)
{
    {
        std::scoped_lock const lock(this->waitingMutex);
        this->waiting.push_back(Waiting{
            .generation = this->registry.changeGeneration(), .deadline = deadline, .done = std::move(done)});
    }
    this->spread(IoRuntime::now());
}

void RegistrySpreader::resolveWaiting(Timestamp now)
{
    std::vector<std::uint64_t> confirmed;
    for (auto const &[endpoint, peer] : this->directory.peers()) {
        if (endpoint == this->settings.self || !this->isHeard(peer, now))
            continue;
        auto const link = this->linkTo(endpoint);
        std::scoped_lock const lock(link->mutex);
        confirmed.push_back(link->confirmed);
    }
    std::vector<std::pair<SpreadResult, std::function<void(SpreadResult)>>> resolved;
    {
        std::scoped_lock const lock(this->waitingMutex);
        std::erase_if(this->waiting, [&](Waiting &entry) {
            auto const holders = static_cast<std::size_t>(std::ranges::count_if(
                confirmed, [&](std::uint64_t generation) { return generation >= entry.generation; }));
            SpreadResult const result{.holders = holders + 1, .known = confirmed.size() + 1};
            if (result.holders < result.known && now < entry.deadline)
                return false;
            resolved.emplace_back(result, std::move(entry.done));
            return true;
        });
    }
    for (auto const &[result, done] : resolved)
        done(result);
}

} // namespace almondwing
