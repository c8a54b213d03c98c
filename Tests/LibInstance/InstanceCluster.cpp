// Implements the cluster of instances for tests.

#include "InstanceCluster.h"

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration step = 25ms;
constexpr Duration announcementInterval = 2s;
constexpr Duration serviceTime = 50ms;
constexpr TargetLimits targetLimits{.slots = 2, .connections = 320};
constexpr Endpoint testCaller{.address = 0x7f000001, .port = 9};
constexpr char const *serviceName = "cab-link";

std::string answerOf(std::uint64_t number)
{
    return fmt::format("answer to request {}", number);
}

} // namespace

InstanceCluster::InstanceCluster(std::uint64_t seed, std::vector<std::string> const &failureDomains,
                                 std::size_t instancesPerDomain)
    : random(seed)
{
    this->configuration.version = 1;
    this->configuration.manifest =
        Manifest{.deployment = "sk-central",
                 .pools = {TargetPool{.name = "cabs", .limits = targetLimits}},
                 .services = {Service{
                     .name = serviceName, .address = {.address = 0x7f000001, .port = 7101}, .pool = "cabs"}}};
    for (std::string const &domain : failureDomains) {
        this->configuration.manifest.failureDomains.push_back(FailureDomain{.name = domain, .region = "sk"});
        for (std::size_t count = 0; count < instancesPerDomain; ++count) {
            std::string const name = fmt::format("{}-{}", domain, count + 1);
            auto const port = static_cast<std::uint16_t>(20000 + this->nodes.size());
            this->nodes.push_back(
                Node{.member = MemberRecord{.id = InstanceId::fromName(name),
                                            .name = name,
                                            .failureDomain = domain,
                                            .peerEndpoint = {.address = 0x7f000001, .port = port},
                                            .httpEndpoint = {.address = 0x7f000001, .port = port}},
                     .instance = nullptr});
        }
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index)
        this->startInstance(index);
}

ServiceId InstanceCluster::service() const
{
    return ServiceId::fromName(serviceName);
}

Outbox InstanceCluster::outboxOf(std::size_t index)
{
    return Outbox{.sendToCaller = [this](Endpoint, CallerReply const &reply) { this->handleAtCaller(reply); },
                  .sendToTarget =
                      [this, index](Endpoint endpoint, TargetCommand const &command) {
                          this->handleAtTarget(index, endpoint, command);
                      },
                  .sendToInstance =
                      [this, index](InstanceId id, PeerMessage const &message) {
                          auto const receiver = std::ranges::find(
                              this->nodes, id, [](Node const &node) { return node.member.id; });
                          this->network.push_back(
                              Datagram{.sender = index,
                                       .receiver = static_cast<std::size_t>(receiver - this->nodes.begin()),
                                       .message = message});
                      },
                  .report = [](Event, std::string const &) {}};
}

void InstanceCluster::startInstance(std::size_t index)
{
    Node &node = this->nodes[index];
    InstanceSettings settings;
    settings.requests.startedAt = this->now;
    node.instance =
        std::make_unique<Instance>(settings, this->outboxOf(index), [this] { return this->random(); });
    node.isFrozen = false;
    node.member.incarnation = ++this->incarnation;
    std::vector<MemberRecord> seeds;
    for (Node const &other : this->nodes) {
        if (other.member.id != node.member.id)
            seeds.push_back(other.member);
    }
    for (MemberRecord &seed : seeds)
        seed.incarnation = 0;
    node.instance->start(node.member, seeds, this->now);
}

void InstanceCluster::killInstance(std::size_t index)
{
    this->nodes[index].instance = nullptr;
}

void InstanceCluster::stopInstance(std::size_t index)
{
    this->nodes[index].instance->beginStop(this->now);
}

void InstanceCluster::freezeInstance(std::size_t index)
{
    this->nodes[index].isFrozen = true;
}

void InstanceCluster::resumeInstance(std::size_t index)
{
    this->nodes[index].isFrozen = false;
}

