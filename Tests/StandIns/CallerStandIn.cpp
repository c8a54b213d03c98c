// caller-stand-in: a client that opens flows and sends requests through the fabric, and checks every byte
// that it receives. It prints a JSON summary at the end; exit code 0 means that every request was
// answered or got NotRun or OutcomeUnknown, and no byte was wrong.

#include <LibStandIns/CallerFlows.h>
#include <LibStandIns/CallerRequests.h>
#include <LibStandIns/CallerSummary.h>
#include <LibStandIns/EventLoop.h>
#include <LibStandIns/SharedRandom.h>
#include <LibStandIns/StandInUdpSocket.h>
#include <LibWire/WireCodec.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <random>

namespace almondwing {

namespace {

constexpr std::size_t threadCount = 2;
constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};

// Leaves time to send the last CloseFlow messages.
constexpr Duration closeDelay = 100ms;

std::map<std::string, RequestClass> const requestClasses{{"urgent", RequestClass::Urgent},
                                                         {"interactive", RequestClass::Interactive},
                                                         {"bulk", RequestClass::Bulk}};

struct Options
{
    std::string cluster = "almondwing";
    std::string serviceName;
    std::string serviceAddress;
    std::string outcomes;
    std::uint64_t seed = 0; // 0 chooses a random seed.
    bool isNonIdempotent = false;
    bool isReplacingFailedFlows = false;
    std::int64_t flowIntervalMs = 1000;
    std::int64_t flowDurationMs = 10'000;
    std::int64_t silenceTimeoutMs = 30'000;
    std::int64_t sleepMs = 10;
    std::int64_t deadlineMs = 5000;
    std::int64_t resendAfterMs = 1000;
    std::int64_t gracePeriodMs = 2000;
    std::int64_t cancelAfterMs = 0;
    CallerPlan plan;
};

// Appends one JSON line for each request when it ends.
class OutcomeFile
{
public:
    explicit OutcomeFile(std::string const &path)
    {
        if (!path.empty())
            this->file.open(path, std::ios::app);
    }

    bool isUsable() const { return this->file.good(); }

    void append(std::string const &line)
    {
        std::scoped_lock const lock(this->mutex);
        if (this->file.is_open())
            this->file << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file; // Guarded by the mutex.
};

class Caller
{
public:
    Caller(EventLoop &eventLoop, Options const &callerOptions, Endpoint serviceAddress,
           OutcomeFile &outcomeFile)
        : loop(eventLoop), plan(callerOptions.plan), serviceEndpoint(serviceAddress), outcomes(outcomeFile),
          codec(WireCodec::forCluster(callerOptions.cluster)), random(makeSharedRandom(callerOptions.seed)),
          hooks(this->makeHooks()), flows(this->blackboard, this->plan, this->hooks),
          requests(this->blackboard, this->plan, this->hooks)
    {
    }

    absl::Status open()
    {
        for (std::size_t index = 0; index < this->plan.socketCount; ++index) {
            auto socket = StandInUdpSocket::open(
                this->loop, anyLoopbackPort,
                [this](Endpoint, std::string_view datagram) { this->receive(datagram); });
            if (!socket.ok())
                return socket.status();
            this->sockets.push_back(*socket);
        }
        return absl::OkStatus();
    }

    void start()
    {
        this->flows.start();
        Duration const flowDuration = this->plan.flows > 0 ? this->plan.flowDuration : Duration{};
        this->loop.schedule(flowDuration, [this] { this->finishWorkload(); });
        this->requests.start();
    }

    std::string readyLine() const
    {
        std::string list;
        for (auto const &socket : this->sockets)
            list += fmt::format(R"({}"{}")", list.empty() ? "" : ",", socket->localEndpoint().toString());
        return fmt::format(R"({{"ready":true,"callerId":{},"ports":[{}]}})", this->plan.callerId, list);
    }

    std::string summary() const { return summaryJson(this->blackboard, this->plan); }

