// A deployment on loopback for one test: six instances in three failure domains (the first one of each domain
// is a control instance), the fabric stand-in, and the targets and callers that the test starts.

#pragma once

#include "ChildProcess.h"

#include <LibCore/Endpoint.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace almondwing {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;

constexpr char const *clusterName = "tz-dar";
constexpr char const *serviceName = "duka-desk";
// The token of the operator "tester".
constexpr char const *operatorToken = "deployment-test-token-for-loopback";

// A configuration has to be in force on every instance within 6 s; five times as long allows for a
// shared CI machine.
constexpr char const *applyWaitSeconds = "30";

struct InstanceSpec
{
    std::string name;
    std::string failureDomain;
    bool isControl = false;
    // Listen endpoints, named as in the [listen] table of the settings.
    Endpoint entry;
    Endpoint target;
    Endpoint peer;
    Endpoint http;

    friend bool operator==(InstanceSpec const &, InstanceSpec const &) = default;
};

struct TargetSpec
{
    std::string name;
    std::string failureDomain;
    Arguments extraArguments;

    friend bool operator==(TargetSpec const &, TargetSpec const &) = default;
};

struct TargetEndpoints
{
    Endpoint packetEndpoint;
    Endpoint httpEndpoint;

    friend bool operator==(TargetEndpoints const &, TargetEndpoints const &) = default;
};

struct CommandResult
{
    int exitCode = 0;
    std::string output;
    std::string errors;

    Json json() const { return Json::parse(this->output, nullptr, false); }

    friend bool operator==(CommandResult const &, CommandResult const &) = default;
};

class Deployment
{
public:
    // Returns once the manifest is in force on every instance.
    Deployment();
    ~Deployment();
    Deployment(Deployment const &) = delete;
    Deployment &operator=(Deployment const &) = delete;

    std::vector<InstanceSpec> const &instances() const { return this->instanceSpecs; }
    ChildProcess &process(std::string const &name) { return *this->processes.at(name); }
    std::string path(std::string const &file) const { return this->folder + "/" + file; }

    void startInstance(InstanceSpec const &spec);
    void waitUntilServing(InstanceSpec const &spec);

    void startTarget(TargetSpec const &spec);

    // Starts one target in each failure domain and a second one in the first. Returns when every instance
    // routes to all of them.
    void startFourTargets();
    void waitUntilRouted(std::vector<std::string> const &targets);

    // Waits until requests get definite outcomes. This requires warm targets, bucket tables that no longer
    // change, and either no claimed bucket or instances that have served for at least 90 s. A request in a
    // bucket that has just moved or is claimed is located first, and an instance younger than 90 s can't
    // exclude that its previous process has recorded the request, so the outcome could be OutcomeUnknown. The
    // load consists of flows, because request records would keep buckets claimed for a minute.
    void warmUpTargets();

    std::unique_ptr<ChildProcess> startCaller(Arguments const &arguments);

    // Waits until the caller has ended and returns its summary.
    Json waitForSummary(ChildProcess &caller);

    std::unique_ptr<ChildProcess> startCtl(Arguments const &arguments, std::string const &token);
    CommandResult runCtl(Arguments const &arguments);

    // Runs almondwingctl with only these instances as servers, in this order.
    CommandResult runCtlAt(std::vector<InstanceSpec> const &servers, Arguments const &arguments);
    CommandResult runCtlWithToken(Arguments const &arguments, std::string const &token);
    CommandResult waitForResult(ChildProcess &command);

    // Returns the body of the response; empty if there is none or it reports an error.
    std::string get(Endpoint server, std::string const &pathAndQuery) const;
    std::string post(Endpoint server, std::string const &pathAndQuery, std::string const &body) const;
    Json getJson(Endpoint server, std::string const &pathAndQuery) const;
    Json targetStatistics(std::string const &target) const;
    Endpoint targetPacketEndpoint(std::string const &target) const
    {
        return this->targetEndpoints.at(target).packetEndpoint;
    }
    Endpoint targetHttpEndpoint(std::string const &target) const
    {
        return this->targetEndpoints.at(target).httpEndpoint;
    }

    // Withdraws the instance from the fabric or restores it, which a real fabric does as a result of its
    // health checks.
    void controlFabric(std::string const &action, InstanceSpec const &spec) const;
    Json controlTarget(std::string const &target, std::string const &query) const;

    // The sum over all labels of a metric on one instance.
    double metric(InstanceSpec const &spec, std::string const &name) const;
    double metricSum(std::string const &name) const;

    // How often each request of a caller ran, by its number, according to the ledgers of all targets.
    std::map<std::uint64_t, int> runCounts(std::uint64_t callerId) const;

private:
    std::unique_ptr<ChildProcess> start(std::string const &name, ProcessSpec spec);
    std::unique_ptr<ChildProcess> startCtlAt(std::vector<InstanceSpec> const &servers,
                                             Arguments const &arguments, std::string const &token);
    bool hasOnlyWarmTargets() const;
    std::vector<Json> bucketTables() const;
    bool hasNoClaims() const;
    void writeSettings(InstanceSpec const &spec, std::string const &tokenHash) const;
    std::string hashToken();

    std::string folder;
    std::vector<InstanceSpec> instanceSpecs;
    Endpoint service;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes; // Instances, targets and the fabric.
    std::map<std::string, TargetEndpoints> targetEndpoints;
    Endpoint fabricControlEndpoint;
    // When waitUntilServing() last found an instance serving.
    std::chrono::steady_clock::time_point lastServingStart;
    int startedCount = 0; // Number of processes started; makes the names of their output files unique.
};

} // namespace almondwing
