// Implements the simulated cluster of routing controllers.

#include "RoutingCluster.h"

#include <LibState/Rendezvous.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Endpoint testCaller{.address = 0x7f000001, .port = 9};

ServiceId serviceOfFlow(std::uint64_t flow)
{
    return ServiceId::fromName(flow >= RoutingCluster::firstDeskFlow ? "manifest-desk" : "cab-link");
}

template<typename Command>
FlowKey const *flowKeyOf(TargetCommand const &command)
{
    auto const *const content = std::get_if<Command>(&command);
    return content == nullptr ? nullptr : &content->key;
}

} // namespace

RoutingInstance::RoutingInstance(Outbox const &outbox)
    : routing(blackboard), flows(blackboard, outbox), sweeper(blackboard, outbox),
      claims(blackboard, outbox, [](TargetId) { return std::vector<std::uint16_t>{}; }),
      handover(blackboard, outbox)
{
}

RoutingCluster::RoutingCluster(std::uint64_t seed, std::vector<std::string> const &domains,
                               std::size_t instancesPerDomain)
    : random(seed)
{
    this->configuration.version = 1;
    this->configuration.manifest =
        Manifest{.deployment = "sk-central",
                 .pools = {TargetPool{.name = "cabs", .limits = {.slots = 2, .connections = 2000}}},
                 .services = {Service{.name = "cab-link", .address = {}, .pool = "cabs"},
                              Service{.name = "manifest-desk", .address = {}, .pool = "cabs"}}};
    for (std::string const &domain : domains)
        this->configuration.manifest.failureDomains.push_back(FailureDomain{.name = domain, .region = "sk"});
    for (std::string const &domain : domains) {
        for (std::size_t count = 0; count < instancesPerDomain; ++count)
            this->domainOfInstance.push_back(domain);
    }
    this->instances.resize(this->domainOfInstance.size());
    this->incarnations.resize(this->domainOfInstance.size());
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->startInstance(index);
}

MemberRecord RoutingCluster::memberRecordOf(std::size_t index) const
{
    std::string const name = fmt::format("instance-{}", index);
    return MemberRecord{.id = InstanceId::fromName(name),
                        .name = name,
                        .failureDomain = this->domainOfInstance[index],
                        .incarnation = this->incarnations[index]};
}

std::size_t RoutingCluster::indexOf(InstanceId id) const
{
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (this->memberRecordOf(index).id == id)
            return index;
    }
    return this->instances.size();
}

FlowKey RoutingCluster::keyOfNumber(std::uint64_t flow) const
{
    return FlowKey{.service = serviceOfFlow(flow), .flow = flow};
}

Outbox RoutingCluster::outboxOf(std::size_t index)
{
    return Outbox{.sendToCaller = [this](Endpoint, CallerReply const &reply) { this->handleAtCaller(reply); },
                  .sendToTarget =
                      [this, index](Endpoint endpoint, TargetCommand const &command) {
                          this->handleAtTarget(index, endpoint, command);
                      },
                  .sendToInstance =
                      [this](InstanceId receiver, PeerMessage const &message) {
                          this->link.push_back(
                              Envelope{.receiver = this->indexOf(receiver), .message = message});
                      },
                  .report = [](Event, std::string const &) {}};
}

void RoutingCluster::startInstance(std::size_t index)
{
    ++this->incarnations[index];
    this->instances[index] = std::make_unique<RoutingInstance>(this->outboxOf(index));
    RoutingInstance &instance = *this->instances[index];
    instance.blackboard.configuration.update([&](auto const &) { return this->configuration; });
    instance.blackboard.ownStatus.update([&](auto const &) {
        return OwnStatus{
            .self = this->memberRecordOf(index), .phase = InstancePhase::Serving, .lease = LeaseState::Held};
    });
    for (std::size_t other = 0; other < this->instances.size(); ++other) {
        if (this->instances[other] != nullptr && this->instances[other]->isAlive)
            instance.blackboard.members.update(this->memberRecordOf(other).id,
                                               [&](auto const &) { return this->memberRecordOf(other); });
    }
    for (auto const &entry : this->targets) {
        TargetRecord const &record = entry.second.record;
        instance.blackboard.targets.update(record.id, [&](auto const &) { return record; });
    }
    this->publishMember(index, MemberState::Alive);
    this->publishTargets();
}

