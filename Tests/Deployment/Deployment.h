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
constexpr char const *deploymentToken = "deployment-test-token-for-loopback";

// A configuration has to be in force on every instance within 6 s (R10); five times as long allows for a
// shared CI machine.
constexpr char const *applyWaitSeconds = "30";

struct InstanceSpec
{
    std::string name;
    std::string failureDomain;
    bool isControl = false;
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
    Endpoint packets;
    Endpoint http;

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

    // Opens and closes flows until all targets are warm, the bucket tables no longer change, and either no
    // bucket is claimed or all instances have served for 90 s. Until then, a request may end as
    // OutcomeUnknown: if its bucket has just moved or is claimed, the request is located first, and an
    // instance younger than 90 s can't exclude that its previous process has recorded the request. The method
    // uses flows, because records of requests would keep buckets claimed for a minute.
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
    std::string get(Endpoint server, std::string const &target) const;
    std::string post(Endpoint server, std::string const &target, std::string const &body) const;
    Json getJson(Endpoint server, std::string const &target) const;
    Json targetStatistics(std::string const &target) const;
    Endpoint targetPackets(std::string const &target) const
    {
        return this->targetEndpoints.at(target).packets;
    }
    Endpoint targetHttp(std::string const &target) const { return this->targetEndpoints.at(target).http; }

    // Withdraws the instance from the fabric or restores it, which a real fabric does as a result of its
    // health checks.
    void controlFabric(std::string const &action, InstanceSpec const &spec) const;
    Json controlTarget(std::string const &target, std::string const &query) const;

    // The sum over all labels of a metric on one instance.
    double metric(InstanceSpec const &spec, std::string const &name) const;
    double metricSum(std::string const &name) const;

    // How often each request of a caller ran, by its number, according to the ledgers of all targets.
    std::map<std::uint64_t, int> runCounts(std::uint64_t caller) const;

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
    std::chrono::steady_clock::time_point servingSince; // Last time that an instance was seen to start.
    int startedCount = 0; // Number of processes started; makes the names of their output files unique.
};

} // namespace almondwing
