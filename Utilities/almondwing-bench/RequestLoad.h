// A cluster with target stand-ins in simulated time. Requests arrive in an open loop: their rate does not
// depend on the answers.

#pragma once

#include "InstanceCluster.h"
#include "RequestLedger.h"

#include <LibStandIns/TargetModel.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondwing {

// The properties of the requests of one class. Their service time at a target is constant.
struct WorkClass
{
    Duration serviceTime{};
    Duration deadline{};
    std::size_t answerSize = 0; // In bytes, sent in parts of answerPartBytes.
    double nonIdempotentShare = 0;

    friend bool operator==(WorkClass const &, WorkClass const &) = default;
};

// Indexed by RequestClass.
constexpr std::array<WorkClass, requestClassCount> workClasses{
    WorkClass{.serviceTime = 20ms, .deadline = 500ms, .answerSize = 200, .nonIdempotentShare = 0.5},
    WorkClass{.serviceTime = 60ms, .deadline = 1s, .answerSize = 800, .nonIdempotentShare = 0.5},
    WorkClass{.serviceTime = 400ms, .deadline = 5s, .answerSize = 30'000, .nonIdempotentShare = 0},
};

constexpr std::uint32_t slotsPerTarget = 2;

// Arrivals per second, indexed by RequestClass.
using ArrivalRates = std::array<double, requestClassCount>;

enum class Limits : std::uint8_t {
    Applied,
    Off, // All requests have one class, queues are unbounded, and no request is refused early.
};

class RequestLoad
{
public:
    RequestLoad(std::uint64_t seed, std::vector<std::string> const &domains, std::size_t instancesPerDomain,
                Limits limits);
    RequestLoad(RequestLoad const &) = delete; // The hooks refer to this object.
    RequestLoad &operator=(RequestLoad const &) = delete;

    // Adds a target that is cold for the first 5 s.
    void addTarget(std::string const &name, std::string const &domain);
    // Makes the target shed all new work for the given time.
    void shedFor(std::string const &name, Duration time);

    void run(Duration duration, ArrivalRates const &rates);
    bool areAllWarm() const;
    void schedule(Duration delay, std::function<void()> action);

    InstanceCluster &instances() { return *this->cluster; }
    RequestLedger const &requestLedger() const { return this->ledger; }
    std::size_t resends() const { return this->resentCount; }
    void resetResends() { this->resentCount = 0; }

private:
    void sendRequest(RequestClass requestClass);
    void resend(Request request);
    void scheduleArrival(std::size_t requestClass);
    void advance(Timestamp time);
    void handleAtTarget(std::size_t sender, std::string const &target, TargetCommand const &command);

    Limits limits;
    std::mt19937_64 random;
    RequestLedger ledger;
    std::unique_ptr<InstanceCluster> cluster;
    std::map<std::string, std::unique_ptr<TargetModel>> models;
    std::multimap<Timestamp, std::function<void()>> events;
    ArrivalRates rates{};
    // Incremented when the rates change; arrival events of older generations are ignored.
    std::array<std::uint64_t, requestClassCount> arrivalGenerations{};
    Timestamp nextBulkPartAt = Timestamp::max(); // When an instance may send its next part of a bulk answer.
    std::uint64_t lastNumber = 0;
    std::size_t resentCount = 0;
};

} // namespace almondwing