void RoutingCluster::publishMember(std::size_t index, MemberState state)
{
    MemberRecord member = this->memberRecordOf(index);
    member.state = state;
    for (std::size_t receiver = 0; receiver < this->instances.size(); ++receiver) {
        Timestamp const at = this->now + Duration(static_cast<std::int64_t>(this->random() % 800'000));
        this->delayedUpdates.emplace_back(at, [this, receiver, member] {
            if (this->instances[receiver] != nullptr)
                this->instances[receiver]->blackboard.members.update(member.id,
                                                                     [&](auto const &) { return member; });
        });
    }
}

void RoutingCluster::publishTargets()
{
    for (auto &[name, target] : this->targets)
        this->publishTarget(target);
}

void RoutingCluster::publishTarget(FakeTarget &target)
{
    ++target.record.sequence.counter;
    std::vector<MemberRecord> members;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (this->instances[index] != nullptr && this->instances[index]->isAlive
            && this->instances[index]->blackboard.ownStatus.read()->phase == InstancePhase::Serving)
            members.push_back(this->memberRecordOf(index));
    }
    InstanceId const owner = chooseDispatcher(target.record.id, target.record.failureDomain, members);
    // A new owner writes with a higher epoch.
    if (owner != target.record.sequence.owner && !target.record.sequence.owner.isNone())
        ++target.record.sequence.epoch;
    target.record.sequence.owner = owner;
    for (std::size_t receiver = 0; receiver < this->instances.size(); ++receiver) {
        Timestamp const at = this->now + Duration(static_cast<std::int64_t>(this->random() % 800'000));
        this->delayedUpdates.emplace_back(at, [this, receiver, record = target.record] {
            if (this->instances[receiver] == nullptr)
                return;
            this->instances[receiver]->blackboard.targets.update(
                record.id, [&](std::optional<TargetRecord> const &current) -> std::optional<TargetRecord> {
                    return current && current->sequence > record.sequence ? std::nullopt
                                                                          : std::optional(record);
                });
        });
    }
}

void RoutingCluster::addTarget(std::string const &name, std::string const &domain, std::string const &service)
{
    FakeTarget target{
        .record = TargetRecord{.id = TargetId::fromName(name),
                               .name = name,
                               .service = ServiceId::fromName(service),
                               .failureDomain = domain,
                               .packetEndpoint = Endpoint{.address = 0x7f000001, .port = this->nextPort++},
                               .startMark = this->random(),
                               .state = TargetState::Warm,
                               .rampLevel = 4,
                               .sequence = {.epoch = 1}}};
    FakeTarget &added = this->targets.insert_or_assign(name, target).first->second;
    this->publishTarget(added);
    std::size_t const dispatcher = this->indexOf(added.record.sequence.owner);
    this->instances[dispatcher]->blackboard.targetsSeenFromStart.update(
        added.record.id, [&](auto const &) { return added.record.startMark; });
}

void RoutingCluster::restartTarget(std::string const &name)
{
    FakeTarget &target = this->targets.at(name);
    target.flows.clear();
    target.record.startMark = this->random();
    this->publishTarget(target);
}

void RoutingCluster::setTargetState(std::string const &name, TargetState state)
{
    FakeTarget &target = this->targets.at(name);
    target.record.state = state;
    this->publishTarget(target);
}

void RoutingCluster::setRampLevel(std::string const &name, std::uint8_t level)
{
    FakeTarget &target = this->targets.at(name);
    target.record.rampLevel = level;
    this->publishTarget(target);
}

void RoutingCluster::setDomainState(std::string const &domain, FailureDomainState state)
{
    ++this->configuration.version;
    for (FailureDomain &failureDomain : this->configuration.manifest.failureDomains) {
        if (failureDomain.name == domain)
            failureDomain.state = state;
    }
    for (auto const &instance : this->instances)
        instance->blackboard.configuration.update([&](auto const &) { return this->configuration; });
}

void RoutingCluster::killInstance(std::size_t index)
{
    this->instances[index]->isAlive = false;
    this->publishMember(index, MemberState::Dead);
    this->publishTargets();
}

void RoutingCluster::leaveInstance(std::size_t index)
{
    this->instances[index]->blackboard.ownStatus.update([](OwnStatus status) {
        status.phase = InstancePhase::Leaving;
        return status;
    });
    this->publishMember(index, MemberState::Leaving);
    this->publishTargets();
}

std::size_t RoutingCluster::aliveCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->instances, [](auto const &instance) { return instance->isAlive; }));
}

