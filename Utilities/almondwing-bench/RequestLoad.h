// A cluster with target stand-ins and an open-loop arrival of requests, in simulated time.

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

// One class of work; its service time at a target is fixed.
struct WorkClass
{
    Duration serviceTime{};
    Duration deadline{};
    std::size_t answerSize = 0; // In parts of answerPartBytes.
    double nonIdempotentShare = 0;

    friend bool operator==(WorkClass const &, WorkClass const &) = default;
};

// By RequestClass.
constexpr std::array<WorkClass, requestClassCount> workClasses{
    WorkClass{.serviceTime = 20ms, .deadline = 500ms, .answerSize = 200, .nonIdempotentShare = 0.5},
    WorkClass{.serviceTime = 60ms, .deadline = 1s, .answerSize = 800, .nonIdempotentShare = 0.5},
    WorkClass{.serviceTime = 400ms, .deadline = 5s, .answerSize = 30'000, .nonIdempotentShare = 0},
};

constexpr std::uint32_t slotsOfTarget = 2;

// Arrivals a second, by RequestClass.
using ArrivalRates = std::array<double, requestClassCount>;

enum class Limits : std::uint8_t {
    Applied,
    Off, // One class for all, unbounded queues, no early refusal.
};

class RequestLoad
{
public:
    RequestLoad(std::uint64_t seed, std::vector<std::string> const &domains, std::size_t instancesPerDomain,
                Limits limits);
    RequestLoad(RequestLoad const &) = delete; // The hooks refer to this object.
    RequestLoad &operator=(RequestLoad const &) = delete;

    // The target is cold for `coldTime` from now on.
    void addTarget(std::string const &name, std::string const &domain);
    // The target sheds all new work for the given time.
    void shedAt(std::string const &name, Duration time);

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
    void planArrival(std::size_t requestClass);
    void advance(Timestamp time);
    void handleAtTarget(std::size_t sender, std::string const &target, TargetCommand const &command);

    Limits limits;
    std::mt19937_64 random;
    RequestLedger ledger;
    std::unique_ptr<InstanceCluster> cluster;
    std::map<std::string, std::unique_ptr<TargetModel>> models;
    std::multimap<Timestamp, std::function<void()>> events;
    ArrivalRates rates{};
    std::array<std::uint64_t, requestClassCount> arrivalPlans{}; // Events of older plans are void.
    Timestamp bulkPartsAt = Timestamp::max(); // When the next one may be sent.
    std::uint64_t lastNumber = 0;
    std::size_t resentCount = 0;
};

} // namespace almondwing
