// Implements the fake link.

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
                    bytes += encodedBytesBound(member);
                for (TargetRecord const &target : content.gossip.targets)
                    bytes += encodedBytesBound(target);
                return bytes;
            } else {
                return 0;
            }
        },
        message);
}

} // namespace

FakeCluster::FakeCluster(std::size_t nodeCount, std::size_t domainCount, std::uint64_t seed,
                         MembershipSettings clusterSettings)
    : settings(std::move(clusterSettings)), random(seed)
{
    for (std::size_t index = 0; index < nodeCount; ++index) {
        auto const name = fmt::format("node-{}", index);
        auto const port = static_cast<std::uint16_t>(index + 1);
        FakeNode node;
        node.self.id = InstanceId::fromName(name);
        node.self.name = name;
        node.self.failureDomain = fmt::format("domain-{}", index % domainCount);
        node.self.peerEndpoint = Endpoint{.address = 0x7f000001, .port = port};
        this->indices[node.self.id] = index;
        this->nodes.push_back(std::move(node));
    }
}

void FakeCluster::startAll()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index)
        this->start(index);
}

void FakeCluster::start(std::size_t index)
{
    auto &node = this->nodes[index];
    node.self.incarnation += 100;
    node.blackboard = std::make_unique<Blackboard>();
    node.isRunning = true;
    node.isPaused = false;
    node.memberVersions.clear();
    node.targetVersions.clear();
    Outbox outbox;
    outbox.sendToInstance = [this, index](InstanceId to, PeerMessage const &message) {
        this->send(index, to, message);
    };
    outbox.report = [this, index](Event event, std::string const &text) {
        this->nodes[index].events.emplace_back(event, text);
    };
    node.controller = std::make_unique<MembershipController>(*node.blackboard, this->settings, outbox,
                                                             [this] { return this->random(); });
    std::vector<MemberRecord> seeds;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(this->nodes.size(), 8); ++seed)
        seeds.push_back(this->nodes[seed].self);
    node.controller->start(node.self, seeds, this->now);
}

void FakeCluster::stop(std::size_t index)
{
    this->nodes[index].isRunning = false;
}

void FakeCluster::run(Duration duration)
{
    auto const end = this->now + duration;
    while (this->now < end) {
        this->deliverUntil(this->now + step);
        this->now += step;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            auto &node = this->nodes[index];
            if (!node.isRunning || node.isPaused)
                continue;
            node.controller->tick(this->now);
            this->fetchRecords(index);
            this->checkVersions(node);
        }
        this->inspect();
    }
}

void FakeCluster::writeTarget(std::size_t index, TargetRecord const &target)
{
    auto &blackboard = *this->nodes[index].blackboard;
    blackboard.targets.update(target.id, [&](auto const &) { return std::optional(target); });
    queueTarget(blackboard, target.id, transmissionCount(this->nodes.size()));
}

void FakeCluster::send(std::size_t from, InstanceId to, PeerMessage const &message)
{
    this->largestRecordBytes = std::max(this->largestRecordBytes, recordBytes(message));
    auto const receiver = this->indexOf(to);
    if (this->isCut(from, receiver))
        return;
    int const copies = this->chance() < this->faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (this->chance() < this->faults.loss)
            continue;
        auto const spread = this->faults.longestDelay - this->faults.shortestDelay;
        auto const delay = this->faults.shortestDelay
            + Duration(static_cast<Duration::rep>(static_cast<double>(spread.count()) * this->chance()));
        this->inFlight.emplace(this->now + delay, Delivery{from, receiver, message});
    }
}

// Messages to a paused process wait in its socket, as they do for a real one.
void FakeCluster::deliverUntil(Timestamp end)
{
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= end) {
        auto entry = this->inFlight.extract(this->inFlight.begin());
        this->now = std::max(this->now, entry.key());
        if (this->nodes[entry.mapped().to].isPaused) {
            this->inFlight.emplace(end + 1us, std::move(entry.mapped()));
            continue;
        }
        this->deliver(entry.mapped());
    }
    this->now = end - step;
}

void FakeCluster::deliver(Delivery const &delivery)
{
    auto &node = this->nodes[delivery.to];
    if (!node.isRunning)
        return;
    auto const &sender = this->nodes[delivery.from].self;
    std::visit(
        [&](auto const &message) {
            if constexpr (requires { message.gossip; })
                node.controller->handlePeerMessage(sender.id, sender.peerEndpoint, message, this->now);
        },
        delivery.message);
}

void FakeCluster::fetchRecords(std::size_t index)
{
    auto const peer = this->nodes[index].controller->startDueRecordFetch(this->now);
    if (!peer)
        return;
    auto const from = this->indexOf(*peer);
    auto const &source = this->nodes[from];
    if (!this->canFetch || !source.isRunning || source.isPaused || this->isCut(index, from)
        || this->isCut(from, index))
        return;
    this->nodes[index].controller->mergeRecords(source.blackboard->members.values(),
                                                source.blackboard->targets.values(), this->now);
}

void FakeCluster::checkVersions(FakeNode &node)
{
    for (auto const &[id, member] : node.blackboard->members.entries()) {
        auto const version = std::pair(member.incarnation, member.state);
        // Seeds begin as dead with incarnation 0, which is below any heard version.
        auto &highest = node.memberVersions.try_emplace(id, version).first->second;
        this->versionsGoneBack += version < highest ? 1 : 0;
        highest = std::max(highest, version);
    }
    for (auto const &[id, target] : node.blackboard->targets.entries()) {
        auto &highest = node.targetVersions.try_emplace(id, target.sequence).first->second;
        this->versionsGoneBack += target.sequence < highest ? 1 : 0;
        highest = std::max(highest, target.sequence);
    }
}

bool FakeCluster::sees(std::size_t observer, std::size_t subject, MemberState state) const
{
    auto const record = this->nodes[observer].blackboard->members.read(this->nodes[subject].self.id);
    return record && record->value.state == state;
}

bool FakeCluster::isConverged() const
{
    std::optional<std::uint64_t> digest;
    for (std::size_t observer = 0; observer < this->nodes.size(); ++observer) {
        if (!this->nodes[observer].isRunning)
            continue;
        auto const own = this->nodes[observer].controller->recordsDigest();
        if (digest.value_or(own) != own)
            return false;
        digest = own;
        for (std::size_t subject = 0; subject < this->nodes.size(); ++subject) {
            if (this->nodes[subject].isRunning != this->sees(observer, subject, MemberState::Alive))
                return false;
        }
    }
    return true;
}

std::size_t FakeCluster::countEvents(Event event) const
{
    std::size_t count = 0;
    for (FakeNode const &node : this->nodes)
        count += static_cast<std::size_t>(
            std::ranges::count(node.events, event, &std::pair<Event, std::string>::first));
    return count;
}

} // namespace almondwing