std::size_t RoutingCluster::openFlowsAt(std::string const &target) const
{
    return this->targets.at(target).flows.size();
}

std::string RoutingCluster::describeFlow(std::uint64_t flow) const
{
    FlowKey const key = this->keyOfNumber(flow);
    std::uint16_t const bucket = bucketOf(std::hash<FlowKey>{}(key));
    std::string text = fmt::format("flow {} in bucket {}\n", flow, bucket);
    for (auto const &[name, target] : this->targets) {
        if (target.flows.contains(flow))
            text += fmt::format("  open at {} in {}, state {}\n", name, target.record.failureDomain,
                                static_cast<int>(target.record.state));
    }
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        Blackboard const &board = this->instances[index]->blackboard;
        auto const view = board.routingView.read();
        RoutedTarget const *const assigned = view->findService(key.service)->targetOfBucket(bucket);
        auto const record = board.flows.read(key);
        auto const redirect = board.redirects.read(key);
        text += fmt::format("  instance {} phase {}: bucket assigned to {}, dispatched by instance {} (99: "
                            "none), recorded at {}, redirected to {}\n",
                            index, static_cast<int>(board.ownStatus.read()->phase),
                            assigned == nullptr ? "none" : assigned->record.name,
                            assigned == nullptr ? 99 : this->indexOf(assigned->dispatcher),
                            record ? view->findTarget(record->value.target)->record.name : "none",
                            redirect ? view->findTarget(redirect->value.target)->record.name : "none");
        board.claims.forEach([&](TargetId target, ClaimUpdate const &claim) {
            if (std::ranges::binary_search(claim.buckets, bucket))
                text += fmt::format("    has a claim of {}\n", view->findTarget(target)->record.name);
        });
    }
    return text;
}

void RoutingCluster::sendToRandomInstance(CallerMessage const &message)
{
    std::size_t receiver = this->random() % this->instances.size();
    while (!this->instances[receiver]->isAlive)
        receiver = this->random() % this->instances.size();
    this->link.push_back(Envelope{.receiver = receiver,
                                  .forwarded = Forwarded{.caller = testCaller, .message = message},
                                  .isFromCaller = true});
}

void RoutingCluster::openFlow(std::uint64_t flow)
{
    this->sendToRandomInstance(OpenFlow{.key = this->keyOfNumber(flow)});
}

void RoutingCluster::sendData(std::uint64_t flow)
{
    this->sendToRandomInstance(FlowData{.key = this->keyOfNumber(flow), .payload = "x"});
}

void RoutingCluster::deliverAll()
{
    std::uniform_real_distribution<double> chance(0, 1);
    while (!this->link.empty()) {
        Envelope const envelope = this->link.front();
        this->link.pop_front();
        if (chance(this->random) < this->lossProbability)
            continue;
        if (chance(this->random) < this->duplicateProbability)
            this->link.push_back(envelope);
        this->deliver(envelope);
    }
}

void RoutingCluster::deliver(Envelope const &envelope)
{
    if (envelope.receiver >= this->instances.size() || !this->instances[envelope.receiver]->isAlive)
        return;
    RoutingInstance &instance = *this->instances[envelope.receiver];
    if (envelope.isFromCaller)
        this->handleForwarded(envelope.receiver, envelope.forwarded);
    else if (auto const *const forwarded = std::get_if<Forwarded>(&envelope.message))
        this->handleForwarded(envelope.receiver, *forwarded);
    else if (auto const *const claim = std::get_if<ClaimUpdate>(&envelope.message))
        instance.claims.handleClaim(*claim);
    else if (auto const *const update = std::get_if<ExceptionUpdate>(&envelope.message))
        instance.handover.handleUpdate(*update, this->now);
    else if (auto const *const found = std::get_if<FlowFound>(&envelope.message))
        instance.flows.handleFlowFound(*found, this->now);
}

