// Implements the faults and planned changes of the fake cluster.

#include "FakeCluster.h"

#include <utility>

namespace almondwing {

namespace {

constexpr Duration detectionTime = 3s;
// Longer than RequestSettings::minTargetRestartTime.
constexpr Duration targetRestartTime = 1200ms;

} // namespace

void FakeCluster::kill(std::size_t index)
{
    FakeInstance &instance = this->instances[index];
    if (!instance.isAlive)
        return;
    instance.isAlive = false;
    instance.inbox.clear();
    this->schedule(detectionTime, [this, index] {
        if (this->instances[index].isAlive)
            return;
        this->instances[index].isDeclaredDead = true;
        this->refreshViews();
    });
}

void FakeCluster::restart(std::size_t index)
{
    FakeInstance &instance = this->instances[index];
    if (instance.isAlive)
        return;
    instance.isPaused = false;
    instance.isDeclaredDead = false;
    this->start(instance);
    this->applyView(index);
    this->refreshViews();
}

void FakeCluster::stop(std::size_t index)
{
    this->instances[index].isLeaving = true;
    this->instances[index].controller->beginStop(this->now);
    this->refreshViews();
}

void FakeCluster::pause(std::size_t index, Duration duration)
{
    FakeInstance &instance = this->instances[index];
    if (!instance.isAlive || instance.isPaused)
        return;
    instance.isPaused = true;
    unsigned const incarnation = instance.incarnation;
    if (duration > detectionTime)
        this->schedule(detectionTime, [=, this] {
            FakeInstance &missing = this->instances[index];
            if (!missing.isPaused || missing.incarnation != incarnation)
                return;
            missing.isDeclaredDead = true;
            this->refreshViews();
        });
    this->schedule(duration, [=, this] {
        FakeInstance &resumed = this->instances[index];
        if (!resumed.isAlive || resumed.incarnation != incarnation)
            return;
        resumed.isPaused = false;
        auto const setLease = [](FakeInstance &holder, LeaseState lease) {
            holder.board->ownStatus.update([&](OwnStatus status) {
                status.lease = lease;
                return status;
            });
        };
        // An instance that detects that it was paused for more than 1 s gives up its lease before it
        // continues.
        bool const losesLease = duration > 1s;
        if (losesLease) {
            setLease(resumed, LeaseState::Expired);
            resumed.dispatchedTargets.clear();
        }
        for (auto const &handle : std::exchange(resumed.inbox, {}))
            handle();
        if (!losesLease)
            return;
        this->schedule(500ms, [=, this] {
            FakeInstance &returning = this->instances[index];
            if (!returning.isAlive || returning.incarnation != incarnation)
                return;
            returning.isDeclaredDead = false;
            returning.dispatchedTargets.clear();
            this->applyView(index);
            setLease(returning, LeaseState::Held);
            this->refreshViews();
        });
    });
}

void FakeCluster::restartTarget(std::size_t index)
{
    FakeTarget &target = this->targets[index];
    if (!target.isUp)
        return;
    target.isUp = false;
    target.running = 0;
    target.tries.clear();
    this->schedule(targetRestartTime, [this, index] {
        this->targets[index].isUp = true;
        ++this->targets[index].startMark;
        this->refreshViews();
    });
}

void FakeCluster::moveBuckets()
{
    this->areBucketsMoved = !this->areBucketsMoved;
    this->refreshViews();
    for (Duration delay = 50ms; delay < 2s; delay += 100ms)
        this->schedule(delay, [this] { this->broadcastClaims(); });
}

void FakeCluster::isolate(std::size_t index, Duration duration)
{
    this->isolated.insert(index);
    this->schedule(duration, [this, index] { this->isolated.erase(index); });
}

} // namespace almondwing