void InstanceCluster::isolate(std::string const &failureDomain)
{
    this->isolatedDomains.insert(failureDomain);
}

void InstanceCluster::heal()
{
    this->isolatedDomains.clear();
}

void InstanceCluster::changeManifest(std::function<void(Manifest &)> const &change)
{
    ++this->configuration.version;
    change(this->configuration.manifest);
}

void InstanceCluster::addTarget(std::string const &name, std::string const &failureDomain)
{
    auto const port = static_cast<std::uint16_t>(10000 + this->targets.size());
    FakeTarget target{.announcement =
                          TargetAnnouncement{.name = name,
                                             .service = serviceName,
                                             .failureDomain = failureDomain,
                                             .packetEndpoint = {.address = 0x7f000001, .port = port},
                                             .httpEndpoint = {.address = 0x7f000001, .port = port},
                                             .startMark = this->random()},
                      .nextAnnouncement = this->now,
                      .startedAt = this->now};
    this->targets.insert_or_assign(name, std::move(target));
}

void InstanceCluster::restartTarget(std::string const &name)
{
    FakeTarget &target = this->targets.at(name);
    target.flows.clear();
    target.knownTries.clear();
    target.running.clear();
    target.announcement.startMark = this->random();
    target.nextAnnouncement = this->now;
    target.startedAt = this->now;
}

std::string InstanceCluster::domainOfFlow(std::uint64_t flow) const
{
    for (auto const &[name, target] : this->targets) {
        if (target.flows.contains(flow))
            return target.announcement.failureDomain;
    }
    return {};
}

std::size_t InstanceCluster::dispatcherOf(std::string const &target) const
{
    auto const running =
        std::ranges::find_if(this->nodes, [](Node const &node) { return node.instance != nullptr; });
    auto const view = running->instance->state().routingView.read();
    InstanceId const dispatcher = view->findTarget(TargetId::fromName(target))->dispatcher;
    auto const node =
        std::ranges::find_if(this->nodes, [&](Node const &other) { return other.member.id == dispatcher; });
    return static_cast<std::size_t>(node - this->nodes.begin());
}

std::size_t InstanceCluster::pickReceivingInstance(std::string const &failureDomain)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node const &node = this->nodes[index];
        bool const isWanted = failureDomain.empty() || node.member.failureDomain == failureDomain;
        if (node.instance != nullptr && !node.isFrozen && isWanted)
            candidates.push_back(index);
    }
    return candidates[this->random() % candidates.size()];
}

void InstanceCluster::openFlow(std::uint64_t flow, std::string const &receivingDomain)
{
    this->nodes[this->pickReceivingInstance(receivingDomain)].instance->handleCallerMessage(
        testCaller, OpenFlow{.key = {.service = this->service(), .flow = flow}, .payload = {}}, this->now);
    this->deliverAll();
}

void InstanceCluster::sendData(std::uint64_t flow, std::string const &receivingDomain)
{
    this->nodes[this->pickReceivingInstance(receivingDomain)].instance->handleCallerMessage(
        testCaller, FlowData{.key = {.service = this->service(), .flow = flow}, .payload = "x"}, this->now);
    this->deliverAll();
}

void InstanceCluster::sendRequest(Request const &request)
{
    this->nodes[this->pickReceivingInstance({})].instance->handleCallerMessage(testCaller, request,
                                                                               this->now);
    this->deliverAll();
}

bool InstanceCluster::canReach(std::size_t sender, std::size_t receiver) const
{
    std::string const &from = this->nodes[sender].member.failureDomain;
    std::string const &to = this->nodes[receiver].member.failureDomain;
    bool const isIsolated = this->isolatedDomains.contains(from) || this->isolatedDomains.contains(to);
    return from == to || !isIsolated;
}

