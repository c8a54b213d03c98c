// Implements the deployment on loopback.

#include "Deployment.h"

#include <LibFrontEnd/HttpClient.h>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondwing {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t portsOfInstance = 4;

// RequestSettings::authoritativeAfter: a younger instance does not vouch for requests that it does not know.
constexpr Duration authoritativeAfter = 90s;

int bindLoopback(int type, std::uint16_t port)
{
    int const socketId = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(loopback);
    address.sin_port = htons(port);
    if (bind(socketId, reinterpret_cast<sockaddr const *>(&address), sizeof(address)) == 0)
        return socketId;
    close(socketId);
    return -1;
}

std::uint16_t portOf(int socketId)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socketId, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

// Ports that are free now for TCP and UDP. All are held until the last is found, so that none is given twice.
std::vector<Endpoint> freeEndpoints(std::size_t count)
{
    std::vector<int> held;
    std::vector<Endpoint> endpoints;
    while (endpoints.size() < count) {
        int const tcp = bindLoopback(SOCK_STREAM, 0);
        CPPUNIT_ASSERT_MESSAGE("no free port", tcp >= 0);
        held.push_back(tcp);
        int const udp = bindLoopback(SOCK_DGRAM, portOf(tcp));
        if (udp < 0)
            continue;
        held.push_back(udp);
        endpoints.push_back(Endpoint{.address = loopback, .port = portOf(tcp)});
    }
    for (int const socketId : held)
        close(socketId);
    return endpoints;
}

std::vector<InstancePlan> planInstances(std::vector<Endpoint> const &endpoints)
{
    std::vector<InstancePlan> plans;
    for (char const *const domain : {"dar-a", "dar-b", "dar-c"}) {
        for (int const number : {1, 2}) {
            std::size_t const first = plans.size() * portsOfInstance;
            plans.push_back({.name = fmt::format("{}-{}", domain, number),
                             .failureDomain = domain,
                             .isControl = number == 1,
                             .entry = endpoints[first],
                             .target = endpoints[first + 1],
                             .peer = endpoints[first + 2],
                             .http = endpoints[first + 3]});
        }
    }
    return plans;
}

std::string peerSettings(InstancePlan const &peer)
{
    return fmt::format(
        "[[peers]]\nname = \"{}\"\nfailure_domain = \"{}\"\npeer = \"{}\"\nhttp = \"{}\"\ncontrol = {}\n\n",
        peer.name, peer.failureDomain, peer.peer.toString(), peer.http.toString(), peer.isControl);
}

void writeFile(std::string const &path, std::string const &text)
{
    std::ofstream(path) << text;
}

Endpoint endpointIn(Json const &json, char const *key)
{
    return Endpoint::parse(json.at(key).get<std::string>()).value();
}

// Body of the answer; empty if there is none or it reports an error.
std::string bodyOf(HttpCall const &call)
{
    IoRuntime runtime;
    std::string body;
    callHttp(runtime, call, [&](absl::StatusOr<HttpResponse> const &response) {
        if (response.ok() && response->isSuccess())
            body = response->body;
        runtime.stop();
    });
    runtime.run(1);
    return body;
}

std::string writeManifest(std::string const &path, std::vector<Endpoint> const &addresses)
{
    Json manifest = Json::parse(readFile(std::string(EXAMPLES_FOLDER) + "/tz-dar.json"));
    std::size_t next = 0;
    for (Json &entry : manifest.at("services"))
        entry["address"] = addresses.at(next++).toString();
    writeFile(path, manifest.dump(2));
    return path;
}

} // namespace

Deployment::Deployment()
{
    std::string pattern = "/tmp/almondwing-deployment.XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
    this->folder = pattern;
    constexpr std::size_t instanceCount = 6;
    constexpr std::size_t serviceCount = 2;
    auto const endpoints = freeEndpoints(instanceCount * portsOfInstance + serviceCount);
    this->plans = planInstances(endpoints);
    std::vector<Endpoint> const services(endpoints.end() - serviceCount, endpoints.end());
    this->service = services.front();
    std::string const hash = this->hashToken();
    Arguments fabric{"--service", this->service.toString()};
    for (InstancePlan const &plan : this->plans) {
        this->writeSettings(plan, hash);
        this->startInstance(plan);
        fabric.insert(fabric.end(), {"--instance", plan.entry.toString()});
    }
    this->processes["fabric"] = this->start("fabric", {.program = PROGRAM_FABRIC, .arguments = fabric});
    this->fabricControl = endpointIn(Json::parse(this->processes["fabric"]->readyLine()), "control");
    for (InstancePlan const &plan : this->plans)
        this->waitUntilServing(plan);
    std::string const manifest = writeManifest(this->path("manifest.json"), services);
    CommandResult const applied = this->control({"apply", manifest, "--wait", applyWaitSeconds});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.output + applied.errors, 0, applied.exitCode);
}

