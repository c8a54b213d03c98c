// Implements the simulated cluster and its network.

#include "FakeCluster.h"

#include <LibMembership/Dissemination.h>

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

namespace almondwing {

namespace {

constexpr Duration step = 100ms;

std::size_t recordBytes(PeerMessage const &message)
{
    return std::visit(
        [](auto const &content) -> std::size_t {
            if constexpr (requires { content.gossip; }) {
                std::size_t bytes = 0;
                for (MemberRecord const &member : content.gossip.members)
                    bytes += maxEncodedBytes(member);
                for (TargetRecord const &target : content.gossip.targets)
                    bytes += maxEncodedBytes(target);
                return bytes;
            } else {
                return 0;
            }
        },
        message);
}

} // namespace

FakeCluster::FakeCluster(std::size_t instanceCount, std::size_t domainCount, std::uint64_t seed,
                         MembershipSettings clusterSettings)
    : settings(std::move(clusterSettings)), random(seed)
{
    for (std::size_t index = 0; index < instanceCount; ++index) {
        auto const name = fmt::format("node-{}", index);
        auto const port = static_cast<std::uint16_t>(index + 1);
        FakeInstance instance;
        instance.self.id = InstanceId::fromName(name);
        instance.self.name = name;
        instance.self.failureDomain = fmt::format("domain-{}", index % domainCount);
        instance.self.peerEndpoint = Endpoint{.address = 0x7f000001, .port = port};
        this->indices[instance.self.id] = index;
        this->instances.push_back(std::move(instance));
    }
}

void FakeCluster::startAll()
{
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->start(index);
}

void FakeCluster::start(std::size_t index)
{
    auto &instance = this->instances[index];
    instance.self.incarnation += 100;
    instance.blackboard = std::make_unique<Blackboard>();
    instance.isRunning = true;
    instance.isPaused = false;
    instance.memberVersions.clear();
    instance.targetVersions.clear();
    Outbox outbox;
    outbox.sendToInstance = [this, index](InstanceId to, PeerMessage const &message) {
        this->send(index, to, message);
    };
    outbox.report = [this, index](Event event, std::string const &text) {
        this->instances[index].events.emplace_back(event, text);
    };
    instance.controller = std::make_unique<MembershipController>(*instance.blackboard, this->settings, outbox,
                                                                 [this] { return this->random(); });
    std::vector<MemberRecord> seeds;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(this->instances.size(), 8); ++seed)
        seeds.push_back(this->instances[seed].self);
    instance.controller->start(instance.self, seeds, this->now);
}

void FakeCluster::stop(std::size_t index)
{
    this->instances[index].isRunning = false;
}

void FakeCluster::run(Duration duration)
{
    auto const end = this->now + duration;
    while (this->now < end) {
        this->deliverUntil(this->now + step);
        this->now += step;
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            auto &instance = this->instances[index];
            if (!instance.isRunning || instance.isPaused)
                continue;
            instance.controller->tick(this->now);
            this->fetchRecords(index);
            this->checkVersions(instance);
        }
        this->afterStep();
    }
}

void FakeCluster::writeTarget(std::size_t index, TargetRecord const &target)
{
    auto &blackboard = *this->instances[index].blackboard;
    blackboard.targets.update(target.id, [&](auto const &) { return std::optional(target); });
    queueTargetUpdate(blackboard, target.id, transmissionLimit(this->instances.size()));
}

void FakeCluster::send(std::size_t from, InstanceId to, PeerMessage const &message)
{
    this->maxRecordBytes = std::max(this->maxRecordBytes, recordBytes(message));
    auto const receiver = this->indexOf(to);
    if (this->isBlocked(from, receiver))
        return;
    int const copies = this->randomFraction() < this->faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (this->randomFraction() < this->faults.loss)
            continue;
        auto const spread = this->faults.maxDelay - this->faults.minDelay;
        auto const delay = this->faults.minDelay
            + Duration(static_cast<Duration::rep>(static_cast<double>(spread.count())
                                                  * this->randomFraction()));
        this->inFlight.emplace(this->now + delay, Delivery{from, receiver, message});
    }
}

// Messages to a paused process are kept until it runs again, as in the buffer of a real socket.
void FakeCluster::deliverUntil(Timestamp end)
{
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= end) {
        auto entry = this->inFlight.extract(this->inFlight.begin());
        this->now = std::max(this->now, entry.key());
        if (this->instances[entry.mapped().to].isPaused) {
            this->inFlight.emplace(end + 1us, std::move(entry.mapped()));
            continue;
        }
        this->deliver(entry.mapped());
    }
    this->now = end - step; // run() adds the step again after this call.
}

void FakeCluster::deliver(Delivery const &delivery)
{
    auto &instance = this->instances[delivery.to];
    if (!instance.isRunning)
        return;
    auto const &sender = this->instances[delivery.from].self;
    std::visit(
        [&](auto const &message) {
            if constexpr (requires { message.gossip; })
                instance.controller->handlePeerMessage(sender.id, sender.peerEndpoint, message, this->now);
        },
        delivery.message);
}

void FakeCluster::fetchRecords(std::size_t index)
{
    auto const peer = this->instances[index].controller->startDueRecordFetch(this->now);
    if (!peer)
        return;
    auto const from = this->indexOf(*peer);
    auto const &source = this->instances[from];
    if (!this->isFetchPossible || !source.isRunning || source.isPaused || this->isBlocked(index, from)
        || this->isBlocked(from, index))
        return;
    this->instances[index].controller->mergeRecords(source.blackboard->members.values(),
                                                    source.blackboard->targets.values(), this->now);
}

void FakeCluster::checkVersions(FakeInstance &instance)
{
    for (auto const &[id, member] : instance.blackboard->members.entries()) {
        auto const version = std::pair(member.incarnation, member.state);
        // Seeds start as dead with incarnation 0, which is lower than any received version.
        auto &highest = instance.memberVersions.try_emplace(id, version).first->second;
        this->versionRegressions += version < highest ? 1 : 0;
        highest = std::max(highest, version);
    }
    for (auto const &[id, target] : instance.blackboard->targets.entries()) {
        auto &highest = instance.targetVersions.try_emplace(id, target.sequence).first->second;
        this->versionRegressions += target.sequence < highest ? 1 : 0;
        highest = std::max(highest, target.sequence);
    }
}

bool FakeCluster::sees(std::size_t observer, std::size_t subject, MemberState state) const
{
    auto const record = this->instances[observer].blackboard->members.read(this->instances[subject].self.id);
    return record && record->value.state == state;
}

bool FakeCluster::isConverged() const
{
    std::optional<std::uint64_t> digest;
    for (std::size_t observer = 0; observer < this->instances.size(); ++observer) {
        if (!this->instances[observer].isRunning)
            continue;
        auto const own = this->instances[observer].controller->recordsDigest();
        if (digest.value_or(own) != own)
            return false;
        digest = own;
        for (std::size_t subject = 0; subject < this->instances.size(); ++subject) {
            if (this->instances[subject].isRunning != this->sees(observer, subject, MemberState::Alive))
                return false;
        }
    }
    return true;
}

std::size_t FakeCluster::countEvents(Event event) const
{
    std::size_t count = 0;
    for (FakeInstance const &instance : this->instances)
        count += static_cast<std::size_t>(
            std::ranges::count(instance.events, event, &std::pair<Event, std::string>::first));
    return count;
}

} // namespace almondwing