void InstanceCluster::deliverAll()
{
    std::uniform_real_distribution<double> chance(0, 1);
    while (!this->network.empty()) {
        Datagram const datagram = this->network.front();
        this->network.pop_front();
        if (datagram.receiver >= this->nodes.size() || !this->canReach(datagram.sender, datagram.receiver))
            continue;
        Node &receiver = this->nodes[datagram.receiver];
        bool const isLost = chance(this->random) < this->lossProbability;
        if (isLost || receiver.instance == nullptr || receiver.isFrozen)
            continue;
        MemberRecord const &sender = this->nodes[datagram.sender].member;
        receiver.instance->handlePeerMessage(sender.id, sender.peerEndpoint, datagram.message, this->now);
    }
}

void InstanceCluster::handleAtTarget(std::size_t dispatcher, Endpoint endpoint, TargetCommand const &command)
{
    auto const found = std::ranges::find_if(this->targets, [&](auto const &entry) {
        return entry.second.announcement.packetEndpoint == endpoint;
    });
    if (found == this->targets.end())
        return;
    FakeTarget &target = found->second;
    auto const reply = [&](TargetMessage const &message) {
        this->nodes[dispatcher].instance->handleTargetMessage(endpoint, message, this->now);
    };
    if (auto const *const open = std::get_if<OpenFlow>(&command)) {
        target.flows.insert(open->key.flow);
        if (target.flows.size() > targetLimits.connections)
            this->violations.push_back(fmt::format("{} has {} flows", found->first, target.flows.size()));
        reply(FlowAccepted{.key = open->key});
    } else if (auto const *const data = std::get_if<FlowData>(&command)) {
        if (target.flows.contains(data->key.flow))
            reply(*data);
        else
            reply(FlowBroken{.key = data->key, .reason = Reason::UnknownFlow});
    } else if (auto const *const close = std::get_if<CloseFlow>(&command)) {
        target.flows.erase(close->key.flow);
    } else if (auto const *const run = std::get_if<RunRequest>(&command)) {
        this->startRun(target, dispatcher, *run);
    }
}

void InstanceCluster::startRun(FakeTarget &target, std::size_t dispatcher, RunRequest const &command)
{
    Endpoint const endpoint = target.announcement.packetEndpoint;
    if (target.knownTries.insert(command.tryId).second) {
        ++this->runs[command.key.number];
        target.running.push_back(
            Run{.command = command, .dispatcher = dispatcher, .endsAt = this->now + serviceTime});
        if (target.running.size() > targetLimits.slots)
            this->violations.push_back(
                fmt::format("{} runs {} requests", target.announcement.name, target.running.size()));
    }
    this->nodes[dispatcher].instance->handleTargetMessage(
        endpoint, RequestStarted{.key = command.key, .tryId = command.tryId}, this->now);
}

void InstanceCluster::finishRuns()
{
    for (auto &[name, target] : this->targets) {
        auto const isDue = [this](Run const &run) { return run.endsAt <= this->now; };
        std::vector<Run> due;
        std::ranges::copy_if(target.running, std::back_inserter(due), isDue);
        std::erase_if(target.running, isDue);
        for (Run const &run : due) {
            Node &dispatcher = this->nodes[run.dispatcher];
            if (dispatcher.instance == nullptr || dispatcher.isFrozen)
                continue;
            dispatcher.instance->handleTargetMessage(target.announcement.packetEndpoint,
                                                     AnswerPart{.key = run.command.key,
                                                                .tryId = run.command.tryId,
                                                                .part = 0,
                                                                .position = PartPosition::Last,
                                                                .payload = answerOf(run.command.key.number)},
                                                     this->now);
        }
    }
}