Deployment::~Deployment()
{
    this->processes.clear();
    // The logs help to find the cause of a failure.
    if (std::getenv("ALMONDWING_KEEP_FOLDER") == nullptr)
        std::filesystem::remove_all(this->folder);
}

std::unique_ptr<ChildProcess> Deployment::start(std::string const &name, ProcessPlan plan)
{
    int const number = ++this->commandCount;
    plan.outputPath = this->path(fmt::format("{}-{}.out", name, number));
    plan.errorPath = this->path(fmt::format("{}-{}.err", name, number));
    return std::make_unique<ChildProcess>(std::move(plan));
}

std::string Deployment::hashToken()
{
    writeFile(this->path("token"), std::string(deploymentToken) + "\n");
    auto const command = this->start(
        "hash",
        {.program = PROGRAM_ALMONDWINGCTL, .arguments = {"hash-token"}, .inputPath = this->path("token")});
    std::string const hash = this->resultOf(*command).output;
    return hash.substr(0, hash.find('\n'));
}

void Deployment::writeSettings(InstancePlan const &plan, std::string const &tokenHash) const
{
    std::string peers;
    for (InstancePlan const &peer : this->plans) {
        if (peer.name != plan.name)
            peers += peerSettings(peer);
    }
    std::string const logFolder = this->path("log-" + plan.name);
    std::filesystem::create_directories(logFolder);
    std::string text =
        fmt::format("cluster = \"{}\"\ninstance = \"{}\"\nfailure_domain = \"{}\"\nthreads = 4\n",
                    clusterName, plan.name, plan.failureDomain);
    if (plan.isControl)
        text += fmt::format("data_folder = \"{}\"\n", this->path("data-" + plan.name));
    text += fmt::format("\n[listen]\nentry = \"{}\"\ntarget = \"{}\"\npeer = \"{}\"\nhttp = \"{}\"\n\n",
                        plan.entry.toString(), plan.target.toString(), plan.peer.toString(),
                        plan.http.toString());
    text += peers;
    text += fmt::format("[[operators]]\nname = \"tester\"\ntoken_hash = \"{}\"\n\n", tokenHash);
    text += fmt::format("[log]\nfolder = \"{}\"\nlevel = \"information\"\n", logFolder);
    writeFile(this->path(plan.name + ".toml"), text);
}

void Deployment::startInstance(InstancePlan const &plan)
{
    this->processes[plan.name] = this->start(
        plan.name,
        {.program = PROGRAM_ALMONDWINGD, .arguments = {"--settings", this->path(plan.name + ".toml")}});
}

void Deployment::waitUntilServing(InstancePlan const &plan)
{
    bool const isServing = waitUntil([&] {
        Json const status = this->getJson(plan.http, "/v1/status");
        return status.is_object() && status.at("instance").at("phase") == "serving";
    });
    CPPUNIT_ASSERT_MESSAGE(plan.name + " does not serve: " + this->process(plan.name).errors(), isServing);
    this->servingSince = std::chrono::steady_clock::now();
}

void Deployment::startTarget(TargetPlan const &plan)
{
    Arguments arguments{
        "--cluster", clusterName,        "--name",           plan.name,  "--service",
        serviceName, "--failure-domain", plan.failureDomain, "--ledger", this->path("ledger-" + plan.name)};
    for (InstancePlan const &instance : this->plans) {
        if (instance.failureDomain == plan.failureDomain)
            arguments.insert(arguments.end(), {"--announce", instance.http.toString()});
    }
    arguments.insert(arguments.end(), plan.extra.begin(), plan.extra.end());
    this->processes[plan.name] = this->start(plan.name, {.program = PROGRAM_TARGET, .arguments = arguments});
    Json const ready = Json::parse(this->processes[plan.name]->readyLine());
    this->targetEndpoints[plan.name] = {.packets = endpointIn(ready, "packets"),
                                        .http = endpointIn(ready, "http")};
}

