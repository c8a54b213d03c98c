// Implements the cluster of instances and the echo targets.

#include "InstanceCluster.h"

#include <LibCore/Verify.h>
#include <LibManifest/ManifestOperations.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

constexpr Duration announcementInterval = 2s;
constexpr Endpoint defaultCaller{.address = 0x7f000001, .port = 9};

std::string kindOf(PeerMessage const &message)
{
    if (std::holds_alternative<ClaimUpdate>(message))
        return "claims";
    if (std::holds_alternative<ExceptionUpdate>(message))
        return "exceptions and handover";
    if (std::holds_alternative<FlowFound>(message))
        return "found flows";
    bool const isMembership = std::holds_alternative<Ping>(message) || std::holds_alternative<Ack>(message)
        || std::holds_alternative<IndirectPing>(message);
    return isMembership ? "membership" : "requests";
}

} // namespace

InstanceCluster::InstanceCluster(std::uint64_t seed, std::vector<std::string> const &domains,
                                 std::size_t instancesPerDomain, ReplyHook replyHook, RequestHook requestHook,
                                 RequestSettings settingsForRequests)
    : random(seed), onReply(std::move(replyHook)), onRequest(std::move(requestHook)),
      requestSettings(settingsForRequests)
{
    Manifest &manifest = this->configuration.manifest;
    this->configuration.version = 1;
    manifest.deployment = "sk-central";
    manifest.pools = {TargetPool{.name = "cabs", .limits = {.slots = 2, .connections = 2000}}};
    manifest.services = {
        Service{.name = "cab-link", .address = Endpoint{.address = 0x7f000001, .port = 1}, .pool = "cabs"}};
    for (std::string const &domain : domains) {
        manifest.failureDomains.push_back(FailureDomain{.name = domain, .region = "sk"});
        this->domainOfInstance.insert(this->domainOfInstance.end(), instancesPerDomain, domain);
    }
    std::size_t const count = this->domainOfInstance.size();
    this->instances.resize(count);
    this->peerTraffic.resize(count);
    for (std::size_t index = 0; index < count; ++index)
        this->members.push_back(this->initialRecordOf(index));
    for (std::size_t index = 0; index < count; ++index)
        this->indices.emplace(this->members[index].id, index);
    for (std::size_t index = 0; index < count; ++index)
        this->startInstance(index);
}

MemberRecord InstanceCluster::initialRecordOf(std::size_t index) const
{
    std::string const name = fmt::format("instance-{}", index);
    auto const port = static_cast<std::uint16_t>(1000 + index);
    return MemberRecord{.id = InstanceId::fromName(name),
                        .name = name,
                        .failureDomain = this->domainOfInstance[index],
                        .peerEndpoint = Endpoint{.address = 0x7f000001, .port = port},
                        .httpEndpoint = Endpoint{.address = 0x7f000001, .port = port}};
}

Outbox InstanceCluster::outboxOf(std::size_t index)
{
    return Outbox{.sendToCaller = [this](Endpoint to, CallerReply const &reply) { this->onReply(to, reply); },
                  .sendToTarget =
                      [this, index](Endpoint endpoint, TargetCommand const &command) {
                          this->handleAtTarget(index, endpoint, command);
                      },
                  .sendToInstance =
                      [this, index](InstanceId to, PeerMessage const &message) {
                          this->sendToInstance(index, to, message);
                      },
                  .report = [](Event, std::string const &) {}};
}

void InstanceCluster::startInstance(std::size_t index)
{
    this->members[index].incarnation += 100; // Must exceed the increments of the previous process.
    InstanceSettings settings{.requests = this->requestSettings};
    settings.requests.startedAt = this->now;
    this->instances[index] =
        std::make_unique<Instance>(settings, this->outboxOf(index), [this] { return this->random(); });
    std::vector<MemberRecord> seeds;
    for (std::size_t seed = 0; seed < this->instances.size(); ++seed) {
        if (seed != index)
            seeds.push_back(this->members[seed]);
    }
    this->instances[index]->handleConfiguration(this->configuration);
    this->instances[index]->start(this->members[index], seeds, this->now);
}

void InstanceCluster::beginStop(std::size_t index)
{
    this->instances[index]->beginStop(this->now);
}

bool InstanceCluster::isStopped(std::size_t index) const
{
    return this->instances[index]->isStopped(this->now);
}