void InstanceCluster::handleAtCaller(CallerReply const &reply)
{
    if (auto const *const accepted = std::get_if<FlowAccepted>(&reply))
        this->established.insert(accepted->key.flow);
    else if (auto const *const refusal = std::get_if<FlowRefused>(&reply))
        this->refused.insert_or_assign(refusal->key.flow, refusal->reason);
    else if (auto const *const data = std::get_if<FlowData>(&reply))
        ++this->echoes[data->key.flow];
    else if (auto const *const end = std::get_if<FlowBroken>(&reply)) {
        this->broken.insert_or_assign(end->key.flow, end->reason);
        this->established.erase(end->key.flow);
    } else if (auto const *const part = std::get_if<AnswerPart>(&reply)) {
        if (part->payload != answerOf(part->key.number))
            this->violations.push_back(fmt::format("request {} got another answer", part->key.number));
        this->answers.insert_or_assign(part->key.number, part->payload);
    } else if (auto const *const rejected = std::get_if<NotRun>(&reply))
        this->notRun.insert_or_assign(rejected->key.number, rejected->reason);
    else if (auto const *const unknown = std::get_if<OutcomeUnknown>(&reply))
        this->outcomeUnknown.insert_or_assign(unknown->key.number, unknown->reason);
}

void InstanceCluster::announceTargets()
{
    for (auto &[name, target] : this->targets) {
        if (this->now < target.nextAnnouncement)
            continue;
        target.nextAnnouncement = this->now + announcementInterval;
        this->announce(target);
    }
}

// A target announces itself to the instances of its failure domain in turn and follows one redirect.
void InstanceCluster::announce(FakeTarget &target)
{
    for (Node &node : this->nodes) {
        bool const isUsable = node.instance != nullptr && !node.isFrozen
            && node.member.failureDomain == target.announcement.failureDomain;
        if (!isUsable)
            continue;
        auto const outcome = node.instance->handleAnnouncement(target.announcement, this->now);
        if (std::holds_alternative<AnnouncementAccepted>(outcome))
            return;
        auto const *const redirect = std::get_if<AnnouncementRedirected>(&outcome);
        if (redirect == nullptr)
            continue;
        for (Node &other : this->nodes) {
            if (other.member.id == redirect->dispatcher && other.instance != nullptr && !other.isFrozen)
                other.instance->handleAnnouncement(target.announcement, this->now);
        }
        return;
    }
}

// Replaces the HTTP calls of the daemon: configurations and records are fetched from peers, and all health
// checks succeed.
void InstanceCluster::fetchForNode(std::size_t index)
{
    Instance &instance = *this->nodes[index].instance;
    // An isolated failure domain doesn't receive newer configurations.
    if (!this->isolatedDomains.contains(this->nodes[index].member.failureDomain))
        instance.handleConfiguration(this->configuration);
    if (auto const peer = instance.startDueRecordFetch(this->now)) {
        auto const source =
            std::ranges::find(this->nodes, *peer, [](Node const &node) { return node.member.id; });
        auto const sourceIndex = static_cast<std::size_t>(source - this->nodes.begin());
        if (source != this->nodes.end() && source->instance != nullptr && !source->isFrozen
            && this->canReach(sourceIndex, index)) {
            std::vector<MemberRecord> members;
            for (auto const &[id, member] : source->instance->state().members.entries())
                members.push_back(member);
            std::vector<TargetRecord> records;
            for (auto const &[id, record] : source->instance->state().targets.entries())
                records.push_back(record);
            instance.handleRecords(members, records, this->now);
        }
    }
    for (HealthCheck const &check : instance.takeDueHealthChecks(this->now))
        instance.handleHealthReport(check.target, HealthReport{.answer = HealthAnswer::Healthy}, this->now);
}

void InstanceCluster::tickNode(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.instance == nullptr || node.isFrozen)
        return;
    node.instance->tick(this->now);
    while (auto const next = node.instance->sendNextBulkPart(this->now)) {
        if (*next > this->now)
            break;
    }
    this->fetchForNode(index);
    if (node.instance->isStopped(this->now))
        node.instance = nullptr;
}

void InstanceCluster::advance(Duration duration)
{
    Timestamp const end = this->now + duration;
    while (this->now < end) {
        this->now += step;
        this->finishRuns();
        this->announceTargets();
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            this->tickNode(index);
            this->deliverAll();
        }
    }
}

} // namespace almondwing