    Verdict verdict() const { return callerVerdict(this->blackboard, this->plan); }

private:
    CallerHooks makeHooks()
    {
        return {.send = [this](std::size_t socketIndex,
                               CallerMessage const &message) { this->send(socketIndex, message); },
                .schedule =
                    [this](Duration delay, std::function<void()> action) {
                        this->loop.schedule(delay, std::move(action));
                    },
                .random = this->random,
                .now = [] { return EventLoop::now(); },
                .requestEnded =
                    [this](RequestKey const &key, CallerRequest const &request) {
                        this->outcomes.append(outcomeJson(key, request, this->plan.idempotency));
                    },
                .allRequestsEnded = [this] { this->finishWorkload(); }};
    }

    void send(std::size_t socketIndex, CallerMessage const &message)
    {
        auto datagram = this->codec.encode(message);
        if (datagram.ok())
            this->sockets[socketIndex]->send(this->serviceEndpoint, std::move(*datagram));
        else
            std::cerr << "can't encode a message: " << datagram.status().message() << '\n';
    }

    void receive(std::string_view datagram)
    {
        auto const reply = this->codec.decodeCallerReply(datagram);
        if (!reply.ok()) {
            std::cerr << "can't decode a packet: " << reply.status().message() << '\n';
            return;
        }
        Timestamp const now = EventLoop::now();
        this->flows.handle(now, *reply);
        this->requests.handle(now, *reply);
    }

    // Called once for the flows and once for the requests; the program ends with the later of the two.
    void finishWorkload()
    {
        if (--this->activeWorkloads > 0)
            return;
        this->flows.closeAll();
        this->loop.schedule(closeDelay, [this] { this->loop.stop(); });
    }

    EventLoop &loop;
    CallerPlan const &plan;
    Endpoint serviceEndpoint;
    OutcomeFile &outcomes;
    WireCodec codec;
    RandomSource random;
    CallerBlackboard blackboard;
    CallerHooks hooks;
    CallerFlows flows;
    CallerRequests requests;
    std::vector<std::shared_ptr<StandInUdpSocket>> sockets; // Complete before the event loop runs.
    std::atomic<int> activeWorkloads = 2;
};

void addFlowOptions(CLI::App &app, Options &options)
{
    CallerPlan &plan = options.plan;
    app.add_option("--flows", plan.flows, "Flows to open");
    app.add_option("--flow-rate", plan.flowRate, "Flows opened per second")->check(CLI::PositiveNumber);
    app.add_option("--interval-ms", options.flowIntervalMs, "Time between two packets of a flow")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--flows-for-ms", options.flowDurationMs, "Time after which the flows are closed")
        ->check(CLI::Range(0, 86'400'000));
    app.add_option("--silent-after-ms", options.silenceTimeoutMs,
                   "Time without a packet after which a flow is silent")
        ->check(CLI::Range(1, 86'400'000));
    app.add_option("--flow-bytes", plan.flowBytes, "Payload size of each packet")
        ->check(CLI::Range(std::size_t{0}, maxMessagePayloadBytes));
    app.add_flag("--reopen", options.isReplacingFailedFlows,
                 "Replace flows that were refused, broken, silent or unanswered");
}

void addRequestOptions(CLI::App &app, Options &options)
{
    CallerPlan &plan = options.plan;
    app.add_option("--requests", plan.requests, "Requests to send");
    app.add_option("--rate", plan.requestRate, "Requests per second; 0: start one when another ends");
    app.add_option("--concurrency", plan.concurrency, "Number of concurrent requests if --rate is 0")
        ->check(CLI::PositiveNumber);
    app.add_option("--class", plan.requestClass, "urgent, interactive or bulk")
        ->transform(CLI::CheckedTransformer(requestClasses));
    app.add_flag("--non-idempotent", options.isNonIdempotent, "The requests must not run twice");
    app.add_option("--sleep-ms", options.sleepMs, "Service time of a run")->check(CLI::Range(0, 3'600'000));
    app.add_option("--size", plan.runParameters.answerSize, "Size of each answer in bytes")
        ->check(CLI::Range(std::size_t{0}, std::size_t{64U << 20U}));
    app.add_option("--deadline-ms", options.deadlineMs, "Deadline of each request")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--resend-after-ms", options.resendAfterMs, "Time without progress before a resend")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--cancel-after-ms", options.cancelAfterMs,
                   "Cancel requests still pending after this time; 0: never")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--grace-ms", options.gracePeriodMs, "Time after the deadline in which an outcome counts")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--caller-id", plan.callerId, "Caller id in the request keys; 0: random");
    app.add_option("--outcomes", options.outcomes, "File to which a line is appended for each ended request");
}

