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

// The value of RequestSettings::authoritativeAfter. Until an instance has run this long, its previous process
// may have recorded a request that the new process does not know.
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

// Returns ports that are currently free for TCP and UDP. All sockets stay open until the last port is found,
// so that no port is returned twice.
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

std::vector<InstanceSpec> makeInstanceSpecs(std::vector<Endpoint> const &endpoints)
{
    std::vector<InstanceSpec> instanceSpecs;
    for (char const *const domain : {"dar-a", "dar-b", "dar-c"}) {
        for (int const number : {1, 2}) {
            std::size_t const first = instanceSpecs.size() * portsOfInstance;
            instanceSpecs.push_back({.name = fmt::format("{}-{}", domain, number),
                                     .failureDomain = domain,
                                     .isControl = number == 1,
                                     .entry = endpoints[first],
                                     .target = endpoints[first + 1],
                                     .peer = endpoints[first + 2],
                                     .http = endpoints[first + 3]});
        }
    }
    return instanceSpecs;
}

std::string peerSettings(InstanceSpec const &peer)
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

// Returns the body of the response; empty if there is none or it reports an error.
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
    this->instanceSpecs = makeInstanceSpecs(endpoints);
    std::vector<Endpoint> const services(endpoints.end() - serviceCount, endpoints.end());
    this->service = services.front();
    std::string const hash = this->hashToken();
    Arguments fabric{"--service", this->service.toString()};
    for (InstanceSpec const &spec : this->instanceSpecs) {
        this->writeSettings(spec, hash);
        this->startInstance(spec);
        fabric.insert(fabric.end(), {"--instance", spec.entry.toString()});
    }
    this->processes["fabric"] = this->start("fabric", {.program = PROGRAM_FABRIC, .arguments = fabric});
    this->fabricControlEndpoint = endpointIn(Json::parse(this->processes["fabric"]->readyLine()), "control");
    for (InstanceSpec const &spec : this->instanceSpecs)
        this->waitUntilServing(spec);
    std::string const manifest = writeManifest(this->path("manifest.json"), services);
    CommandResult const applied = this->runCtl({"apply", manifest, "--wait", applyWaitSeconds});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.output + applied.errors, 0, applied.exitCode);
}

Deployment::~Deployment()
{
    this->processes.clear();
    // Keeping the folder preserves the logs, which help to find the cause of a failure.
    if (std::getenv("ALMONDWING_KEEP_FOLDER") == nullptr)
        std::filesystem::remove_all(this->folder);
}

std::unique_ptr<ChildProcess> Deployment::start(std::string const &name, ProcessSpec spec)
{
    int const number = ++this->startedCount;
    spec.outputPath = this->path(fmt::format("{}-{}.out", name, number));
    spec.errorPath = this->path(fmt::format("{}-{}.err", name, number));
    return std::make_unique<ChildProcess>(std::move(spec));
}

std::string Deployment::hashToken()
{
    writeFile(this->path("token"), std::string(operatorToken) + "\n");
    auto const command = this->start(
        "hash",
        {.program = PROGRAM_ALMONDWINGCTL, .arguments = {"hash-token"}, .inputPath = this->path("token")});
    std::string const hash = this->waitForResult(*command).output;
    return hash.substr(0, hash.find('\n'));
}

void Deployment::writeSettings(InstanceSpec const &spec, std::string const &tokenHash) const
{
    std::string peers;
    for (InstanceSpec const &peer : this->instanceSpecs) {
        if (peer.name != spec.name)
            peers += peerSettings(peer);
    }
    std::string const logFolder = this->path("log-" + spec.name);
    std::filesystem::create_directories(logFolder);
    std::string text =
        fmt::format("cluster = \"{}\"\ninstance = \"{}\"\nfailure_domain = \"{}\"\nthreads = 4\n",
                    clusterName, spec.name, spec.failureDomain);
    if (spec.isControl)
        text += fmt::format("data_folder = \"{}\"\n", this->path("data-" + spec.name));
    text += fmt::format("\n[listen]\nentry = \"{}\"\ntarget = \"{}\"\npeer = \"{}\"\nhttp = \"{}\"\n\n",
                        spec.entry.toString(), spec.target.toString(), spec.peer.toString(),
                        spec.http.toString());
    text += peers;
    text += fmt::format("[[operators]]\nname = \"tester\"\ntoken_hash = \"{}\"\n\n", tokenHash);
    text += fmt::format("[log]\nfolder = \"{}\"\nlevel = \"information\"\n", logFolder);
    writeFile(this->path(spec.name + ".toml"), text);
}