void Deployment::startFourTargets()
{
    this->startTarget({.name = "desk-1", .failureDomain = "dar-a"});
    this->startTarget({.name = "desk-2", .failureDomain = "dar-b"});
    this->startTarget({.name = "desk-3", .failureDomain = "dar-c"});
    this->startTarget({.name = "desk-4", .failureDomain = "dar-a"});
    this->waitUntilRouted({"desk-1", "desk-2", "desk-3", "desk-4"});
}

void Deployment::waitUntilRouted(std::vector<std::string> const &targets)
{
    auto const isRouted = [&](InstancePlan const &plan) {
        Json const status = this->getJson(plan.http, "/v1/status");
        if (!status.is_object())
            return false;
        std::vector<std::string> names;
        for (Json const &entry : status.at("services")) {
            for (Json const &target : entry.at("targets")) {
                if (target.at("buckets").get<int>() > 0)
                    names.push_back(target.at("name"));
            }
        }
        return std::ranges::all_of(
            targets, [&](std::string const &name) { return std::ranges::count(names, name) == 1; });
    };
    for (InstancePlan const &plan : this->plans)
        CPPUNIT_ASSERT_MESSAGE(plan.name, waitUntil([&] { return isRouted(plan); }));
}

void Deployment::warmTargets()
{
    bool const isWarm = waitUntil([&] {
        auto const caller = this->startCaller({"--flows", "2500", "--flow-rate", "2000", "--ports", "4",
                                               "--interval-ms", "60000", "--flows-for-ms", "2500"});
        this->summaryOf(*caller);
        return this->hasOnlyWarmTargets();
    });
    CPPUNIT_ASSERT_MESSAGE("the targets don't get warm", isWarm);
    // Buckets count as moved for 2 s; the rest is for the slowest instance to see the last move.
    constexpr Duration settleTime = 3s;
    bool const hasSettled = waitUntil([&] {
        auto const before = this->bucketTables();
        std::this_thread::sleep_for(settleTime);
        return this->bucketTables() == before;
    });
    CPPUNIT_ASSERT_MESSAGE("the bucket tables don't settle", hasSettled);
    // A dispatcher that took over from another one keeps claims long after their last flow.
    if (!this->hasNoClaims())
        std::this_thread::sleep_until(this->servingSince + authoritativeAfter);
}

bool Deployment::hasOnlyWarmTargets() const
{
    constexpr int fullLevel = 4;
    for (Json const &services : this->bucketTables()) {
        for (Json const &target : services) {
            if (target.at("level") != fullLevel)
                return false;
        }
    }
    return true;
}

bool Deployment::hasNoClaims() const
{
    return std::ranges::all_of(this->plans, [&](InstancePlan const &plan) {
        Json const status = this->getJson(plan.http, "/v1/status");
        CPPUNIT_ASSERT_MESSAGE(plan.name, status.is_object());
        return std::ranges::all_of(status.at("services"), [](Json const &entry) {
            return std::ranges::all_of(entry.at("targets"),
                                       [](Json const &target) { return target.at("claimedBuckets") == 0; });
        });
    });
}

std::vector<Json> Deployment::bucketTables() const
{
    std::vector<Json> tables;
    for (InstancePlan const &plan : this->plans) {
        Json table = Json::array();
        Json const status = this->getJson(plan.http, "/v1/status");
        CPPUNIT_ASSERT_MESSAGE(plan.name, status.is_object());
        for (Json const &entry : status.at("services")) {
            for (Json const &target : entry.at("targets"))
                table.push_back({{"name", target.at("name")},
                                 {"level", target.at("rampLevel")},
                                 {"dispatcher", target.at("dispatcher")},
                                 {"buckets", target.at("buckets")}});
        }
        tables.push_back(table);
    }
    return tables;
}