void addOptions(CLI::App &app, Options &options)
{
    app.add_option("--cluster", options.cluster, "Name of the cluster, part of every datagram");
    app.add_option("--service-name", options.serviceName, "Name of the service")->required();
    app.add_option("--service", options.serviceAddress, "Address of the service")->required();
    app.add_option("--ports", options.plan.socketCount, "UDP sockets to spread flows and requests over")
        ->check(CLI::Range(1, 500));
    app.add_option("--seed", options.seed, "Seed of the flow numbers and the caller id; 0: random");
    addFlowOptions(app, options);
    addRequestOptions(app, options);
}

void completePlan(Options &options)
{
    std::random_device device;
    if (options.seed == 0)
        options.seed = combineHashes(device(), device());
    CallerPlan &plan = options.plan;
    plan.service = ServiceId::fromName(options.serviceName);
    plan.callerId = plan.callerId == 0 ? mixBits(options.seed) : plan.callerId;
    plan.idempotency = options.isNonIdempotent ? Idempotency::NonIdempotent : Idempotency::Idempotent;
    plan.replacePolicy = options.isReplacingFailedFlows ? ReplacePolicy::ReplaceFailed : ReplacePolicy::Never;
    plan.flowInterval = std::chrono::milliseconds(options.flowIntervalMs);
    plan.flowDuration = std::chrono::milliseconds(options.flowDurationMs);
    plan.silenceTimeout = std::chrono::milliseconds(options.silenceTimeoutMs);
    plan.runParameters.serviceTime = std::chrono::milliseconds(options.sleepMs);
    plan.deadline = std::chrono::milliseconds(options.deadlineMs);
    plan.resendAfter = std::chrono::milliseconds(options.resendAfterMs);
    plan.cancelAfter = std::chrono::milliseconds(options.cancelAfterMs);
    plan.gracePeriod = std::chrono::milliseconds(options.gracePeriodMs);
}

int runCaller(Options &options)
{
    completePlan(options);
    auto const serviceEndpoint = Endpoint::parse(options.serviceAddress);
    if (!serviceEndpoint.ok())
        throw CLI::ValidationError(std::string(serviceEndpoint.status().message()));
    OutcomeFile outcomes(options.outcomes);
    if (!outcomes.isUsable()) {
        std::cerr << "can't open the outcome file " << options.outcomes << '\n';
        return EXIT_FAILURE;
    }
    EventLoop loop;
    Caller caller(loop, options, *serviceEndpoint, outcomes);
    if (absl::Status const status = caller.open(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << caller.readyLine() << std::endl;
    caller.start();
    loop.run(threadCount);
    std::cout << caller.summary() << std::endl;
    return caller.verdict() == Verdict::Passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace almondwing

int main(int argc, char **argv)
{
    CLI::App app("Simulates a client that uses a service through the fabric.");
    almondwing::Options options;
    almondwing::addOptions(app, options);
    try {
        app.parse(argc, argv);
        return almondwing::runCaller(options);
    } catch (CLI::ParseError const &error) {
        return app.exit(error);
    }
}
