// A simulated cluster of several request controllers. A fake network loses, delays, duplicates and reorders
// their messages, fake targets count the runs of each request, and fake callers resend. Time is simulated.

#pragma once

#include <LibRequests/RequestController.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

struct FaultRates
{
    unsigned lostPercent = 0;
    unsigned duplicatedPercent = 0;
    unsigned shedPercent = 0;
    Duration maxDelay = 20ms;
    Duration maxViewDelay = 0ms; // Each instance gets a new view after a random delay of up to this.
};

// A target with one endpoint. It belongs to the failure domain with the same index.
struct FakeTarget
{
    enum class TryState : std::uint8_t { Running, Answered, Shed, Ended };
    TargetId id;
    Endpoint endpoint;
    std::string domain;
    std::uint32_t slots = 2;
    std::uint64_t startMark = 1;
    bool isUp = true;
    TargetState state = TargetState::Warm;
    std::map<std::pair<RequestKey, std::uint64_t>, TryState> tries{};
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
};

struct FakeInstance
{
    InstanceId id;
    std::string domain;
    std::unique_ptr<Blackboard> board{};
    std::unique_ptr<RequestController> controller{};
    bool isAlive = true;
    bool isPaused = false;
    bool isDeclaredDead = false;
    bool isLeaving = false;
    unsigned incarnation = 0;
    std::vector<std::function<void()>> inbox{}; // Messages that arrived while the instance was paused.
    std::set<TargetId> dispatchedTargets{};
};

struct FakeCaller
{
    Request request;
    Timestamp deadline;
    RequestOutcome outcome = RequestOutcome::None;
    Reason reason = Reason::None;
    std::map<std::uint64_t, std::map<std::uint32_t, AnswerPart>> parts{}; // By try.
    std::set<std::pair<InstanceId, unsigned>> refusedBy{}; // Instances that sent NotRun.
};

class FakeCluster
{
public:
    FakeCluster(std::uint64_t seed, FaultRates faultRates, std::vector<std::size_t> instancesPerDomain,
                RequestSettings settingsInUse = {});

    // Sends a request to a random instance, and resends it the same way every 400 ms until it has an outcome.
    RequestKey send(RequestClass requestClass, Idempotency idempotency, Duration timeLeft);
    void sendOnce(RequestKey key, std::uint32_t attempt);
    void run(Duration duration);
    void schedule(Duration delay, std::function<void()> action);

    void kill(std::size_t index); // Loses the blackboard. The instance is declared dead 3 s later.
    void restart(std::size_t index);
    void stop(std::size_t index); // A planned stop; the instance keeps running until it is idle.
    void pause(std::size_t index, Duration duration);
    void restartTarget(std::size_t index);
    void moveBuckets(); // Assigns every bucket to the other target.
    void isolate(std::size_t index, Duration duration);

    // Describes the first invariant that is violated, or returns an empty string.
    std::string firstViolation() const;

    FakeCaller const &caller(RequestKey key) const { return this->callers.at(key); }
    unsigned runsOf(RequestKey key) const;
    std::size_t countOutcomes(RequestOutcome outcome) const;
    FakeInstance &dispatcherOf(std::size_t target);
    std::uint64_t randomBelow(std::uint64_t bound) { return this->engine() % bound; }

    static std::string answerText(RequestKey key, std::uint64_t tryId, std::uint32_t part);

    std::vector<FakeTarget> targets;
    std::vector<FakeInstance> instances;
    std::vector<std::string> violations;
    ServiceId service = ServiceId::fromName("desk");
    Timestamp now{1000s};
    std::map<RequestKey, unsigned> runCounts;
    Duration maxServiceTime = 300ms;

private:
    void start(FakeInstance &instance);
    void tickRepeatedly(InstanceId id, unsigned incarnation);
    void transmit(std::function<void()> deliver);
    void deliver(std::size_t index, std::function<void()> handle);
    void refreshViews();
    void applyView(std::size_t index);
    RoutingView buildView(FakeInstance const &instance) const;
    void broadcastClaims();
    void route(FakeInstance &at, Forwarded forwarded);
    void forwardToCandidate(FakeInstance &at, Forwarded forwarded);
    void handlePeer(FakeInstance &at, InstanceId from, PeerMessage const &message);
    void handleCallerReply(FakeInstance const &from, unsigned incarnation, CallerReply const &reply);
    void handleTargetCommand(FakeTarget &target, InstanceId from, TargetCommand const &command);
    void runTry(FakeTarget &target, InstanceId from, RunRequest const &run);
    void sendAnswer(FakeTarget const &target, InstanceId to, RequestKey key, std::uint64_t tryId,
                    std::vector<std::uint32_t> const &parts);
    void sendToDispatcher(FakeTarget const &target, InstanceId to, RequestTargetMessage const &message);
    FakeInstance &find(InstanceId id);
    void resendUntilOutcome(RequestKey key, std::uint32_t attempt);

    std::mt19937_64 engine;
    FaultRates faults;
    RequestSettings settings;
    std::multimap<Timestamp, std::function<void()>> events;
    std::map<RequestKey, FakeCaller> callers;
    std::set<std::size_t> isolated;
    bool areBucketsMoved = false;
    std::uint64_t lastNumber = 0;
};

} // namespace almondwing