void RoutingCluster::handleForwarded(std::size_t receiver, Forwarded const &forwarded)
{
    RoutingInstance &instance = *this->instances[receiver];
    if (instance.flows.serveIfKnown(toFlowArrival(Forwarded(forwarded), TargetId{}), this->now))
        return;
    auto decision = decideForwarded(*instance.blackboard.routingView.read(),
                                    this->memberRecordOf(receiver).id, forwarded);
    if (decision.kind == ForwardDecisionKind::Forward)
        this->link.push_back(
            Envelope{.receiver = this->indexOf(decision.instance), .message = decision.forwarded});
    else if (decision.kind == ForwardDecisionKind::HandleLocally)
        instance.flows.handleArrival(toFlowArrival(std::move(decision.forwarded), decision.target),
                                     this->now);
}

void RoutingCluster::handleAtTarget(std::size_t sender, Endpoint endpoint, TargetCommand const &command)
{
    auto const found = std::ranges::find_if(
        this->targets, [&](auto const &entry) { return entry.second.record.packetEndpoint == endpoint; });
    if (found == this->targets.end())
        return;
    FakeTarget &target = found->second;
    auto const answer = [&](TargetMessage const &message) {
        this->instances[sender]->flows.handleTargetMessage(endpoint, message, this->now);
    };
    for (FlowKey const *const key :
         {flowKeyOf<OpenFlow>(command), flowKeyOf<FlowData>(command), flowKeyOf<CloseFlow>(command)}) {
        if (key != nullptr && key->service != target.record.service)
            this->violations.push_back(
                fmt::format("a packet of flow {} reached {}", key->flow, found->first));
        if (key != nullptr && this->silentFlows.contains(key->flow))
            return;
    }
    if (auto const *const open = std::get_if<OpenFlow>(&command)) {
        for (auto const &[name, other] : this->targets) {
            if (name != target.record.name && other.flows.contains(open->key.flow))
                this->violations.push_back(fmt::format("flow {} opened at two targets", open->key.flow));
        }
        target.flows.insert(open->key.flow);
        answer(FlowAccepted{.key = open->key});
    } else if (auto const *const data = std::get_if<FlowData>(&command)) {
        if (target.flows.contains(data->key.flow))
            answer(*data);
        else
            answer(FlowBroken{.key = data->key, .reason = Reason::UnknownFlow});
    } else if (auto const *const close = std::get_if<CloseFlow>(&command)) {
        target.flows.erase(close->key.flow);
    }
}

void RoutingCluster::handleAtCaller(CallerReply const &reply)
{
    if (auto const *const accepted = std::get_if<FlowAccepted>(&reply))
        this->established.insert(accepted->key.flow);
    else if (auto const *const refusal = std::get_if<FlowRefused>(&reply))
        this->refused[refusal->key.flow] = refusal->reason;
    else if (auto const *const data = std::get_if<FlowData>(&reply))
        ++this->answers[data->key.flow];
    else if (auto const *const end = std::get_if<FlowBroken>(&reply)) {
        this->broken.emplace(end->key.flow, end->reason);
        this->established.erase(end->key.flow);
    }
}

void RoutingCluster::advance(Duration duration)
{
    Timestamp const end = this->now + duration;
    while (this->now < end) {
        this->deliverAll();
        this->now += tickInterval;
        auto updates = std::move(this->delayedUpdates);
        this->delayedUpdates.clear();
        for (auto &[at, update] : updates) {
            if (at <= this->now)
                update();
            else
                this->delayedUpdates.emplace_back(at, std::move(update));
        }
        for (auto const &instance : this->instances) {
            if (!instance->isAlive)
                continue;
            instance->routing.refresh(this->now);
            instance->sweeper.refreshFlowTableStatus(this->now);
            instance->sweeper.tick(this->now);
            instance->claims.tick(this->now);
            instance->handover.tick(this->now);
        }
        this->deliverAll();
    }
}

} // namespace almondwing
