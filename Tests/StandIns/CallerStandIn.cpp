// caller-stand-in: a client that opens flows and sends requests through the fabric, and checks every byte of
// what comes back. Ends with a JSON summary; exit code 0 means that every request got a definite outcome and
// no byte was wrong.

#include <LibStandIns/CallerFlows.h>
#include <LibStandIns/CallerRequests.h>
#include <LibStandIns/CallerSummary.h>
#include <LibStandIns/EventLoop.h>
#include <LibStandIns/SharedRandom.h>
#include <LibStandIns/UdpPort.h>
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

// Lets the last CloseFlow messages leave.
constexpr Duration closingTime = 100ms;

std::map<std::string, RequestClass> const requestClasses{{"urgent", RequestClass::Urgent},
                                                         {"interactive", RequestClass::Interactive},
                                                         {"bulk", RequestClass::Bulk}};

struct Options
{
    std::string cluster = "almondwing";
    std::string serviceName;
    std::string service;
    std::string outcomes;
    std::uint64_t seed = 0; // 0 picks one at random.
    bool isNonIdempotent = false;
    bool isReopening = false;
    std::int64_t flowIntervalMs = 1000;
    std::int64_t flowsForMs = 10'000;
    std::int64_t silentAfterMs = 30'000;
    std::int64_t sleepMs = 10;
    std::int64_t deadlineMs = 5000;
    std::int64_t resendAfterMs = 1000;
    std::int64_t graceMs = 2000;
    std::int64_t cancelAfterMs = 0;
    CallerPlan plan;
};

// One JSON line for each request as it ends.
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
        : loop(eventLoop), plan(callerOptions.plan), service(serviceAddress), outcomes(outcomeFile),
          codec(WireCodec::forCluster(callerOptions.cluster)), random(makeSharedRandom(callerOptions.seed)),
          hooks(this->makeHooks()), flows(this->board, this->plan, this->hooks),
          requests(this->board, this->plan, this->hooks)
    {
    }

    absl::Status open()
    {
        for (std::size_t index = 0; index < this->plan.ports; ++index) {
            auto port =
                UdpPort::open(this->loop, anyLoopbackPort,
                              [this](Endpoint, std::string_view datagram) { this->receive(datagram); });
            if (!port.ok())
                return port.status();
            this->ports.push_back(*port);
        }
        return absl::OkStatus();
    }

    void start()
    {
        this->flows.start();
        Duration const flowsFor = this->plan.flows > 0 ? this->plan.flowsFor : Duration{};
        this->loop.schedule(flowsFor, [this] { this->endPart(); });
        this->requests.start();
    }

    std::string readyLine() const
    {
        std::string list;
        for (auto const &port : this->ports)
            list += fmt::format(R"({}"{}")", list.empty() ? "" : ",", port->localEndpoint().toString());
        return fmt::format(R"({{"ready":true,"callerId":{},"ports":[{}]}})", this->plan.callerId, list);
    }

    std::string summary() const { return summaryJson(this->board, this->plan); }

    Verdict verdict() const { return judgeCaller(this->board, this->plan); }

private:
    CallerHooks makeHooks()
    {
        return {.send = [this](std::size_t port, CallerMessage const &message) { this->send(port, message); },
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
                .allRequestsEnded = [this] { this->endPart(); }};
    }

    void send(std::size_t port, CallerMessage const &message)
    {
        auto datagram = this->codec.encode(message);
        if (datagram.ok())
            this->ports[port]->send(this->service, std::move(*datagram));
        else
            std::cerr << "can't send: " << datagram.status().message() << '\n';
    }

    void receive(std::string_view datagram)
    {
        auto const reply = this->codec.decodeCallerReply(datagram);
        if (!reply.ok()) {
            std::cerr << "dropped a packet: " << reply.status().message() << '\n';
            return;
        }
        Timestamp const now = EventLoop::now();
        this->flows.handle(now, *reply);
        this->requests.handle(now, *reply);
    }

    // Flows and requests each end once; the program ends with the later one.
    void endPart()
    {
        if (--this->partsRunning > 0)
            return;
        this->flows.closeAll();
        this->loop.schedule(closingTime, [this] { this->loop.stop(); });
    }

    EventLoop &loop;
    CallerPlan const &plan;
    Endpoint service;
    OutcomeFile &outcomes;
    WireCodec codec;
    RandomSource random;
    CallerBoard board;
    CallerHooks hooks;
    CallerFlows flows;
    CallerRequests requests;
    std::vector<std::shared_ptr<UdpPort>> ports; // Complete before the event loop runs.
    std::atomic<int> partsRunning = 2;
};