void Deployment::startInstance(InstanceSpec const &spec)
{
    this->processes[spec.name] = this->start(
        spec.name,
        {.program = PROGRAM_ALMONDWINGD, .arguments = {"--settings", this->path(spec.name + ".toml")}});
}

void Deployment::waitUntilServing(InstanceSpec const &spec)
{
    bool const isServing = waitUntil([&] {
        Json const status = this->getJson(spec.http, "/v1/status");
        return status.is_object() && status.at("instance").at("phase") == "serving";
    });
    CPPUNIT_ASSERT_MESSAGE(spec.name + " did not start serving: " + this->process(spec.name).errors(),
                           isServing);
    this->lastServingStart = std::chrono::steady_clock::now();
}

void Deployment::startTarget(TargetSpec const &spec)
{
    Arguments arguments{
        "--cluster", clusterName,        "--name",           spec.name,  "--service",
        serviceName, "--failure-domain", spec.failureDomain, "--ledger", this->path("ledger-" + spec.name)};
    for (InstanceSpec const &instance : this->instanceSpecs) {
        if (instance.failureDomain == spec.failureDomain)
            arguments.insert(arguments.end(), {"--announce", instance.http.toString()});
    }
    arguments.insert(arguments.end(), spec.extraArguments.begin(), spec.extraArguments.end());
    this->processes[spec.name] = this->start(spec.name, {.program = PROGRAM_TARGET, .arguments = arguments});
    Json const ready = Json::parse(this->processes[spec.name]->readyLine());
    this->targetEndpoints[spec.name] = {.packetEndpoint = endpointIn(ready, "packets"),
                                        .httpEndpoint = endpointIn(ready, "http")};
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
    auto const isRouted = [&](InstanceSpec const &spec) {
        Json const status = this->getJson(spec.http, "/v1/status");
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
    for (InstanceSpec const &spec : this->instanceSpecs)
        CPPUNIT_ASSERT_MESSAGE(spec.name, waitUntil([&] { return isRouted(spec); }));
}

void Deployment::warmUpTargets()
{
    bool const isWarm = waitUntil([&] {
        auto const caller = this->startCaller({"--flows", "2500", "--flow-rate", "2000", "--ports", "4",
                                               "--interval-ms", "60000", "--flows-for-ms", "2500"});
        this->waitForSummary(*caller);
        return this->hasOnlyWarmTargets();
    });
    CPPUNIT_ASSERT_MESSAGE("the targets do not become warm", isWarm);
    // A bucket counts as recently moved for 2 s; the other second lets the last move reach every instance.
    constexpr Duration settleTime = 3s;
    bool const hasSettled = waitUntil([&] {
        auto const before = this->bucketTables();
        std::this_thread::sleep_for(settleTime);
        return this->bucketTables() == before;
    });
    CPPUNIT_ASSERT_MESSAGE("the bucket tables do not settle", hasSettled);
    // A dispatcher that took over from another one keeps claims long after their last flow has ended.
    if (!this->hasNoClaims())
        std::this_thread::sleep_until(this->lastServingStart + authoritativeAfter);
}

bool Deployment::hasOnlyWarmTargets() const
{
    constexpr int fullLevel = 4; // The value of maxRampLevel.
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
    return std::ranges::all_of(this->instanceSpecs, [&](InstanceSpec const &spec) {
        Json const status = this->getJson(spec.http, "/v1/status");
        CPPUNIT_ASSERT_MESSAGE(spec.name, status.is_object());
        return std::ranges::all_of(status.at("services"), [](Json const &entry) {
            return std::ranges::all_of(entry.at("targets"),
                                       [](Json const &target) { return target.at("claimedBuckets") == 0; });
        });
    });
}

std::vector<Json> Deployment::bucketTables() const
{
    std::vector<Json> tables;
    for (InstanceSpec const &spec : this->instanceSpecs) {
        Json table = Json::array();
        Json const status = this->getJson(spec.http, "/v1/status");
        CPPUNIT_ASSERT_MESSAGE(spec.name, status.is_object());
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

Json Deployment::waitForSummary(ChildProcess &caller)
{
    // Callers run for the time given in their arguments. The timeout covers the part of it that can remain
    // when a test starts to wait.
    constexpr Duration callerTimeout = 180s;
    CPPUNIT_ASSERT_MESSAGE("the caller did not end", caller.wait(callerTimeout).has_value());
    std::string const output = caller.output();
    Json summary = Json::parse(output.substr(output.find('\n') + 1), nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(output + caller.errors(), summary.is_object());
    return summary;
}

std::unique_ptr<ChildProcess> Deployment::startCtlAt(std::vector<InstanceSpec> const &servers,
                                                     Arguments const &arguments, std::string const &token)
{
    Arguments all{"--output", "json"};
    for (InstanceSpec const &spec : servers)
        all.insert(all.end(), {"--server", spec.http.toString()});
    all.insert(all.end(), arguments.begin(), arguments.end());
    return this->start(
        "almondwingctl",
        {.program = PROGRAM_ALMONDWINGCTL, .arguments = all, .environment = {"ALMONDWING_TOKEN=" + token}});
}

std::unique_ptr<ChildProcess> Deployment::startCtl(Arguments const &arguments, std::string const &token)
{
    return this->startCtlAt(this->instanceSpecs, arguments, token);
}

CommandResult Deployment::runCtlAt(std::vector<InstanceSpec> const &servers, Arguments const &arguments)
{
    return this->waitForResult(*this->startCtlAt(servers, arguments, operatorToken));
}

CommandResult Deployment::waitForResult(ChildProcess &command)
{
    auto const exitCode = command.wait();
    CPPUNIT_ASSERT_MESSAGE("the command did not end", exitCode.has_value());
    return {.exitCode = *exitCode, .output = command.output(), .errors = command.errors()};
}

CommandResult Deployment::runCtl(Arguments const &arguments)
{
    return this->runCtlWithToken(arguments, operatorToken);
}

CommandResult Deployment::runCtlWithToken(Arguments const &arguments, std::string const &token)
{
    return this->waitForResult(*this->startCtl(arguments, token));
}

std::string Deployment::get(Endpoint server, std::string const &pathAndQuery) const
{
    return bodyOf(HttpCall{.server = server, .target = pathAndQuery});
}

std::string Deployment::post(Endpoint server, std::string const &pathAndQuery, std::string const &body) const
{
    return bodyOf(
        HttpCall{.server = server, .method = HttpMethod::Post, .target = pathAndQuery, .body = body});
}

Json Deployment::getJson(Endpoint server, std::string const &pathAndQuery) const
{
    return Json::parse(this->get(server, pathAndQuery), nullptr, false);
}

Json Deployment::targetStatistics(std::string const &target) const
{
    Json statistics = this->getJson(this->targetHttpEndpoint(target), "/statistics");
    CPPUNIT_ASSERT_MESSAGE(target, statistics.is_object());
    return statistics;
}

void Deployment::controlFabric(std::string const &action, InstanceSpec const &spec) const
{
    std::string const answer =
        this->get(this->fabricControlEndpoint, "/" + action + "?instance=" + spec.entry.toString());
    CPPUNIT_ASSERT_MESSAGE(action + " " + spec.name, !answer.empty());
}

Json Deployment::controlTarget(std::string const &target, std::string const &query) const
{
    return this->getJson(this->targetHttpEndpoint(target), "/control?" + query);
}

double Deployment::metric(InstanceSpec const &spec, std::string const &name) const
{
    std::istringstream lines(this->get(spec.http, "/metrics"));
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        bool const isMetric = line.starts_with(name + "{") || line.starts_with(name + " ");
        if (isMetric)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

double Deployment::metricSum(std::string const &name) const
{
    double sum = 0;
    for (InstanceSpec const &spec : this->instanceSpecs)
        sum += this->metric(spec, name);
    return sum;
}

std::map<std::uint64_t, int> Deployment::runCounts(std::uint64_t callerId) const
{
    std::map<std::uint64_t, int> result;
    for (auto const &[target, endpoints] : this->targetEndpoints) {
        std::istringstream lines(readFile(this->path("ledger-" + target)));
        for (std::string line; std::getline(lines, line);) {
            Json const entry = Json::parse(line);
            if (entry.at("caller").get<std::uint64_t>() == callerId)
                ++result[entry.at("number").get<std::uint64_t>()];
        }
    }
    return result;
}

} // namespace almondwing
