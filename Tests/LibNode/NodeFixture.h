// Control instances in this process, on loopback ports of their own, with an adapter for tests.

#pragma once

#include <LibFrontEnd/IoContext.h>

#include "RecordedEvents.h"
#include "RunningRuntime.h"

#include <LibFrontEnd/HttpClient.h>
#include <LibFrontEnd/UdpSocket.h>
#include <LibNode/ControlServer.h>
#include <LibNode/EntryNode.h>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace almondwing {

// A temporary folder, removed in the destructor.
class TestFolder
{
public:
    TestFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "almondwing-node-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~TestFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    TestFolder(TestFolder const &) = delete;
    TestFolder &operator=(TestFolder const &) = delete;

    std::string path;
};

// Returns a loopback port that is free for the protocol. It is below the kernel's range of ephemeral ports,
// so that no outgoing connection takes it before the test does. Each process begins at a different port.
template<typename Protocol>
Endpoint freeEndpointOf()
{
    constexpr unsigned firstPort = 10000;
    constexpr unsigned portCount = 20000;
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 131};
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        Endpoint const endpoint{.address = anyLoopbackPort.address,
                                .port = static_cast<std::uint16_t>(firstPort + next++ % portCount)};
        boost::asio::io_context context;
        typename Protocol::socket socket(context, Protocol::v4());
        boost::system::error_code error;
        socket.bind(toAsio<Protocol>(endpoint), error);
        if (!error)
            return endpoint;
    }
    CPPUNIT_FAIL("no free port");
    return {};
}

inline Endpoint freeEndpoint()
{
    return freeEndpointOf<boost::asio::ip::tcp>();
}

// The adapter of the tests: a configuration is "version address service", and the path selects the call.
inline absl::StatusOr<FlowConfiguration> parseTestDocument(std::string const &text)
{
    std::istringstream words(text);
    FlowConfiguration configuration;
    std::string address;
    std::string service;
    if (!(words >> configuration.version >> address >> service))
        return absl::InvalidArgumentError("not a test document");
    auto const endpoint = Endpoint::parse(address);
    if (!endpoint.ok())
        return endpoint.status();
    configuration.routes.push_back(
        FlowRoute{.endpoint = *endpoint, .services = {WeightedService{service, 1}}});
    configuration.services = {service};
    return configuration;
}

inline ControlCall decodeTestCall(HttpRequest const &request)
{
    if (request.path == "/read")
        return ReadCall{};
    if (request.path == "/leave")
        return DeregisterCall{.target = TargetNumber{std::stoull(request.body)}};
    if (request.path == "/take-out")
        return ChangeCall{TakeOutFailureDomain{request.body}};
    if (request.path == "/bring-back")
        return ChangeCall{BringBackFailureDomain{request.body}};
    if (request.path == "/heartbeat") {
        auto const targets = parseTargets(request.body, Timestamp{1h});
        return targets.ok() ? ControlCall(HeartbeatCall{.target = targets->front()})
                            : ControlCall(InvalidCall{.reason = std::string(targets.status().message())});
    }
    auto const configuration = parseTestDocument(request.body);
    if (!configuration.ok())
        return InvalidCall{.reason = std::string(configuration.status().message())};
    return ChangeCall{ReplaceDocument{.version = configuration->version, .text = request.body}};
}

inline RegisteredTarget reportedTarget(std::uint64_t number, std::uint64_t sequence, RegisteredState state)
{
    Timestamp const now{1h};
    return RegisteredTarget{.number = TargetNumber{number},
                            .service = "orders",
                            .failureDomain = "dar-a",
                            .endpoint = Endpoint{.address = 0x0a800001, .port = 8080},
                            .state = state,
                            .reportVersion =
                                ReportVersion{.startUnixMilliseconds = 100, .sequence = sequence},
                            .lastSeenAt = now,
                            .coldUntil = now};
}

