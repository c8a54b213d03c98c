// Implements the callers of the balance experiment.

#include "CallerPopulation.h"

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration updateInterval = 250ms;
constexpr Duration shortFlowLifetime = 1s;
constexpr Duration reopenInterval = 1s;
// Probabilities per update. The second factor is the update interval in seconds, so that a flow sends a
// packet with probability 0.25 per second, and a long flow on a draining target ends with probability 0.05
// per second.
constexpr double packetProbability = 0.25 * 0.25;
constexpr double drainedCloseProbability = 0.05 * 0.25;

} // namespace

CallerPopulation::CallerPopulation(std::uint64_t seed, std::vector<std::string> const &domains,
                                   std::size_t instancesPerDomain)
    : cluster(std::make_unique<InstanceCluster>(
        seed, domains, instancesPerDomain,
        [this](Endpoint, CallerReply const &reply) { this->handleReply(reply); })),
      random(seed + 1)
{
}

FlowKey CallerPopulation::keyOf(std::uint64_t flow) const
{
    return FlowKey{.service = ServiceId::fromName("cab-link"), .flow = flow};
}

std::string const &CallerPopulation::rendezvousTarget(std::uint64_t flow) const
{
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t index = 0; index < this->liveIds.size(); ++index) {
        std::uint64_t const score = combineHashes(this->liveIds[index].value, flow);
        if (score >= bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return this->liveNames[best];
}

void CallerPopulation::addTarget(std::string const &name, std::string const &domain)
{
    this->cluster->addTarget(name, domain);
    this->liveNames.push_back(name);
    this->liveIds.push_back(TargetId::fromName(name));
}

void CallerPopulation::drainTarget(std::string const &name)
{
    this->cluster->drainTarget(name);
    std::erase(this->liveNames, name);
    std::erase(this->liveIds, TargetId::fromName(name));
}

void CallerPopulation::openFlows(std::size_t count, FlowLifetime lifetime)
{
    for (std::size_t index = 0; index < count; ++index) {
        std::uint64_t const flow = this->random();
        Timestamp const now = this->cluster->time();
        std::string const &baseline = this->rendezvousTarget(flow);
        this->flows.emplace(
            flow,
            OpenedFlow{.lifetime = lifetime, .openedAt = now, .lastOpenAt = now, .baselineTarget = baseline});
        ++this->openedBaseline[baseline];
        this->cluster->send(OpenFlow{.key = this->keyOf(flow)});
    }
}

void CallerPopulation::countBroken(BrokenFlows &counts, FlowLifetime lifetime) const
{
    ++(lifetime == FlowLifetime::Long ? counts.longFlows : counts.shortFlows);
}

void CallerPopulation::handleReply(CallerReply const &reply)
{
    if (auto const *const accepted = std::get_if<FlowAccepted>(&reply)) {
        auto const found = this->flows.find(accepted->key.flow);
        if (found == this->flows.end() || found->second.state == State::Open)
            return;
        found->second.state = State::Open;
        ++this->opened[this->cluster->targetOfFlow(accepted->key.flow)];
    } else if (auto const *const data = std::get_if<FlowData>(&reply)) {
        auto const found = this->flows.find(data->key.flow);
        if (found != this->flows.end())
            ++found->second.echoes;
    } else if (auto const *const end = std::get_if<FlowBroken>(&reply)) {
        auto const found = this->flows.find(end->key.flow);
        if (found == this->flows.end())
            return;
        this->countBroken(this->broken, found->second.lifetime);
        ++this->brokenReasons[std::string(reasonName(end->reason))];
        // A real caller opens a broken flow again, so this one does as well.
        found->second.state = State::Opening;
    } else if (std::holds_alternative<FlowRefused>(reply)) {
        ++this->refusedOpens;
    }
}

void CallerPopulation::sendData(std::uint64_t flow)
{
    ++this->packets;
    OpenedFlow &callerFlow = this->flows.at(flow);
    std::string const &baseline = this->rendezvousTarget(flow);
    if (callerFlow.baselineTarget != baseline) {
        this->countBroken(this->brokenBaseline, callerFlow.lifetime);
        callerFlow.baselineTarget = baseline;
    }
    this->cluster->send(FlowData{.key = this->keyOf(flow), .payload = {}});
}

void CallerPopulation::close(std::uint64_t flow)
{
    this->cluster->send(CloseFlow{.key = this->keyOf(flow)});
    this->flows.erase(flow);
}

void CallerPopulation::updateFlows()
{
    Timestamp const now = this->cluster->time();
    std::vector<std::uint64_t> ending;
    std::vector<std::uint64_t> sending;
    std::vector<std::uint64_t> reopening;
    std::uniform_real_distribution<double> uniform(0, 1);
    // Sorted, so that a run does not depend on the iteration order of the hash table.
    std::vector<std::uint64_t> order;
    for (auto const &entry : this->flows)
        order.push_back(entry.first);
    std::ranges::sort(order);
    for (std::uint64_t const flow : order) {
        OpenedFlow &callerFlow = this->flows.at(flow);
        if (callerFlow.state == State::Opening) {
            if (now - callerFlow.lastOpenAt >= reopenInterval)
                reopening.push_back(flow);
            continue;
        }
        bool isEnding =
            callerFlow.lifetime == FlowLifetime::Short && now - callerFlow.openedAt >= shortFlowLifetime;
        if (callerFlow.lifetime == FlowLifetime::Long && uniform(this->random) < drainedCloseProbability) {
            auto const &target = this->cluster->echoTargets().at(this->cluster->targetOfFlow(flow));
            isEnding = target.announcement.state == AnnouncedState::Leaving;
        }
        if (isEnding)
            ending.push_back(flow);
        else if (uniform(this->random) < packetProbability)
            sending.push_back(flow);
    }
    for (std::uint64_t const flow : sending)
        this->sendData(flow);
    for (std::uint64_t const flow : reopening) {
        this->flows.at(flow).lastOpenAt = now;
        this->cluster->send(OpenFlow{.key = this->keyOf(flow)});
    }
    for (std::uint64_t const flow : ending) {
        bool const isLong = this->flows.at(flow).lifetime == FlowLifetime::Long;
        this->close(flow);
        this->openFlows(isLong ? 1 : 0, FlowLifetime::Long);
    }
}

void CallerPopulation::step(std::size_t shortFlowsPerSecond)
{
    this->shortFlowsDue += static_cast<double>(shortFlowsPerSecond) * 0.025;
    auto const count = static_cast<std::size_t>(this->shortFlowsDue);
    this->shortFlowsDue -= static_cast<double>(count);
    this->openFlows(count, FlowLifetime::Short);
    if (this->cluster->time() >= this->nextUpdateAt) {
        this->nextUpdateAt = this->cluster->time() + updateInterval;
        this->updateFlows();
    }
    this->cluster->step();
}

void CallerPopulation::run(Duration duration, std::size_t shortFlowsPerSecond)
{
    for (Timestamp const end = this->cluster->time() + duration; this->cluster->time() < end;)
        this->step(shortFlowsPerSecond);
}

bool CallerPopulation::areAllWarm() const
{
    return std::ranges::all_of(this->liveNames,
                               [&](std::string const &name) { return this->cluster->isWarm(name); });
}

std::size_t CallerPopulation::countUnansweredFlows()
{
    constexpr int maxAttempts = 3;
    std::vector<std::uint64_t> pending;
    for (auto const &[flow, callerFlow] : this->flows) {
        if (callerFlow.lifetime == FlowLifetime::Long)
            pending.push_back(flow);
    }
    std::ranges::sort(pending);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        std::erase_if(pending, [&](std::uint64_t flow) {
            std::size_t const before = this->flows.at(flow).echoes;
            this->sendData(flow);
            return this->flows.at(flow).echoes > before;
        });
        for (int step = 0; step < 40 && !pending.empty(); ++step)
            this->cluster->step();
    }
    return pending.size();
}

void CallerPopulation::resetCounts()
{
    this->broken = {};
    this->brokenBaseline = {};
    this->brokenReasons.clear();
    this->refusedOpens = 0;
    this->packets = 0;
    this->opened.clear();
    this->openedBaseline.clear();
}

FlowsByTarget CallerPopulation::flowsByTarget() const
{
    FlowsByTarget result;
    for (auto const &[name, target] : this->cluster->echoTargets())
        result[name] = target.flows.size();
    return result;
}

FlowsByTarget CallerPopulation::baselineFlowsByTarget() const
{
    FlowsByTarget result;
    for (auto const &[flow, callerFlow] : this->flows)
        ++result[callerFlow.baselineTarget];
    return result;
}

} // namespace almondwing