void InstanceCluster::sendToInstance(std::size_t from, InstanceId to, PeerMessage const &message)
{
    if (!std::holds_alternative<Forwarded>(message)) {
        auto const datagram =
            this->codec.encode(PeerDatagram{.from = this->members[from].id, .message = message});
        VERIFY(datagram.ok());
        this->peerTraffic[from].bytes += datagram->size();
        this->peerTraffic[from].bytesInSecond += datagram->size();
        this->peerTraffic[from].bytesByKind[kindOf(message)] += datagram->size();
    }
    this->pendingDeliveries.emplace_back([this, from, receiver = this->indices.at(to), message] {
        this->deliverToInstance(from, receiver, message);
    });
}

void InstanceCluster::addTarget(std::string const &name, std::string const &domain)
{
    EchoTarget target;
    target.announcement =
        TargetAnnouncement{.name = name,
                           .service = "cab-link",
                           .failureDomain = domain,
                           .packetEndpoint = Endpoint{.address = 0x7f000001, .port = this->nextPort},
                           .httpEndpoint = Endpoint{.address = 0x7f000001, .port = this->nextPort},
                           .startMark = this->random() | 1};
    ++this->nextPort;
    this->targetNames.emplace(target.announcement.packetEndpoint, name);
    this->targets.emplace(name, std::move(target));
}

void InstanceCluster::drainTarget(std::string const &name)
{
    EchoTarget &target = this->targets.at(name);
    target.announcement.state = AnnouncedState::Leaving;
    target.nextAnnouncement = this->now;
}

std::size_t InstanceCluster::randomInstance(std::string const &domain)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (this->instances[index] != nullptr && (domain.empty() || this->domainOfInstance[index] == domain))
            candidates.push_back(index);
    }
    VERIFY(!candidates.empty());
    return candidates[this->random() % candidates.size()];
}

void InstanceCluster::send(CallerMessage const &message)
{
    this->send(defaultCaller, message);
}

void InstanceCluster::send(Endpoint caller, CallerMessage const &message)
{
    this->instances[this->randomInstance("")]->handleCallerMessage(caller, message, this->now);
    this->deliverAll();
}

void InstanceCluster::sendFromTarget(std::string const &target, std::size_t receiver,
                                     TargetMessage const &message)
{
    Endpoint const endpoint = this->targets.at(target).announcement.packetEndpoint;
    this->pendingDeliveries.emplace_back([this, receiver, endpoint, message] {
        if (this->instances[receiver] != nullptr)
            this->instances[receiver]->handleTargetMessage(endpoint, message, this->now);
    });
}

void InstanceCluster::setFailureDomainState(std::string const &domain, FailureDomainState state)
{
    auto const changed = almondwing::setFailureDomainState(this->configuration.manifest, domain, state,
                                                           LastDomainPolicy::Refuse);
    VERIFY(changed.ok());
    this->configuration.manifest = *changed;
    ++this->configuration.version;
    for (auto const &instance : this->instances) {
        if (instance != nullptr)
            instance->handleConfiguration(this->configuration);
    }
}

void InstanceCluster::handleAtTarget(std::size_t sender, Endpoint endpoint, TargetCommand const &command)
{
    EchoTarget &target = this->targets.at(this->targetNames.at(endpoint));
    if (!target.isRunning)
        return;
    auto const answer = [&](TargetMessage const &message) {
        this->pendingDeliveries.emplace_back([this, sender, endpoint, message] {
            if (this->instances[sender] != nullptr)
                this->instances[sender]->handleTargetMessage(endpoint, message, this->now);
        });
    };
    if (auto const *const open = std::get_if<OpenFlow>(&command)) {
        auto const [entry, isNew] = this->flowTargets.try_emplace(open->key.flow, target.announcement.name);
        this->doubleOpens += !isNew && entry->second != target.announcement.name ? 1 : 0;
        target.flows.insert(open->key.flow);
        answer(FlowAccepted{.key = open->key});
    } else if (auto const *const data = std::get_if<FlowData>(&command)) {
        if (target.flows.contains(data->key.flow))
            answer(*data);
        else
            answer(FlowBroken{.key = data->key, .reason = Reason::UnknownFlow});
    } else if (auto const *const close = std::get_if<CloseFlow>(&command)) {
        target.flows.erase(close->key.flow);
        this->flowTargets.erase(close->key.flow);
    } else if (this->onRequest) {
        this->onRequest(sender, target.announcement.name, command);
    }
}