void addFlowOptions(CLI::App &app, Options &options)
{
    CallerPlan &plan = options.plan;
    app.add_option("--flows", plan.flows, "Flows to open");
    app.add_option("--flow-rate", plan.flowRate, "Flows opened a second")->check(CLI::PositiveNumber);
    app.add_option("--interval-ms", options.flowIntervalMs, "Between two packets of a flow")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--flows-for-ms", options.flowsForMs, "Time after which the flows are closed")
        ->check(CLI::Range(0, 86'400'000));
    app.add_option("--silent-after-ms", options.silentAfterMs, "Time without an echo that counts as silent")
        ->check(CLI::Range(1, 86'400'000));
    app.add_option("--flow-bytes", plan.flowBytes, "Payload of each packet")
        ->check(CLI::Range(std::size_t{0}, maxMessagePayloadBytes));
    app.add_flag("--reopen", options.isReopening, "Replace flows that were refused, broken or silent");
}

void addRequestOptions(CLI::App &app, Options &options)
{
    CallerPlan &plan = options.plan;
    app.add_option("--requests", plan.requests, "Requests to send");
    app.add_option("--rate", plan.requestRate, "Requests a second; 0: the next one when one ends");
    app.add_option("--concurrency", plan.concurrency, "Requests at the same time without a rate")
        ->check(CLI::PositiveNumber);
    app.add_option("--class", plan.requestClass, "urgent, interactive or bulk")
        ->transform(CLI::CheckedTransformer(requestClasses));
    app.add_flag("--non-idempotent", options.isNonIdempotent, "The requests must not run twice");
    app.add_option("--sleep-ms", options.sleepMs, "Time that a run takes")->check(CLI::Range(0, 3'600'000));
    app.add_option("--size", plan.order.answerSize, "Bytes of each answer")
        ->check(CLI::Range(std::size_t{0}, std::size_t{64U << 20U}));
    app.add_option("--deadline-ms", options.deadlineMs, "Deadline of each request")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--resend-after-ms", options.resendAfterMs, "Time without progress before a resend")
        ->check(CLI::Range(1, 3'600'000));
    app.add_option("--cancel-after-ms", options.cancelAfterMs, "Cancel requests still pending then; 0: never")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--grace-ms", options.graceMs, "Time after its deadline in which an outcome still counts")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--caller-id", plan.callerId, "Number in the request keys; 0: random");
    app.add_option("--outcomes", options.outcomes, "File that gets a line for each request that ended");
}

void addOptions(CLI::App &app, Options &options)
{
    app.add_option("--cluster", options.cluster, "Name of the cluster, part of every datagram");
    app.add_option("--service-name", options.serviceName, "Name of the service")->required();
    app.add_option("--service", options.service, "Address of the service")->required();
    app.add_option("--ports", options.plan.ports, "UDP sockets to spread flows and requests over")
        ->check(CLI::Range(1, 500));
    app.add_option("--seed", options.seed, "Seed of flow numbers and caller id; 0: random");
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
    plan.reopening = options.isReopening ? Reopening::AfterLoss : Reopening::Never;
    plan.flowInterval = std::chrono::milliseconds(options.flowIntervalMs);
    plan.flowsFor = std::chrono::milliseconds(options.flowsForMs);
    plan.silentAfter = std::chrono::milliseconds(options.silentAfterMs);
    plan.order.serviceTime = std::chrono::milliseconds(options.sleepMs);
    plan.deadline = std::chrono::milliseconds(options.deadlineMs);
    plan.resendAfter = std::chrono::milliseconds(options.resendAfterMs);
    plan.cancelAfter = std::chrono::milliseconds(options.cancelAfterMs);
    plan.grace = std::chrono::milliseconds(options.graceMs);
}

int runCaller(Options &options)
{
    completePlan(options);
    auto const service = Endpoint::parse(options.service);
    if (!service.ok())
        throw CLI::ValidationError(std::string(service.status().message()));
    OutcomeFile outcomes(options.outcomes);
    if (!outcomes.isUsable()) {
        std::cerr << "can't open " << options.outcomes << '\n';
        return EXIT_FAILURE;
    }
    EventLoop loop;
    Caller caller(loop, options, *service, outcomes);
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
    CLI::App app("Stands for a client that uses a service through the fabric.");
    almondwing::Options options;
    almondwing::addOptions(app, options);
    try {
        app.parse(argc, argv);
        return almondwing::runCaller(options);
    } catch (CLI::ParseError const &error) {
        return app.exit(error);
    }
}
