// target-stand-in: a back end that announces itself, accepts flows and runs requests. Its control endpoint
// makes it simulate faults.

#include <LibCore/Verify.h>
#include <LibStandIns/AnnounceRoute.h>
#include <LibStandIns/EventLoop.h>
#include <LibStandIns/ExecutionLedger.h>
#include <LibStandIns/Http.h>
#include <LibStandIns/SharedRandom.h>
#include <LibStandIns/StandInUdpSocket.h>
#include <LibStandIns/TargetModel.h>
#include <LibWire/WireCodec.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <random>

namespace almondwing {

namespace {

constexpr std::size_t threadCount = 2;
constexpr Duration announceInterval = 2s;
constexpr Duration announceTimeout = 1s; // Leaves time to try another instance within the interval.
constexpr Duration cleanupInterval = 10s;

struct Options
{
    std::string cluster = "almondwing";
    TargetModelSettings settings;
    std::string packetAddress = "127.0.0.1:0";
    std::string httpAddress = "127.0.0.1:0";
    std::vector<std::string> announce;
    std::string ledger;
    std::uint64_t startMark = 0; // 0 chooses a random one.
    std::int64_t serviceTimeMs = 10;
    std::int64_t coldMs = 0;
    std::int64_t noticeIntervalMs = 0; // 0 sends no notices.
};

Endpoint parseAddress(std::string const &text)
{
    auto const endpoint = parseListenEndpoint(text);
    if (!endpoint.ok())
        throw CLI::ValidationError(std::string(endpoint.status().message()));
    return *endpoint;
}

class Announcer
{
public:
    Announcer(EventLoop &eventLoop, std::vector<Endpoint> instances, std::function<std::string()> makeBody)
        : loop(eventLoop), body(std::move(makeBody))
    {
        AnnounceRoute initial;
        initial.instances = std::move(instances);
        this->route.update([&](AnnounceRoute const &) { return initial; });
    }

    void announceRepeatedly()
    {
        this->route.update([](AnnounceRoute const &current) { return current.beginRound(); });
        if (!this->route.read()->instances.empty())
            this->announce();
        this->loop.schedule(announceInterval, [this] { this->announceRepeatedly(); });
    }

    void announce()
    {
        postJson(this->loop, this->route.read()->destination(), "/v1/announce", this->body(), announceTimeout,
                 [this](absl::StatusOr<std::string> const &reply) { this->handleReply(reply); });
    }

private:
    void handleReply(absl::StatusOr<std::string> const &reply)
    {
        AnnounceStep step = AnnounceStep::RoundEnded;
        this->route.update([&](AnnounceRoute const &current) {
            AnnounceResult const result = applyAnnounceReply(current, reply);
            step = result.step;
            return result.route;
        });
        if (step == AnnounceStep::SendAgain)
            this->announce();
    }

    EventLoop &loop;
    std::function<std::string()> body;
    Cell<AnnounceRoute> route;
};

// Connects the target model to its sockets.
class Target
{
public:
    Target(EventLoop &eventLoop, Options const &targetOptions, ExecutionLedger &executionLedger)
        : loop(eventLoop), options(targetOptions), ledger(executionLedger),
          codec(WireCodec::forCluster(targetOptions.cluster)),
          model(targetOptions.settings, targetOptions.startMark, EventLoop::now(), this->makeHooks())
    {
    }

    absl::Status open()
    {
        auto openedSocket = StandInUdpSocket::open(
            this->loop, parseAddress(this->options.packetAddress),
            [this](Endpoint from, std::string_view datagram) { this->receive(from, datagram); });
        if (!openedSocket.ok())
            return openedSocket.status();
        this->packetSocket = *openedSocket;
        auto httpServer =
            StandInHttpServer::open(this->loop, parseAddress(this->options.httpAddress),
                                    [this](HttpRequest const &request) { return this->serve(request); });
        if (!httpServer.ok())
            return httpServer.status();
        this->http = std::move(*httpServer);
        return absl::OkStatus();
    }

    void start()
    {
        std::vector<Endpoint> instances;
        for (std::string const &instance : this->options.announce)
            instances.push_back(parseAddress(instance));
        this->announcer =
            std::make_unique<Announcer>(this->loop, instances, [this] { return this->announcement(); });
        this->announcer->announceRepeatedly();
        this->cleanUpRepeatedly();
        if (this->options.noticeIntervalMs > 0)
            this->sendNoticesRepeatedly();
    }

    std::string readyLine() const
    {
        return fmt::format(R"({{"ready":true,"packets":"{}","http":"{}"}})",
                           this->packetSocket->localEndpoint().toString(),
                           this->http->localEndpoint().toString());
    }

private:
    TargetHooks makeHooks()
    {
        return {.send = [this](Endpoint to, TargetMessage const &message) { this->send(to, message); },
                .schedule =
                    [this](Duration delay, std::function<void()> action) {
                        this->loop.schedule(delay, std::move(action));
                    },
                .recordStart = [this](RunRequest const &run) { this->record(run); },
                .now = [] { return EventLoop::now(); }};
    }

    void send(Endpoint to, TargetMessage const &message)
    {
        auto datagram = this->codec.encode(message);
        // The datagram is never too large: an echo repeats a received payload, and an answer part has at most
        // answerPartBytes.
        VERIFY(datagram.ok());
        this->packetSocket->send(to, std::move(*datagram));
    }