// A report of another writer, with a later start than reportedTarget() and for a service that the tests'
// configurations do not define.
inline RegisteredTarget foreignReport(std::uint64_t number, RegisteredState state)
{
    RegisteredTarget target = reportedTarget(number, 1, state);
    target.service = "audit";
    target.reportVersion.startUnixMilliseconds = 200;
    return target;
}

// Returns the body of a target's heartbeat for the adapter of the tests.
inline std::string heartbeatOf(RegisteredTarget const &target)
{
    return formatTargets({target}, Timestamp{1h});
}

inline std::string heartbeat(std::uint64_t number, std::uint64_t sequence, RegisteredState state)
{
    return heartbeatOf(reportedTarget(number, sequence, state));
}

// A control instance on threads of its own, so that it can stop while the others run.
struct RunningControlInstance
{
    ~RunningControlInstance() { this->running.stop(); }

    RunningRuntime running;
    std::unique_ptr<ControlServer> server;
};

class NodeFixture
{
public:
    // Starts control instances that bootstrap a new log together.
    explicit NodeFixture(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->seeds.push_back(freeEndpoint());
        this->controlInstances.resize(count);
        for (std::size_t index = 0; index < count; ++index)
            this->startControlInstance(index, true);
    }

    ~NodeFixture() { this->running.stop(); }
    NodeFixture(NodeFixture const &) = delete;
    NodeFixture &operator=(NodeFixture const &) = delete;

    // Each start uses an empty data folder.
    void startControlInstance(std::size_t index, bool isFirstStart)
    {
        this->folders.push_back(std::make_unique<TestFolder>());
        NodeSettings const settings{.instance = "control-" + std::to_string(index),
                                    .failureDomain = "dar-" + std::string(1, static_cast<char>('a' + index)),
                                    .failureDomains = {"dar-a", "dar-b", "dar-c"},
                                    .control = this->seeds[index],
                                    .seeds = this->seeds,
                                    .dataFolder = this->folders.back()->path,
                                    .isFirstStart = isFirstStart,
                                    .heartbeatInterval = 100ms};
        auto process = std::make_unique<RunningControlInstance>();
        process->server = std::make_unique<ControlServer>(
            process->running.runtime, settings,
            ControlAdapter{.decode = decodeTestCall, .parseDocument = parseTestDocument},
            this->events.reporter());
        CPPUNIT_ASSERT(process->server->open().ok());
        process->server->start();
        this->controlInstances[index] = std::move(process);
    }

    void stopControlInstance(std::size_t index) { this->controlInstances[index].reset(); }

    // Makes one call without following a redirect. The status is 0 if there was no answer.
    HttpResponse call(std::size_t control, std::string const &path, std::string const &body)
    {
        auto const answered = std::make_shared<std::promise<HttpResponse>>();
        callHttp(this->running.runtime,
                 HttpCall{.server = this->seeds[control],
                          .method = HttpMethod::Post,
                          .target = path,
                          .body = body,
                          .timeout = 5s},
                 [answered](absl::StatusOr<HttpResponse> const &response) {
                     answered->set_value(response.ok() ? *response : HttpResponse{.status = 0});
                 });
        return valueOf(answered->get_future());
    }

    // Calls the control instances in turn until a call succeeds.
    HttpResponse callUntilSuccess(std::string const &path, std::string const &body)
    {
        auto const end = std::chrono::steady_clock::now() + hangLimit;
        for (std::size_t next = 0; std::chrono::steady_clock::now() < end; ++next) {
            HttpResponse response = this->call(next % this->controlInstances.size(), path, body);
            if (response.isSuccess())
                return response;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_FAIL("no control instance accepted " + path);
        return {};
    }

    template<typename Condition>
    static void waitUntil(char const *what, Condition const &condition)
    {
        auto const end = std::chrono::steady_clock::now() + hangLimit;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE(what, std::chrono::steady_clock::now() < end);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    RecordedEvents events; // Of all instances.
    std::vector<std::unique_ptr<TestFolder>> folders;
    std::vector<Endpoint> seeds;
    std::vector<std::unique_ptr<RunningControlInstance>> controlInstances; // Null while an instance is down.
    RunningRuntime running;
};

} // namespace almondwing
