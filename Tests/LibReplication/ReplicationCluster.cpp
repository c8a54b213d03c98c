// Implements the simulated cluster of replicas.

#include "ReplicationCluster.h"

#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

constexpr Duration tickInterval = 20ms;
constexpr Duration maxWait = 120s;
constexpr std::size_t maxAddedNodes = 4;

std::string joinLines(std::vector<std::string> const &lines)
{
    std::string text;
    for (std::string const &line : lines)
        text += line + "\n";
    return text;
}

std::vector<std::string> splitLines(std::string const &text)
{
    std::vector<std::string> lines;
    for (std::size_t start = 0; start < text.size();) {
        std::size_t const end = text.find('\n', start);
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return lines;
}

} // namespace

ReplicationSettings ReplicationCluster::testSettings()
{
    ReplicationSettings settings;
    settings.maxBatchEntries = 3;
    settings.maxSnapshotPartBytes = 40;
    settings.entriesPerSnapshot = 8;
    return settings;
}

ReplicationCluster::ReplicationCluster(std::size_t size, std::uint64_t seed, ReplicationSettings newSettings)
    : settings(std::move(newSettings)), random(seed)
{
    this->nodes.reserve(size + maxAddedNodes); // Hooks keep references to the nodes, so they must not move.
    this->nodes.resize(size);
    for (std::size_t index = 0; index < size; ++index) {
        this->nodes[index].instance = fmt::format("control-{}", index);
        this->settings.controlInstances.push_back(this->nodes[index].instance);
    }
    for (std::size_t index = 0; index < size; ++index)
        this->start(index);
}

std::size_t ReplicationCluster::addNode()
{
    VERIFY(this->nodes.size() < this->nodes.capacity());
    std::size_t const index = this->nodes.size();
    this->nodes.emplace_back();
    this->nodes[index].instance = fmt::format("control-{}", index);
    this->start(index);
    return index;
}

void ReplicationCluster::require(bool condition, std::string const &violation)
{
    if (!condition)
        this->violations.push_back(violation);
}

std::size_t ReplicationCluster::indexOf(std::string const &instance) const
{
    return static_cast<std::size_t>(std::ranges::find(this->nodes, instance, &Node::instance)
                                    - this->nodes.begin());
}

ReplicationHooks ReplicationCluster::hooksOf(std::size_t index)
{
    Node &node = this->nodes[index];
    return ReplicationHooks{
        .send = [this, index](ReplicaEnvelope const &envelope) { this->transmit(index, envelope); },
        .apply = [this, &node](LogEntry const &entry) { this->apply(node, entry); },
        .restore = [this, &node](Snapshot const &snapshot) { this->restore(node, snapshot); },
        .takeSnapshot = [&node] { return joinLines(node.commands); },
        .resolveProposal =
            [this, &node](LogIndex entry, ProposalOutcome outcome) {
                auto const proposal = node.proposals.extract(entry);
                if (outcome != ProposalOutcome::Committed || node.disk.hasFailed() || proposal.empty())
                    return;
                this->acknowledged.insert(proposal.mapped());
                this->acknowledgedLength = std::max(this->acknowledgedLength, node.commands.size());
            },
        .resolveRead =
            [this, &node](ReadToken token, absl::Status const &status) {
                auto const read = node.reads.extract(token);
                if (!status.ok() || read.empty() || node.disk.hasFailed())
                    return;
                ++this->readsConfirmed;
                this->require(node.commands.size() >= read.mapped(),
                              "a confirmed read misses an acknowledged command");
            },
        .knownInstances =
            [this] {
                std::vector<std::string> names;
                for (Node const &known : this->nodes)
                    names.push_back(known.instance);
                return names;
            },
        .mayBootstrap = [this] { return this->isBootstrapAllowed; },
        .random = [this] { return this->random(); },
        .report = [&node](Event event, std::string const &) { node.events.push_back(event); }};
}

