// Measures the processor time of routing decisions by token, and the memory that targets and flows take on an
// entry instance and in the registry of a control instance.

#include "Experiments.h"
#include "HeapGrowth.h"
#include "Measuring.h"

#include <LibCore/Verify.h>
#include <LibRegistry/TargetRegistry.h>
#include <LibTokenRouting/TokenRouter.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t targetCount = 150; // Expected number of targets of a deployment after growth.
constexpr std::size_t serviceCount = 10;
constexpr std::size_t knownFlowCount = 10'000; // Below maxRecentFlows.
constexpr int rounds = 9;
constexpr std::array failureDomains{"dar-a", "dar-b", "dar-c", "zvolen", "banska"};
constexpr Timestamp startTime{1h};

std::string serviceName(std::size_t index)
{
    return fmt::format("service-{}", index % serviceCount);
}

Endpoint serviceEndpoint(std::size_t index)
{
    return {.address = 0xc6120001U + static_cast<std::uint32_t>(index % serviceCount), .port = 443};
}

RegisteredTarget targetOf(std::size_t index)
{
    return RegisteredTarget{
        .number = TargetNumber{mixBits(index + 1)},
        .service = serviceName(index),
        .failureDomain = failureDomains[index / serviceCount % failureDomains.size()],
        .endpoint = {.address = 0x0a800000U + static_cast<std::uint32_t>(index), .port = 8080},
        .slots = 2,
        .reportVersion = {.startUnixMilliseconds = 100, .sequence = 1},
        .lastSeenAt = startTime};
}

ServingView viewOf(std::size_t targets)
{
    FlowConfiguration configuration{.version = 1, .routes = {}};
    for (std::size_t index = 0; index < serviceCount; ++index)
        configuration.routes.push_back(FlowRoute{.endpoint = serviceEndpoint(index),
                                                 .services = {WeightedService{serviceName(index), 1}}});
    std::vector<ViewTarget> viewTargets;
    viewTargets.reserve(targets);
    for (std::size_t index = 0; index < targets; ++index)
        viewTargets.push_back(ViewTarget{.target = targetOf(index), .token = {}});
    ServingView view = makeServingView(configuration, std::move(viewTargets), {});
    view.isRegistryComplete = true;
    return view;
}

// An entry instance with all targets in its view. Its time does not advance while decisions are measured.
class MeasuredEntryInstance
{
public:
    explicit MeasuredEntryInstance(std::uint64_t seed) : random(seed)
    {
        this->blackboard.view.update([](ServingView const &) { return viewOf(targetCount); });
    }

    FlowPacket openingPacket()
    {
        Endpoint const caller{.address = static_cast<std::uint32_t>(this->random()),
                              .port = static_cast<std::uint16_t>(this->random())};
        return FlowPacket{.flow = {.caller = caller, .service = serviceEndpoint(this->random())},
                          .kind = PacketKind::Open,
                          .token = {},
                          .sequence = 1000};
    }

    // Opens a flow with the given packet and returns a data packet of it with the token of its target.
    FlowPacket dataPacket(FlowPacket const &opening)
    {
        auto const decision = this->router.decide(opening, this->now);
        FlowPacket packet = opening;
        packet.kind = PacketKind::Data;
        packet.token = std::get<ForwardPacket>(decision).token;
        packet.sequence = 1001;
        packet.acknowledgement = 1;
        packet.length = 100;
        return packet;
    }

    void decide(FlowPacket const &packet)
    {
        VERIFY(std::holds_alternative<ForwardPacket>(this->router.decide(packet, this->now)));
    }

    std::vector<FlowPacket> openingPackets(std::size_t count)
    {
        std::vector<FlowPacket> packets;
        packets.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
            packets.push_back(this->openingPacket());
        return packets;
    }

    std::mt19937_64 random;
    Timestamp now = startTime;

private:
    TokenBlackboard blackboard;
    TokenRouter router{
        blackboard, PlacementSettings{.failureDomain = failureDomains.front()},
        TokenRouterHooks{.random = [this] { return this->random(); },
                         .checkTarget = [](ViewTarget const &) {},
                         .flowEstablished = [](FlowPacket const &, ViewTarget const &, Duration) {}}};
};