void InstanceCluster::deliverToInstance(std::size_t from, std::size_t to, PeerMessage const &message)
{
    if (this->instances[to] == nullptr)
        return;
    MemberRecord const &sender = this->members[from];
    this->instances[to]->handlePeerMessage(sender.id, sender.peerEndpoint, message, this->now);
}

void InstanceCluster::deliverAll()
{
    while (!this->pendingDeliveries.empty()) {
        auto const delivery = std::move(this->pendingDeliveries.front());
        this->pendingDeliveries.pop_front();
        delivery();
    }
}

void InstanceCluster::announce(EchoTarget &target)
{
    target.nextAnnouncement = this->now + announcementInterval;
    bool const isLeaving = target.announcement.state == AnnouncedState::Leaving;
    if (isLeaving && target.flows.empty())
        target.isRunning = false;
    if (!target.isRunning)
        return;
    std::size_t const first = this->randomInstance(target.announcement.failureDomain);
    auto const outcome = this->instances[first]->handleAnnouncement(target.announcement, this->now);
    auto const *const redirect = std::get_if<AnnouncementRedirected>(&outcome);
    if (redirect == nullptr || redirect->dispatcher.isNone())
        return;
    auto const &dispatcher = this->instances[this->indices.at(redirect->dispatcher)];
    if (dispatcher != nullptr)
        dispatcher->handleAnnouncement(target.announcement, this->now);
}

void InstanceCluster::tickInstance(std::size_t index)
{
    Instance &instance = *this->instances[index];
    instance.tick(this->now);
    for (HealthCheck const &check : instance.takeDueHealthChecks(this->now)) {
        EchoTarget const &target = this->targets.at(this->targetNames.at(check.httpEndpoint));
        auto const answer = target.isRunning ? HealthAnswer::Healthy : HealthAnswer::NoAnswer;
        instance.handleHealthReport(check.target, HealthReport{.answer = answer}, this->now);
    }
    auto const peer = instance.startDueRecordFetch(this->now);
    if (!peer || this->instances[this->indices.at(*peer)] == nullptr)
        return;
    ++this->recordFetches;
    Blackboard const &source = this->instances[this->indices.at(*peer)]->state();
    instance.handleRecords(source.members.values(), source.targets.values(), this->now);
}

void InstanceCluster::advanceTo(Timestamp time)
{
    VERIFY(time >= this->now && time <= this->nextStepAt);
    this->now = time;
    this->deliverAll();
}

std::optional<Timestamp> InstanceCluster::sendBulkParts()
{
    std::optional<Timestamp> next;
    for (auto const &instance : this->instances) {
        auto const time = instance != nullptr ? instance->sendNextBulkPart(this->now) : std::nullopt;
        if (time)
            next = std::min(next.value_or(*time), *time);
    }
    return next;
}

void InstanceCluster::step()
{
    this->now = this->nextStepAt;
    this->nextStepAt += clusterStep;
    for (auto &[name, target] : this->targets) {
        if (target.isRunning && this->now >= target.nextAnnouncement)
            this->announce(target);
    }
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (this->instances[index] != nullptr)
            this->tickInstance(index);
        this->deliverAll();
    }
    this->secondElapsed += clusterStep;
    if (this->secondElapsed < 1s)
        return;
    this->secondElapsed = {};
    for (PeerTraffic &traffic : this->peerTraffic) {
        traffic.peakBytesPerSecond = std::max(traffic.peakBytesPerSecond, traffic.bytesInSecond);
        traffic.bytesInSecond = 0;
    }
}

bool InstanceCluster::isWarm(std::string const &target) const
{
    for (auto const &instance : this->instances) {
        if (instance == nullptr)
            continue;
        auto const record = instance->state().targets.read(TargetId::fromName(target));
        if (!record || record->value.state != TargetState::Warm)
            return false;
    }
    return true;
}

std::string InstanceCluster::targetOfFlow(std::uint64_t flow) const
{
    auto const found = this->flowTargets.find(flow);
    return found == this->flowTargets.end() ? std::string() : found->second;
}

} // namespace almondwing
