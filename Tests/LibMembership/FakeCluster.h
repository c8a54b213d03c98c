// Several membership controllers on a simulated network that drops, delays, duplicates and blocks messages,
// in simulated time.

#pragma once

#include <LibMembership/MembershipController.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

struct LinkFaults
{
    double loss = 0;
    double duplication = 0;
    Duration minDelay = 500us;
    Duration maxDelay = 2ms;

    friend bool operator==(LinkFaults const &, LinkFaults const &) = default;
};

struct FakeInstance
{
    MemberRecord self;
    std::unique_ptr<Blackboard> blackboard;
    std::unique_ptr<MembershipController> controller;
    bool isRunning = false;
    bool isPaused = false;
    std::vector<std::pair<Event, std::string>> events;
    // The highest versions seen on the blackboard of this process, to detect versions that decrease.
    std::map<InstanceId, std::pair<std::uint64_t, MemberState>> memberVersions;
    std::map<TargetId, TargetSequence> targetVersions;
};

class FakeCluster
{
public:
    // Returns whether messages in this direction are dropped.
    using LinkFilter = std::function<bool(std::size_t from, std::size_t to)>;

    FakeCluster(std::size_t instanceCount, std::size_t domainCount, std::uint64_t seed,
                MembershipSettings clusterSettings = {});
    FakeCluster(FakeCluster const &) = delete; // The hooks of the controllers refer to this object.
    FakeCluster &operator=(FakeCluster const &) = delete;

    void startAll();
    // Starts a new process of the instance with empty state and a higher incarnation.
    void start(std::size_t instance);
    void stop(std::size_t instance);
    void run(Duration duration);

    // Writes a target record to the instance's blackboard and queues it, as its target controller does.
    void writeTarget(std::size_t instance, TargetRecord const &target);

    bool sees(std::size_t observer, std::size_t subject, MemberState state) const;
    // Returns whether every running instance sees exactly the running ones as alive and all hold equal
    // records.
    bool isConverged() const;
    std::size_t countEvents(Event event) const;

    std::vector<FakeInstance> instances;
    LinkFaults faults;
    bool isFetchPossible = true; // Whether records can be fetched over HTTP.
    LinkFilter isBlocked = [](std::size_t, std::size_t) { return false; };
    // Called after each step of 100 ms.
    std::function<void()> afterStep = [] {};
    Timestamp now = Timestamp(1000s);
    std::size_t versionRegressions = 0;
    std::size_t maxRecordBytes = 0;

private:
    struct Delivery
    {
        std::size_t from = 0;
        std::size_t to = 0;
        PeerMessage message;
    };

    std::size_t indexOf(InstanceId instance) const { return this->indices.at(instance); }
    void send(std::size_t from, InstanceId to, PeerMessage const &message);
    void deliver(Delivery const &delivery);
    void deliverUntil(Timestamp end);
    void fetchRecords(std::size_t instance);
    void checkVersions(FakeInstance &instance);
    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    MembershipSettings settings;
    std::mt19937_64 random;
    std::map<InstanceId, std::size_t> indices;
    std::multimap<Timestamp, Delivery> inFlight;
};

} // namespace almondwing
