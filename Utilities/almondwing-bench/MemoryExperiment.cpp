// Measures the heap bytes per entry of an instance's blackboard.

#include "Experiments.h"
#include "HeapGrowth.h"

#include <LibRouting/RoutingController.h>
#include <LibState/Blackboard.h>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t claimedBucketCount = bucketCount / 15; // All buckets of a target, with 15 targets.
constexpr std::size_t targetsPerService = 4; // The design size has about 4,500 targets and 1,100 services.
constexpr std::size_t requestPayloadBytes = 200;

using Random = std::mt19937_64;

struct EntryType
{
    std::string name;
    std::vector<std::size_t> sizes;
    std::function<void(Blackboard &, Random &, std::size_t count)> fill;
};

FlowKey randomFlow(Random &random)
{
    return FlowKey{.service = ServiceId::fromName("cab-link"), .flow = random()};
}

void fillFlows(Blackboard &blackboard, Random &random, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        blackboard.flows.write(randomFlow(random), FlowRecord{.target = TargetId{random()}}, 0);
}

void fillRedirects(Blackboard &blackboard, Random &random, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        blackboard.redirects.write(randomFlow(random), FlowRedirect{.target = TargetId{random()}}, 0);
}

void fillClaims(Blackboard &blackboard, Random &random, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        TargetId const target{random()};
        ClaimUpdate claim{.target = target};
        claim.buckets.assign(claimedBucketCount, 0);
        for (std::size_t bucket = 0; bucket < claimedBucketCount; ++bucket)
            claim.buckets[bucket] = static_cast<std::uint16_t>(bucket);
        blackboard.claims.write(target, std::move(claim), 0);
    }
}

void fillRequests(Blackboard &blackboard, Random &random, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        RequestKey const key{
            .service = ServiceId::fromName("manifest-desk"), .caller = random(), .number = index};
        RequestRecord record{.target = TargetId{random()}, .phase = RequestPhase::Running};
        record.payload = std::make_shared<std::string const>(requestPayloadBytes, 'x');
        record.group = {InstanceId{1}, InstanceId{2}, InstanceId{3}};
        record.storedBy = {InstanceId{1}, InstanceId{2}};
        blackboard.requests.write(key, std::move(record), 0);
    }
}

TargetRecord targetOf(std::size_t service, std::size_t index)
{
    std::string const name = fmt::format("service-{}-target-{}", service, index);
    return TargetRecord{.id = TargetId::fromName(name),
                        .name = name,
                        .service = ServiceId::fromName(fmt::format("service-{}", service)),
                        .failureDomain = "zvolen",
                        .startMark = 1,
                        .state = TargetState::Warm,
                        .rampLevel = 4,
                        .sequence = {.epoch = 1}};
}

// Keeps only the routing view. The configuration and the target records that it is built from are freed.
void fillServices(Blackboard &blackboard, Random &, std::size_t count)
{
    Configuration configuration{.version = 1};
    configuration.manifest.failureDomains = {FailureDomain{.name = "zvolen", .region = "sk"}};
    configuration.manifest.pools = {TargetPool{.name = "cabs", .limits = {.slots = 2, .connections = 2000}}};
    std::vector<TargetRecord> targets;
    for (std::size_t service = 0; service < count; ++service) {
        configuration.manifest.services.push_back(
            Service{.name = fmt::format("service-{}", service), .pool = "cabs"});
        for (std::size_t index = 0; index < targetsPerService; ++index)
            targets.push_back(targetOf(service, index));
    }
    std::vector<MemberRecord> members;
    for (std::string const name : {"instance-0", "instance-1", "instance-2"})
        members.push_back(
            MemberRecord{.id = InstanceId::fromName(name), .name = name, .failureDomain = "zvolen"});
    blackboard.routingView.update([&](RoutingView const &current) {
        return buildRoutingView(current, configuration, members, targets, Timestamp{1000s});
    });
}

std::vector<EntryType> entryTypes()
{
    return {
        EntryType{"open flow", {10'000, 20'000, 40'000, 80'000, 160'000}, fillFlows},
        EntryType{"redirect", {10'000, 20'000, 40'000, 80'000}, fillRedirects},
        EntryType{
            fmt::format("claim of {} buckets", claimedBucketCount), {500, 1'000, 2'000, 4'000}, fillClaims},
        EntryType{fmt::format("service table with {} targets", targetsPerService),
                  {100, 200, 400, 800},
                  fillServices},
        EntryType{fmt::format("running request record, {} bytes of payload", requestPayloadBytes),
                  {5'000, 10'000, 20'000, 40'000},
                  fillRequests},
    };
}

double heapGrowthOf(EntryType const &entry, std::size_t count, std::uint64_t seed)
{
    Random random(seed);
    auto const blackboard = std::make_unique<Blackboard>();
    double const before = heapBytesInUse();
    entry.fill(*blackboard, random, count);
    return heapBytesInUse() - before;
}

} // namespace

Report runMemoryExperiment(std::uint64_t seed)
{
    std::vector<HeapGrowthCase> cases;
    for (EntryType const &entry : entryTypes()) {
        cases.push_back(HeapGrowthCase{
            .name = entry.name, .sizes = entry.sizes, .measureGrowth = [entry, seed](std::size_t count) {
                return heapGrowthOf(entry, count, seed);
            }});
    }
    return Report{.experiment = "memory",
                  .seed = seed,
                  .tables = {heapGrowthTable(cases)},
                  .notes = {"Bytes as the allocator counts them, with its overhead and the hash tables' "
                            "arrays, whose growth in steps widens the ranges. The service table is the "
                            "routing view alone, without the target records on the blackboard."}};
}

} // namespace almondwing
