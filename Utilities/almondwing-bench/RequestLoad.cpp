// Implements the cluster under request load.

#include "RequestLoad.h"

#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace almondwing {

namespace {

constexpr Duration coldTime = 5s;
constexpr std::uint32_t callerCount = 1'000;
// Share of the requests that callers send again if they have no outcome after half of the deadline.
constexpr double resendShare = 0.02;
constexpr Endpoint firstCaller{.address = 0x7f000001, .port = 2'000};

RequestSettings settingsFor(Limits limits)
{
    RequestSettings settings;
    if (limits == Limits::Applied)
        return settings;
    settings.maxQueueLength = std::numeric_limits<std::size_t>::max();
    settings.maxActiveRequests = std::numeric_limits<std::size_t>::max();
    settings.deadlineChecks = DeadlineChecks::Off;
    return settings;
}

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

RequestLoad::RequestLoad(std::uint64_t seed, std::vector<std::string> const &domains,
                         std::size_t instancesPerDomain, Limits limitsInUse)
    : limits(limitsInUse), random(seed + 1),
      cluster(std::make_unique<InstanceCluster>(
          seed, domains, instancesPerDomain,
          [this](Endpoint caller, CallerReply const &reply) {
              this->ledger.handleReply(caller, reply, this->cluster->time());
          },
          [this](std::size_t sender, std::string const &target, TargetCommand const &command) {
              this->handleAtTarget(sender, target, command);
          },
          settingsFor(limitsInUse)))
{
}

void RequestLoad::schedule(Duration delay, std::function<void()> action)
{
    this->events.emplace(this->cluster->time() + delay, std::move(action));
}

void RequestLoad::addTarget(std::string const &name, std::string const &domain)
{
    this->cluster->addTarget(name, domain);
    TargetModelSettings const modelSettings{.name = name,
                                            .service = "cab-link",
                                            .failureDomain = domain,
                                            .slots = slotsPerTarget,
                                            .coldDuration = coldTime,
                                            .defaultRunParameters = {}};
    TargetHooks hooks{
        .send =
            [this, name](Endpoint instance, TargetMessage const &message) {
                this->cluster->sendFromTarget(name, instance.port, message);
            },
        .schedule = [this](Duration delay,
                           std::function<void()> action) { this->schedule(delay, std::move(action)); },
        .recordStart =
            [this](RunRequest const &request) {
                this->ledger.recordStart(request.key, this->cluster->time());
            },
        .now = [this] { return this->cluster->time(); }};
    this->models.emplace(
        name, std::make_unique<TargetModel>(modelSettings, 1, this->cluster->time(), std::move(hooks)));
}

void RequestLoad::shedFor(std::string const &name, Duration time)
{
    TargetModel &model = *this->models.at(name);
    model.control(this->cluster->time(), {{"shed", "on"}});
    this->schedule(time, [this, &model] { model.control(this->cluster->time(), {{"shed", "off"}}); });
}

bool RequestLoad::areAllWarm() const
{
    return std::ranges::all_of(this->models,
                               [&](auto const &entry) { return this->cluster->isWarm(entry.first); });
}

void RequestLoad::handleAtTarget(std::size_t sender, std::string const &target, TargetCommand const &command)
{
    if (auto const *const run = std::get_if<RunRequest>(&command))
        this->ledger.recordTry(run->key, run->tryId);
    // A target answers to the endpoint that a command comes from; here, its port is the index of the
    // instance.
    Endpoint const from{.address = 0x7f000001, .port = static_cast<std::uint16_t>(sender)};
    this->models.at(target)->handle(this->cluster->time(), from, command);
}

void RequestLoad::sendRequest(RequestClass requestClass)
{
    WorkClass const &work = workClasses[static_cast<std::size_t>(requestClass)];
    std::uint64_t const number = ++this->lastNumber;
    auto const callerIndex = static_cast<std::uint16_t>(number % callerCount);
    bool const isNonIdempotent = uniform(this->random) < work.nonIdempotentShare;
    RunParameters const runParameters{.serviceTime = work.serviceTime, .answerSize = work.answerSize};
    Request const request{
        .key = {.service = ServiceId::fromName("cab-link"), .caller = callerIndex, .number = number},
        .requestClass = this->limits == Limits::Applied ? requestClass : RequestClass::Interactive,
        .idempotency = isNonIdempotent ? Idempotency::NonIdempotent : Idempotency::Idempotent,
        .timeLeft = work.deadline,
        .payload = runParameters.toPayload()};
    Endpoint caller = firstCaller;
    caller.port = static_cast<std::uint16_t>(caller.port + callerIndex);
    Timestamp const now = this->cluster->time();
    this->ledger.issue(request.key,
                       {.requestClass = requestClass,
                        .idempotency = request.idempotency,
                        .caller = caller,
                        .arrivedAt = now,
                        .deadline = now + work.deadline,
                        .answerSize = work.answerSize});
    if (uniform(this->random) < resendShare)
        this->schedule(work.deadline / 2, [this, request] { this->resend(request); });
    this->cluster->send(caller, request);
}

void RequestLoad::resend(Request request)
{
    if (!this->ledger.isPending(request.key))
        return;
    ++this->resentCount;
    request.attempt = 2;
    request.timeLeft /= 2;
    Endpoint caller = firstCaller;
    caller.port = static_cast<std::uint16_t>(caller.port + request.key.caller);
    this->cluster->send(caller, request);
}

void RequestLoad::scheduleArrival(std::size_t requestClass)
{
    if (this->rates[requestClass] <= 0)
        return;
    double const interval = std::exponential_distribution<double>(this->rates[requestClass])(this->random);
    this->schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval)),
                   [this, requestClass, generation = this->arrivalGenerations[requestClass]] {
                       if (generation != this->arrivalGenerations[requestClass])
                           return;
                       this->scheduleArrival(requestClass);
                       this->sendRequest(static_cast<RequestClass>(requestClass));
                   });
}

// Advances to the next event, bulk part or step of the cluster, at most to `time`, and runs it.
void RequestLoad::advance(Timestamp time)
{
    Timestamp const nextEvent = this->events.empty() ? Timestamp::max() : this->events.begin()->first;
    Timestamp const next = std::min({time, nextEvent, this->nextBulkPartAt, this->cluster->nextStep()});
    this->cluster->advanceTo(next);
    if (next == nextEvent) {
        auto const action = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        action();
        this->cluster->advanceTo(next); // Delivers the messages that the action has sent.
    } else if (next == this->cluster->nextStep()) {
        this->cluster->step();
    }
    this->nextBulkPartAt = Timestamp::max();
    if (auto const nextPartAt = this->cluster->sendBulkParts())
        this->nextBulkPartAt = std::max(*nextPartAt, next + 1us);
}

void RequestLoad::run(Duration duration, ArrivalRates const &arrivalRates)
{
    Timestamp const end = this->cluster->time() + duration;
    this->rates = arrivalRates;
    for (std::size_t requestClass = 0; requestClass < requestClassCount; ++requestClass) {
        ++this->arrivalGenerations[requestClass];
        this->scheduleArrival(requestClass);
    }
    while (this->cluster->time() < end)
        this->advance(end);
}

} // namespace almondwing
