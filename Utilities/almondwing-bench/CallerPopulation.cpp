// Implements the callers of the balance experiment.

#include "CallerPopulation.h"

#include <algorithm>

namespace almondwing {

namespace {

constexpr Duration agingInterval = 250ms;
constexpr Duration shortLife = 1s;
constexpr Duration openRepeat = 1s;
// Each flow sends a packet in a quarter of the seconds, and a long flow at a draining target ends in a
// twentieth of them.
constexpr double packetChance = 0.25 * 0.25;
constexpr double drainChance = 0.05 * 0.25;

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

std::string const &CallerPopulation::rendezvous(std::uint64_t flow) const
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
    return this->live[best];
}

void CallerPopulation::addTarget(std::string const &name, std::string const &domain)
{
    this->cluster->addTarget(name, domain);
    this->live.push_back(name);
    this->liveIds.push_back(TargetId::fromName(name));
}

void CallerPopulation::leaveTarget(std::string const &name)
{
    this->cluster->leaveTarget(name);
    std::erase(this->live, name);
    std::erase(this->liveIds, TargetId::fromName(name));
}

void CallerPopulation::openFlows(std::size_t count, FlowLife life)
{
    for (std::size_t index = 0; index < count; ++index) {
        std::uint64_t const flow = this->random();
        Timestamp const now = this->cluster->time();
        std::string const &baseline = this->rendezvous(flow);
        this->flows.emplace(
            flow, CallerFlow{.life = life, .openedAt = now, .lastOpen = now, .baselineTarget = baseline});
        ++this->openedBaseline[baseline];
        this->cluster->send(OpenFlow{.key = this->keyOf(flow)});
    }
}

void CallerPopulation::countBroken(BrokenFlows &counts, FlowLife life) const
{
    ++(life == FlowLife::Long ? counts.longFlows : counts.shortFlows);
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
            ++found->second.answers;
    } else if (auto const *const end = std::get_if<FlowBroken>(&reply)) {
        auto const found = this->flows.find(end->key.flow);
        if (found == this->flows.end())
            return;
        this->countBroken(this->broken, found->second.life);
        ++this->brokenReasons[std::string(reasonName(end->reason))];
        // The caller opens the flow again, as it would.
        found->second.state = State::Opening;
    } else if (std::holds_alternative<FlowRefused>(reply)) {
        ++this->refusals;
    }
}

void CallerPopulation::sendData(std::uint64_t flow)
{
    ++this->packets;
    CallerFlow &known = this->flows.at(flow);
    std::string const &baseline = this->rendezvous(flow);
    if (known.baselineTarget != baseline) {
        this->countBroken(this->brokenBaseline, known.life);
        known.baselineTarget = baseline;
    }
    this->cluster->send(FlowData{.key = this->keyOf(flow), .payload = {}});
}

void CallerPopulation::close(std::uint64_t flow)
{
    this->cluster->send(CloseFlow{.key = this->keyOf(flow)});
    this->flows.erase(flow);
}

void CallerPopulation::ageFlows()
{
    Timestamp const now = this->cluster->time();
    std::vector<std::uint64_t> ending;
    std::vector<std::uint64_t> sending;
    std::vector<std::uint64_t> repeating;
    std::uniform_real_distribution<double> chance(0, 1);
    // Sorted, so that the order does not depend on the hash table.
    std::vector<std::uint64_t> order;
    for (auto const &entry : this->flows)
        order.push_back(entry.first);
    std::ranges::sort(order);
    for (std::uint64_t const flow : order) {
        CallerFlow &known = this->flows.at(flow);
        if (known.state == State::Opening) {
            if (now - known.lastOpen >= openRepeat)
                repeating.push_back(flow);
            continue;
        }
        bool isEnding = known.life == FlowLife::Short && now - known.openedAt >= shortLife;
        if (known.life == FlowLife::Long && chance(this->random) < drainChance) {
            auto const &target = this->cluster->echoTargets().at(this->cluster->targetOfFlow(flow));
            isEnding = target.announcement.state == AnnouncedState::Leaving;
        }
        if (isEnding)
            ending.push_back(flow);
        else if (chance(this->random) < packetChance)
            sending.push_back(flow);
    }
    for (std::uint64_t const flow : sending)
        this->sendData(flow);
    for (std::uint64_t const flow : repeating) {
        this->flows.at(flow).lastOpen = now;
        this->cluster->send(OpenFlow{.key = this->keyOf(flow)});
    }
    for (std::uint64_t const flow : ending) {
        bool const isLong = this->flows.at(flow).life == FlowLife::Long;
        this->close(flow);
        this->openFlows(isLong ? 1 : 0, FlowLife::Long);
    }
}

void CallerPopulation::step(std::size_t shortFlowsPerSecond)
{
    this->shortFlowsDue += static_cast<double>(shortFlowsPerSecond) * 0.025;
    auto const count = static_cast<std::size_t>(this->shortFlowsDue);
    this->shortFlowsDue -= static_cast<double>(count);
    this->openFlows(count, FlowLife::Short);
    if (this->cluster->time() >= this->nextAging) {
        this->nextAging = this->cluster->time() + agingInterval;
        this->ageFlows();
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
    return std::ranges::all_of(this->live,
                               [&](std::string const &name) { return this->cluster->isWarm(name); });
}

std::size_t CallerPopulation::countUnanswered()
{
    constexpr int tries = 3;
    std::vector<std::uint64_t> pending;
    for (auto const &[flow, known] : this->flows) {
        if (known.life == FlowLife::Long)
            pending.push_back(flow);
    }
    std::ranges::sort(pending);
    for (int attempt = 0; attempt < tries; ++attempt) {
        std::erase_if(pending, [&](std::uint64_t flow) {
            std::size_t const before = this->flows.at(flow).answers;
            this->sendData(flow);
            return this->flows.at(flow).answers > before;
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
    this->refusals = 0;
    this->packets = 0;
    this->opened.clear();
    this->openedBaseline.clear();
}

FlowsByTarget CallerPopulation::allFlows() const
{
    FlowsByTarget result;
    for (auto const &[name, target] : this->cluster->echoTargets())
        result[name] = target.flows.size();
    return result;
}

FlowsByTarget CallerPopulation::allBaselineFlows() const
{
    FlowsByTarget result;
    for (auto const &[flow, known] : this->flows)
        ++result[known.baselineTarget];
    return result;
}

} // namespace almondwing