    void record(RunRequest const &run)
    {
        this->ledger.append({.key = run.key,
                             .tryId = run.tryId,
                             .idempotency = run.idempotency,
                             .target = this->options.settings.name,
                             .unixMicroseconds = EventLoop::unixMicroseconds()});
    }

    void receive(Endpoint from, std::string_view datagram)
    {
        auto const command = this->codec.decodeTargetCommand(datagram);
        if (command.ok())
            this->model.handle(EventLoop::now(), from, *command);
        else
            std::cerr << "can't decode a packet from " << from.toString() << ": "
                      << command.status().message() << '\n';
    }

    std::optional<HttpReply> serve(HttpRequest const &request)
    {
        if (request.path == "/health")
            return this->model.health(EventLoop::now());
        if (request.path == "/load")
            return this->model.load(EventLoop::now());
        if (request.path == "/ledger")
            return HttpReply{.status = 200, .body = this->ledger.toJson()};
        if (request.path == "/statistics")
            return HttpReply{.status = 200, .body = this->model.statistics(EventLoop::now())};
        if (request.path != "/control")
            return HttpReply{.status = 404, .body = R"({"error":"unknown path"})"};
        HttpReply const reply = this->model.control(EventLoop::now(), request.query);
        // A real target announces a new state or start mark immediately; the request may have changed either.
        if (!this->options.announce.empty())
            this->announcer->announce();
        return reply;
    }

    std::string announcement() const
    {
        TargetAnnouncement announcement = this->model.announcement();
        announcement.packetEndpoint = this->packetSocket->localEndpoint();
        announcement.httpEndpoint = this->http->localEndpoint();
        return announcementJson(announcement);
    }

    void cleanUpRepeatedly()
    {
        this->model.removeOldTries(EventLoop::now());
        this->loop.schedule(cleanupInterval, [this] { this->cleanUpRepeatedly(); });
    }

    void sendNoticesRepeatedly()
    {
        this->model.sendNotices(EventLoop::now());
        this->loop.schedule(std::chrono::milliseconds(this->options.noticeIntervalMs),
                            [this] { this->sendNoticesRepeatedly(); });
    }

    EventLoop &loop;
    Options const &options;
    ExecutionLedger &ledger;
    WireCodec codec;
    TargetModel model;
    std::shared_ptr<StandInUdpSocket> packetSocket;
    std::unique_ptr<StandInHttpServer> http;
    std::unique_ptr<Announcer> announcer;
};

void addOptions(CLI::App &app, Options &options)
{
    app.add_option("--cluster", options.cluster, "Name of the cluster, part of every datagram");
    app.add_option("--name", options.settings.name, "Name of the target")->required();
    app.add_option("--service", options.settings.service, "Name of its service")->required();
    app.add_option("--failure-domain", options.settings.failureDomain, "Failure domain of the target")
        ->required();
    app.add_option("--packets", options.packetAddress, "Address of its packet socket (UDP)");
    app.add_option("--http", options.httpAddress,
                   "Address of /health, /load, /control, /ledger, /statistics");
    app.add_option("--announce", options.announce, "HTTP address of an instance; may be repeated");
    app.add_option("--ledger", options.ledger, "File to which a line is appended for each started run");
    app.add_option("--start-mark", options.startMark, "Start mark; 0 chooses a random one");
    app.add_option("--slots", options.settings.slots, "Maximum number of concurrent runs");
    app.add_option("--connections", options.settings.connections, "Maximum number of open flows");
    app.add_option("--service-time-ms", options.serviceTimeMs,
                   "Service time of a run without sleep= in its payload")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--cold-ms", options.coldMs, "Time after a start in which the target is cold")
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--cold-slots", options.settings.coldSlots,
                   "Concurrent runs that a cold target handles without slowing down");
    app.add_option("--cold-slowdown", options.settings.coldSlowdown,
                   "Service time multiplier of further runs");
    app.add_option("--notice-interval-ms", options.noticeIntervalMs,
                   "Time between two notices on each flow; 0: no notices")
        ->check(CLI::Range(0, 3'600'000));
}

int runTarget(Options options)
{
    options.settings.defaultRunParameters.serviceTime = std::chrono::milliseconds(options.serviceTimeMs);
    options.settings.coldDuration = std::chrono::milliseconds(options.coldMs);
    std::random_device device;
    if (options.startMark == 0)
        options.startMark = combineHashes(device(), device());

    EventLoop loop;
    auto const ledger = ExecutionLedger::open(options.ledger);
    if (!ledger.ok()) {
        std::cerr << ledger.status().message() << '\n';
        return EXIT_FAILURE;
    }
    Target target(loop, options, **ledger);
    if (absl::Status const status = target.open(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return EXIT_FAILURE;
    }
    target.start();
    std::cout << target.readyLine() << std::endl;
    loop.run(threadCount);
    return EXIT_SUCCESS;
}

} // namespace

} // namespace almondwing

int main(int argc, char **argv)
{
    CLI::App app("Simulates a back end behind the load balancer.");
    almondwing::Options options;
    almondwing::addOptions(app, options);
    try {
        app.parse(argc, argv);
        return almondwing::runTarget(options);
    } catch (CLI::ParseError const &error) {
        return app.exit(error);
    }
}