std::unique_ptr<ChildProcess> Deployment::startCaller(Arguments const &arguments)
{
    Arguments all{"--cluster", clusterName, "--service-name",
                  serviceName, "--service", this->service.toString()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto caller = this->start("caller", {.program = PROGRAM_CALLER, .arguments = all});
    caller->readyLine();
    return caller;
}

Json Deployment::summaryOf(ChildProcess &caller)
{
    // A caller runs for as long as it was told to; this is what may be left when the test waits for its end.
    constexpr Duration callerLimit = 180s;
    CPPUNIT_ASSERT_MESSAGE("the caller does not end", caller.wait(callerLimit).has_value());
    std::string const output = caller.output();
    Json summary = Json::parse(output.substr(output.find('\n') + 1), nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(output + caller.errors(), summary.is_object());
    return summary;
}

std::unique_ptr<ChildProcess> Deployment::startControlAt(std::vector<InstancePlan> const &servers,
                                                         Arguments const &arguments, std::string const &token)
{
    Arguments all{"--output", "json"};
    for (InstancePlan const &plan : servers)
        all.insert(all.end(), {"--server", plan.http.toString()});
    all.insert(all.end(), arguments.begin(), arguments.end());
    return this->start(
        "control",
        {.program = PROGRAM_ALMONDWINGCTL, .arguments = all, .environment = {"ALMONDWING_TOKEN=" + token}});
}

std::unique_ptr<ChildProcess> Deployment::startControl(Arguments const &arguments, std::string const &token)
{
    return this->startControlAt(this->plans, arguments, token);
}

CommandResult Deployment::controlAt(std::vector<InstancePlan> const &servers, Arguments const &arguments)
{
    return this->resultOf(*this->startControlAt(servers, arguments, deploymentToken));
}

CommandResult Deployment::resultOf(ChildProcess &command)
{
    auto const exitCode = command.wait();
    CPPUNIT_ASSERT_MESSAGE("a command does not end", exitCode.has_value());
    return {.exitCode = *exitCode, .output = command.output(), .errors = command.errors()};
}

CommandResult Deployment::control(Arguments const &arguments)
{
    return this->controlWithToken(arguments, deploymentToken);
}

CommandResult Deployment::controlWithToken(Arguments const &arguments, std::string const &token)
{
    return this->resultOf(*this->startControl(arguments, token));
}

std::string Deployment::get(Endpoint server, std::string const &target) const
{
    return bodyOf(HttpCall{.server = server, .target = target});
}

std::string Deployment::post(Endpoint server, std::string const &target, std::string const &body) const
{
    return bodyOf(HttpCall{.server = server, .method = HttpMethod::Post, .target = target, .body = body});
}

Json Deployment::getJson(Endpoint server, std::string const &target) const
{
    return Json::parse(this->get(server, target), nullptr, false);
}

Json Deployment::targetStatistics(std::string const &target) const
{
    Json statistics = this->getJson(this->targetHttp(target), "/statistics");
    CPPUNIT_ASSERT_MESSAGE(target, statistics.is_object());
    return statistics;
}

void Deployment::orderFabric(std::string const &order, InstancePlan const &plan) const
{
    std::string const answer =
        this->get(this->fabricControl, "/" + order + "?instance=" + plan.entry.toString());
    CPPUNIT_ASSERT_MESSAGE(order + " " + plan.name, !answer.empty());
}

Json Deployment::orderTarget(std::string const &target, std::string const &query) const
{
    return this->getJson(this->targetHttp(target), "/control?" + query);
}

double Deployment::metric(InstancePlan const &plan, std::string const &name) const
{
    std::istringstream lines(this->get(plan.http, "/metrics"));
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        bool const isMetric = line.starts_with(name + "{") || line.starts_with(name + " ");
        if (isMetric)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

double Deployment::metricEverywhere(std::string const &name) const
{
    double sum = 0;
    for (InstancePlan const &plan : this->plans)
        sum += this->metric(plan, name);
    return sum;
}

std::map<std::uint64_t, int> Deployment::runs(std::uint64_t caller) const
{
    std::map<std::uint64_t, int> result;
    for (auto const &[target, endpoints] : this->targetEndpoints) {
        std::istringstream lines(readFile(this->path("ledger-" + target)));
        for (std::string line; std::getline(lines, line);) {
            Json const entry = Json::parse(line);
            if (entry.at("caller").get<std::uint64_t>() == caller)
                ++result[entry.at("number").get<std::uint64_t>()];
        }
    }
    return result;
}

} // namespace almondwing