void ReplicationCluster::apply(Node &node, LogEntry const &entry)
{
    auto const [known, isNew] = this->entries.emplace(entry.index, entry);
    this->require(isNew || known->second == entry,
                  fmt::format("two different entries with index {} were committed", entry.index));
    node.commands.push_back(entry.payload);
    node.appliedIndexes.push_back(entry.index);
    std::size_t const position = node.commands.size() - 1;
    if (position == this->committed.size())
        this->committed.push_back(entry.payload);
    this->require(position < this->committed.size() && this->committed[position] == entry.payload,
                  fmt::format("{} applied a different command at position {}", node.instance, position));
}

void ReplicationCluster::restore(Node &node, Snapshot const &snapshot)
{
    std::vector<std::string> const restored = splitLines(snapshot.state);
    this->require(restored.size() >= node.commands.size(), "a snapshot reverted the state");
    this->require(restored.size() <= this->committed.size()
                      && std::equal(restored.begin(), restored.end(), this->committed.begin()),
                  "a snapshot contradicts the committed commands");
    node.commands = restored;
}

void ReplicationCluster::start(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.core != nullptr)
        return;
    if (node.disk.hasFailed())
        node.disk.simulatePowerLoss(this->random());
    node.commands.clear();
    node.appliedIndexes.clear();
    node.proposals.clear();
    node.reads.clear();
    auto hooks = this->hooksOf(index);
    auto storage = FileStorage::open(node.disk.hooks(), node.instance, hooks.random, hooks.report);
    node.storageError = storage.ok() || node.disk.hasFailed() ? "" : std::string(storage.status().message());
    if (!storage.ok())
        return;
    node.core = std::make_unique<ReplicationCore>(this->settings, (*storage)->loaded(), (*storage)->hooks(),
                                                  std::move(hooks), this->now);
    this->observe(index);
}

void ReplicationCluster::stop(std::size_t index)
{
    this->nodes[index].core.reset();
}

void ReplicationCluster::losePower(std::size_t index)
{
    this->stop(index);
    this->nodes[index].disk.simulatePowerLoss(this->random());
    // A short restart updates the status to what reached the disk.
    this->start(index);
    this->stop(index);
}

void ReplicationCluster::wipe(std::size_t index)
{
    this->stop(index);
    this->nodes[index].disk.wipe();
    this->nodes[index].status = ReplicationStatus{};
}

void ReplicationCluster::heal()
{
    this->faults = LinkFaults{};
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node &node = this->nodes[index];
        node.partition = 0;
        node.disk.setFull(false);
        if (node.disk.hasFailed()
            || (node.core != nullptr && node.core->status().role == ReplicaRole::Failed))
            this->losePower(index);
        node.disk.cancelFailure();
        this->start(index);
    }
}

void ReplicationCluster::transmit(std::size_t from, ReplicaEnvelope const &envelope)
{
    std::size_t const recipient = this->indexOf(envelope.to.instance);
    if (recipient >= this->nodes.size() || this->nodes[from].disk.hasFailed()
        || this->nodes[from].partition != this->nodes[recipient].partition
        || this->random() % 100 < this->faults.lossPercent)
        return;
    if (this->isHeldBack && this->isHeldBack(envelope.message)) {
        this->heldBack.push_back(envelope);
        return;
    }
    int const copies = this->random() % 100 < this->faults.duplicatePercent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        Duration const delay(static_cast<Duration::rep>(
            this->random() % static_cast<std::uint64_t>(this->faults.maxDelay.count() + 1)));
        this->inFlightMessages.emplace(this->now + delay, InFlightMessage{envelope, recipient});
    }
}

void ReplicationCluster::releaseHeldBack()
{
    this->isHeldBack = nullptr;
    for (ReplicaEnvelope const &envelope : std::exchange(this->heldBack, {}))
        this->transmit(this->indexOf(envelope.from.instance), envelope);
}

void ReplicationCluster::deliverDue()
{
    while (!this->inFlightMessages.empty() && this->inFlightMessages.begin()->first <= this->now) {
        InFlightMessage const next = this->inFlightMessages.extract(this->inFlightMessages.begin()).mapped();
        Node &node = this->nodes[next.recipient];
        bool const isReachable =
            this->nodes[this->indexOf(next.envelope.from.instance)].partition == node.partition;
        if (node.core == nullptr || !isReachable)
            continue;
        node.core->handleMessage(next.envelope, this->now);
        this->observe(next.recipient);
    }
}

