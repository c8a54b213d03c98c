// Implements the replica of the log.

#include <LibNode/ReplicatedLog.h>

#include <LibReplication/FileStorage.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <random>
#include <utility>

namespace almondwing {

namespace {

std::uint64_t randomNumber()
{
    thread_local std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

ReplicatedLog::ReplicatedLog(IoRuntime &ioRuntime, ReplicatedLogSettings logSettings,
                             ReplicatedLogHooks logHooks)
    : runtime(ioRuntime), settings(std::move(logSettings)), hooks(std::move(logHooks)), queue(ioRuntime)
{
}

void ReplicatedLog::start()
{
    this->queue.post([this] { this->open(); });
    this->runtime.runEvery(this->settings.tickInterval,
                           [this] { this->queue.post([this] { this->tick(); }); });
}

ReplicationHooks ReplicatedLog::coreHooks()
{
    return ReplicationHooks{
        .send = this->hooks.send,
        .apply = this->hooks.apply,
        .restore = this->hooks.restore,
        .takeSnapshot = this->hooks.takeSnapshot,
        .resolveProposal = [this](LogIndex index,
                                  ProposalOutcome outcome) { this->resolveProposal(index, outcome); },
        .resolveRead =
            [this](ReadToken token, absl::Status const &status) {
                auto waiting = this->reads.extract(token);
                if (!waiting.empty())
                    this->answer(std::move(waiting.mapped()), status);
            },
        .knownInstances = this->hooks.knownInstances,
        .mayBootstrap = this->hooks.mayBootstrap,
        .random = randomNumber,
        .report = this->hooks.report};
}

// After a failed write it is unknown what reached the disk, so the replica restarts from the data that can be
// read.
void ReplicatedLog::open()
{
    this->core.reset();
    this->nextOpen = IoRuntime::now() + this->settings.reopenInterval;
    auto disk = openFolderDisk(this->settings.dataFolder);
    if (!disk.ok()) {
        this->openFailure = disk.status();
        this->hooks.report(Event::ReplicaStorageRefused, std::string(disk.status().message()));
        return;
    }
    auto const storage =
        FileStorage::open(*std::move(disk), this->settings.instance, randomNumber, this->hooks.report);
    if (!storage.ok()) {
        this->openFailure = storage.status();
        this->hooks.report(Event::ReplicaStorageRefused, std::string(storage.status().message()));
        return;
    }
    this->hooks.reset();
    this->core.emplace(this->settings.replication, (*storage)->loaded(), (*storage)->hooks(),
                       this->coreHooks(), IoRuntime::now());
    this->publish();
}

void ReplicatedLog::tick()
{
    Timestamp const now = IoRuntime::now();
    bool const hasFailed = !this->core || this->core->status().role == ReplicaRole::Failed;
    if (hasFailed && now >= this->nextOpen)
        this->open();
    if (!this->core)
        return;
    this->core->tick(now);
    this->publish();
}

void ReplicatedLog::publish()
{
    Timestamp const now = IoRuntime::now();
    LogContact next{.status = this->core->status(), .isInContact = this->core->isInContact(now)};
    if (next != *this->published.read()) {
        LogIndex const applied = next.status.appliedIndex;
        this->published.update([&next](LogContact const &) { return next; });
        this->hooks.publish(applied);
    }
    this->contactCheckedAt = now;
    for (auto const &sendAnswer : std::exchange(this->pendingAnswers, {}))
        sendAnswer();
}

// A majority may elect another leader once it has not heard of the present one for the minimum election
// timeout.
bool ReplicatedLog::isInContact(Timestamp now) const
{
    return this->published.read()->isInContact
        && now - this->contactCheckedAt.load() < this->settings.replication.minElectionTimeout;
}

void ReplicatedLog::answer(std::function<void(absl::Status const &)> result, absl::Status status)
{
    this->pendingAnswers.emplace_back(
        [result = std::move(result), status = std::move(status)] { result(status); });
}

absl::Status ReplicatedLog::notOpenError() const
{
    return absl::FailedPreconditionError(
        fmt::format("the data folder can't be used: {}", std::string(this->openFailure.message())));
}

void ReplicatedLog::runOnQueue(std::function<void(ReplicationCore &)> work)
{
    this->queue.post([this, work = std::move(work)] {
        if (!this->core)
            return;
        work(*this->core);
        this->publish();
    });
}

void ReplicatedLog::propose(std::string payload, std::function<void(absl::Status const &)> result)
{
    this->queue.post([this, payload = std::move(payload), result = std::move(result)] {
        if (!this->core) {
            result(this->notOpenError());
            return;
        }
        auto const proposed = this->core->propose(payload, IoRuntime::now());
        if (!proposed.ok()) {
            result(proposed.status());
            return;
        }
        // A single voter commits inside propose().
        if (this->core->status().appliedIndex >= proposed->index)
            this->answer(result, absl::OkStatus());
        else
            this->proposals.insert_or_assign(proposed->index, result);
        this->publish();
    });
}

void ReplicatedLog::resolveProposal(LogIndex index, ProposalOutcome outcome)
{
    auto waiting = this->proposals.extract(index);
    if (waiting.empty())
        return;
    this->answer(
        std::move(waiting.mapped()),
        outcome == ProposalOutcome::Committed
            ? absl::OkStatus()
            : absl::UnknownError("the leader lost its majority or its disk before the entry was committed"));
}

void ReplicatedLog::confirmRead(std::function<void(absl::Status const &)> result)
{
    this->queue.post([this, result = std::move(result)] {
        if (!this->core) {
            result(this->notOpenError());
            return;
        }
        auto const token = this->core->startRead(IoRuntime::now());
        if (!token.ok()) {
            result(token.status());
            return;
        }
        // A single voter confirms inside the call.
        if (this->core->status().voters.size() <= 1)
            result(absl::OkStatus());
        else
            this->reads.insert_or_assign(*token, result);
    });
}

void ReplicatedLog::handleMessage(ReplicaEnvelope envelope)
{
    this->runOnQueue([envelope = std::move(envelope)](ReplicationCore &replica) {
        replica.handleMessage(envelope, IoRuntime::now());
    });
}

void ReplicatedLog::stepDown()
{
    this->runOnQueue([](ReplicationCore &replica) { replica.stepDown(IoRuntime::now()); });
}

} // namespace almondwing