std::vector<std::string> decisionRow(std::string const &name, SampleSummary const &time)
{
    constexpr double nanosecondsPerSecond = 1e9;
    return {name, fmt::format("{:.0f}", time.median),
            fmt::format("{:.0f} to {:.0f}", time.minimum, time.maximum),
            fmt::format("{:.2f} million", nanosecondsPerSecond / time.median / 1e6)};
}

ReportTable measureDecisions(std::uint64_t seed)
{
    ReportTable table{
        .title = fmt::format("Decisions of one thread, {} targets, flows in random order", targetCount),
        .columns = {"packet", "ns", "range of ns", "decisions a second of a core"}};
    MeasuredEntryInstance entry(seed);
    std::vector<FlowPacket> knownPackets;
    knownPackets.reserve(knownFlowCount);
    for (FlowPacket const &opening : entry.openingPackets(knownFlowCount))
        knownPackets.push_back(entry.dataPacket(opening));
    std::ranges::shuffle(knownPackets, entry.random);
    table.rows.push_back(decisionRow(
        "data with a token, the flow was seen here before",
        measureCalls(rounds, knownFlowCount, [&](std::size_t index) { entry.decide(knownPackets[index]); })));

    // Each round uses new entry instances, which have seen none of the flows.
    std::vector<double> openTimes;
    std::vector<double> firstSeenTimes;
    for (int round = 0; round < rounds; ++round) {
        MeasuredEntryInstance fresh(seed + static_cast<std::uint64_t>(round));
        auto const openings = fresh.openingPackets(knownFlowCount);
        openTimes.push_back(measureCalls(1, knownFlowCount, [&](std::size_t index) {
                                fresh.decide(openings[index]);
                            }).median);
        MeasuredEntryInstance other(seed + static_cast<std::uint64_t>(round));
        firstSeenTimes.push_back(measureCalls(1, knownFlowCount, [&](std::size_t index) {
                                     other.decide(knownPackets[index]);
                                 }).median);
    }
    table.rows.push_back(decisionRow("data with a token, the first packet of the flow here",
                                     summarize(std::move(firstSeenTimes))));
    table.rows.push_back(decisionRow("opening of a new flow", summarize(std::move(openTimes))));
    return table;
}

ReportTable measureMemory(std::uint64_t seed)
{
    std::vector<std::size_t> const sizes{150, 500, 1'500, 4'500};
    auto const view = [](std::size_t count) {
        double const before = heapBytesInUse();
        auto const built = std::make_unique<ServingView>(viewOf(count));
        return heapBytesInUse() - before;
    };
    auto const registry = [](std::size_t count) {
        double const before = heapBytesInUse();
        auto const built = std::make_unique<TargetRegistry>(RegistrySettings{});
        for (std::size_t index = 0; index < count; ++index)
            built->merge(targetOf(index), startTime);
        return heapBytesInUse() - before;
    };
    auto const flows = [seed](std::size_t count) {
        MeasuredEntryInstance entry(seed);
        auto const openings = entry.openingPackets(count);
        double const before = heapBytesInUse();
        for (FlowPacket const &opening : openings)
            entry.decide(opening);
        return heapBytesInUse() - before;
    };
    return heapGrowthTable({
        HeapGrowthCase{.name = "target in the view of an entry", .sizes = sizes, .measureGrowth = view},
        HeapGrowthCase{.name = "target in the registry of a control instance",
                       .sizes = sizes,
                       .measureGrowth = registry},
        HeapGrowthCase{.name = "flow noted at an entry (at most 16,384 are)",
                       .sizes = {2'000, 4'000, 8'000, 16'000},
                       .measureGrowth = flows},
    });
}

} // namespace

Report runTokenExperiment(std::uint64_t seed)
{
    return Report{.experiment = "tokens",
                  .seed = seed,
                  .tables = {measureDecisions(seed), measureMemory(seed)},
                  .notes = {"One thread; time stands still. Reading and writing packets is not included. The "
                            "row of flows includes the passive health records of the 150 targets, which are "
                            "written when a flow is opened."}};
}

} // namespace almondwing