void ReplicationCluster::observe(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.disk.hasFailed()) {
        this->losePower(index);
        return;
    }
    node.status = node.core->status();
    if (node.status.role != ReplicaRole::Leader)
        return;
    auto const [known, isNew] =
        this->leaders.emplace(std::pair(node.status.history, node.status.term), node.status.self.id);
    this->require(isNew || known->second == node.status.self.id,
                  fmt::format("two leaders were elected in term {}", node.status.term));
}

void ReplicationCluster::run(Duration duration)
{
    for (Timestamp const end = this->now + duration; this->now < end;) {
        this->now += tickInterval;
        this->deliverDue();
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (this->nodes[index].core == nullptr)
                continue;
            this->nodes[index].core->tick(this->now);
            this->observe(index);
        }
    }
}

std::optional<LogIndex> ReplicationCluster::propose(std::size_t index, std::size_t padding)
{
    Node &node = this->nodes[index];
    if (node.core == nullptr)
        return std::nullopt;
    std::string const command = fmt::format("change {}{}", this->proposalCount++, std::string(padding, '.'));
    // The proposal is recorded first, because its outcome may be reported before propose() returns the index.
    node.proposals[node.core->status().lastIndex + 1] = command;
    auto const entry = node.core->propose(command, this->now);
    this->observe(index);
    return entry.ok() ? std::optional(entry->index) : std::nullopt;
}

void ReplicationCluster::startRead(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.core == nullptr)
        return;
    std::size_t const length = this->acknowledgedLength;
    auto const token = node.core->startRead(this->now);
    if (token.ok())
        node.reads[*token] = length;
    this->observe(index);
}

std::optional<std::size_t> ReplicationCluster::leader() const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node const &node = this->nodes[index];
        if (node.core != nullptr && node.status.role == ReplicaRole::Leader
            && (!best || node.status.term > this->nodes[*best].status.term))
            best = index;
    }
    return best;
}

bool ReplicationCluster::waitUntil(std::function<bool()> const &condition)
{
    for (Timestamp const end = this->now + maxWait; this->now < end && !condition();)
        this->run(tickInterval);
    return condition();
}

std::size_t ReplicationCluster::waitForLeader()
{
    this->require(this->waitUntil([this] { return this->leader().has_value(); }),
                  "no leader was elected in time");
    return this->leader().value_or(0);
}

bool ReplicationCluster::commitOne()
{
    for (Timestamp const end = this->now + maxWait; this->now < end;) {
        std::size_t const before = this->acknowledged.size();
        this->propose(this->waitForLeader());
        this->run(2s);
        if (this->acknowledged.size() > before)
            return true;
    }
    return false;
}

bool ReplicationCluster::hasConverged() const
{
    return std::ranges::all_of(this->nodes, [this](Node const &node) {
        return node.core != nullptr && node.status.standing == ReplicaStanding::Voter
            && node.commands == this->committed && node.status.voters.size() == this->nodes.size();
    });
}

bool ReplicationCluster::hasMajorityWithout(std::vector<Replica> const &voters, std::size_t lostIndex) const
{
    auto const present = std::ranges::count_if(voters, [&](Replica const &voter) {
        std::size_t const index = this->indexOf(voter.instance);
        return index != lostIndex && this->nodes[index].status.self.id == voter.id;
    });
    return voters.empty() || static_cast<std::size_t>(present) >= voters.size() / 2 + 1;
}

bool ReplicationCluster::canLoseDisk(std::size_t index) const
{
    auto const newest = std::ranges::max_element(this->nodes, {}, [](Node const &node) {
        return std::pair(node.status.commitIndex, node.status.lastIndex);
    });
    return this->hasMajorityWithout(newest->status.voters, index)
        && this->hasMajorityWithout(newest->status.committedVoters, index);
}

bool ReplicationCluster::hasReported(Event event) const
{
    return std::ranges::any_of(this->nodes, [event](Node const &node) {
        return std::ranges::find(node.events, event) != node.events.end();
    });
}

} // namespace almondwing
