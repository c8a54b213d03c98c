// Measures the processor time of routing decisions for packets of flows and, as the reference in the
// same run, of a UDP send plus receive.

#include "Experiments.h"
#include "Measuring.h"

#include <LibCore/Verify.h>
#include <LibInstance/Instance.h>
#include <LibRouting/RoutingController.h>

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t openFlowCount = 100'000;
constexpr std::size_t targetCount = 15;
constexpr std::size_t packetsPerRound = 100'000;
constexpr std::size_t newFlowsPerRound = 20'000;
constexpr int rounds = 9;
constexpr std::size_t payloadBytes = 100;
// The maximum time of a decision, as a share of the time of a UDP send plus receive.
constexpr double maxDecisionRatio = 0.1;
constexpr double maxCoreShare = 0.03;
constexpr Endpoint caller{.address = 0x7f000001, .port = 9};

// Two connected UDP sockets on loopback.
class UdpPair
{
public:
    UdpPair()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        VERIFY(this->sender >= 0 && this->receiver >= 0);
        VERIFY(bind(this->receiver, reinterpret_cast<sockaddr *>(&address), length) == 0);
        VERIFY(getsockname(this->receiver, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        VERIFY(connect(this->sender, reinterpret_cast<sockaddr *>(&address), length) == 0);
    }
    ~UdpPair()
    {
        close(this->sender);
        close(this->receiver);
    }
    UdpPair(UdpPair const &) = delete;
    UdpPair &operator=(UdpPair const &) = delete;

    void sendAndReceive()
    {
        VERIFY(send(this->sender, this->buffer.data(), payloadBytes, 0) == payloadBytes);
        VERIFY(recv(this->receiver, this->buffer.data(), this->buffer.size(), 0) == payloadBytes);
    }

private:
    int sender = socket(AF_INET, SOCK_DGRAM, 0);
    int receiver = socket(AF_INET, SOCK_DGRAM, 0);
    std::array<char, 2048> buffer{};
};

MemberRecord memberNamed(std::string const &name, std::string const &domain)
{
    return MemberRecord{
        .id = InstanceId::fromName(name), .name = name, .failureDomain = domain, .incarnation = 1};
}

// The targets of cab-link are in the failure domain of the measured instance, those of manifest-desk in
// another.
Configuration measuredConfiguration()
{
    // The connection limit is high enough for all flows of the experiment; real deployments use 2,000.
    TargetLimits const limits{.slots = 2, .connections = 100'000};
    return Configuration{
        .version = 1,
        .manifest = Manifest{.deployment = "sk-central",
                             .failureDomains = {FailureDomain{.name = "zvolen", .region = "sk"},
                                                FailureDomain{.name = "banska", .region = "sk"}},
                             .pools = {TargetPool{.name = "cabs", .limits = limits}},
                             .services = {Service{.name = "cab-link",
                                                  .address = Endpoint{.address = 0x7f000001, .port = 1},
                                                  .pool = "cabs"},
                                          Service{.name = "manifest-desk",
                                                  .address = Endpoint{.address = 0x7f000001, .port = 2},
                                                  .pool = "cabs"}}}};
}

std::vector<TargetRecord> targetsOf(std::string const &service, std::string const &domain, std::uint16_t port)
{
    std::vector<TargetRecord> records;
    for (std::size_t index = 0; index < targetCount; ++index) {
        std::string const name = fmt::format("{}-{}", service, index);
        records.push_back(
            TargetRecord{.id = TargetId::fromName(name),
                         .name = name,
                         .service = ServiceId::fromName(service),
                         .failureDomain = domain,
                         .packetEndpoint = Endpoint{.address = 0x7f000001,
                                                    .port = static_cast<std::uint16_t>(port + index)},
                         .startMark = index + 1,
                         .state = TargetState::Warm,
                         .rampLevel = 4,
                         .sequence = {.epoch = 1}});
    }
    return records;
}

// One instance with open flows. Its hooks only count the messages that it sends.
class MeasuredInstance
{
public:
    explicit MeasuredInstance(std::uint64_t seed) : random(seed)
    {
        this->instance.start(memberNamed("measured", "zvolen"), {}, this->now);
        VERIFY(this->instance.handleConfiguration(measuredConfiguration()) == InstallOutcome::Installed);
        // An instance without peers waits for the join timeout before it serves.
        for (Timestamp const end = this->now + 2 * joinTimeout; this->now < end; this->now += 50ms)
            this->instance.tick(this->now);
        VERIFY(this->instance.membershipController().canDispatch(this->now));
        this->publishView();
        for (std::size_t index = 0; index < openFlowCount; ++index) {
            FlowKey const key = this->newKey("cab-link");
            this->open(key);
            this->keys.push_back(key);
        }
        this->acceptAll();
    }

    FlowKey newKey(std::string_view service)
    {
        return FlowKey{.service = ServiceId::fromName(service), .flow = this->random()};
    }

    void open(FlowKey const &key)
    {
        this->instance.handleCallerMessage(caller, OpenFlow{.key = key}, this->now);
    }

    // Lets the target of each flow accept it. The next packet of the flow then has to write the flow record.
    void acceptAll()
    {
        auto const view = this->instance.state().routingView.read();
        for (FlowKey const &key : this->keys) {
            auto const record = this->instance.state().flows.read(key);
            VERIFY(record.has_value());
            Endpoint const from = view->findTarget(record->value.target)->record.packetEndpoint;
            this->instance.handleTargetMessage(from, FlowAccepted{.key = key}, this->now);
        }
    }

    Instance instance{InstanceSettings{}, this->countingOutbox(), [this] { return this->random(); }};
    std::vector<FlowKey> keys;
    std::mt19937_64 random;
    // Does not advance while decisions are measured, so that the lease stays valid.
    Timestamp now{1000s};
    std::size_t toTargets = 0;
    std::size_t toInstances = 0;

private:
    Outbox countingOutbox()
    {
        return Outbox{.sendToCaller = [](Endpoint, CallerReply const &) {},
                      .sendToTarget = [this](Endpoint, TargetCommand const &) { ++this->toTargets; },
                      .sendToInstance = [this](InstanceId, PeerMessage const &) { ++this->toInstances; },
                      .report = [](Event, std::string const &) {}};
    }

    void publishView()
    {
        std::vector<TargetRecord> targets = targetsOf("cab-link", "zvolen", 10'000);
        std::ranges::move(targetsOf("manifest-desk", "banska", 11'000), std::back_inserter(targets));
        std::vector<MemberRecord> const members{memberNamed("measured", "zvolen"),
                                                memberNamed("other", "banska")};
        this->instance.state().routingView.update([&](RoutingView const &current) {
            return buildRoutingView(current, measuredConfiguration(), members, targets, this->now);
        });
    }
};

// Processor time per call, in nanoseconds, over `count` calls.
double nanosecondsPerCall(std::size_t count, std::function<void(std::size_t)> const &call)
{
    auto const start = threadCpuTime();
    for (std::size_t index = 0; index < count; ++index)
        call(index);
    return static_cast<double>((threadCpuTime() - start).count()) / static_cast<double>(count);
}

// Processor time per decision, in nanoseconds, without the time for building the messages. Small batches keep
// the messages in the cache, as messages that have just been received are.
template<typename Build, typename Decide>
double nanosecondsPerDecision(std::size_t count, Build const &build, Decide const &decide)
{
    constexpr std::size_t batchSize = 200;
    std::chrono::nanoseconds total{};
    for (std::size_t begin = 0; begin < count; begin += batchSize) {
        std::vector<decltype(build(begin))> messages;
        for (std::size_t index = begin; index < begin + batchSize; ++index)
            messages.push_back(build(index));
        auto const start = threadCpuTime();
        for (auto &message : messages)
            decide(std::move(message));
        total += threadCpuTime() - start;
    }
    return static_cast<double>(total.count()) / static_cast<double>(count);
}

struct DecisionSamples
{
    std::string name;
    std::vector<double> samples;
};

struct Decisions
{
    DecisionSamples known{.name = "(a) data, known flow, serveIfKnown"};
    DecisionSamples written{.name = "(a) the same, first packet after an answer (writes the record)"};
    DecisionSamples routed{.name = "(a) data, known flow, through CallerRouter"};
    DecisionSamples forwardOnly{.name = "(b) data at an entry instance, decideForwarded alone"};
    DecisionSamples forwarded{.name = "(b) data at an entry instance, through CallerRouter"};
    DecisionSamples opened{.name = "(c) open of a new flow, through CallerRouter"};

    std::vector<DecisionSamples> all() const
    {
        return {this->known, this->written, this->routed, this->forwardOnly, this->forwarded, this->opened};
    }
};

void measureKnownFlows(MeasuredInstance &measured, std::string const &payload, Decisions &decisions)
{
    FlowController flows(measured.instance.state(),
                         Outbox{.sendToCaller = [](Endpoint, CallerReply const &) {},
                                .sendToTarget = [](Endpoint, TargetCommand const &) {},
                                .sendToInstance = [](InstanceId, PeerMessage const &) {},
                                .report = [](Event, std::string const &) {}});
    std::ranges::shuffle(measured.keys, measured.random);
    measured.acceptAll();
    auto const build = [&](std::size_t index) {
        return FlowArrival{.caller = caller,
                           .message = FlowData{.key = measured.keys[index], .payload = payload}};
    };
    auto const serve = [&](FlowArrival &&arrival) {
        VERIFY(flows.serveIfKnown(std::move(arrival), measured.now));
    };
    decisions.written.samples.push_back(nanosecondsPerDecision(packetsPerRound, build, serve));
    decisions.known.samples.push_back(nanosecondsPerDecision(packetsPerRound, build, serve));
    decisions.routed.samples.push_back(nanosecondsPerDecision(
        packetsPerRound,
        [&](std::size_t index) {
            return CallerMessage(FlowData{.key = measured.keys[index], .payload = payload});
        },
        [&](CallerMessage &&message) {
            measured.instance.handleCallerMessage(caller, std::move(message), measured.now);
        }));
}

void measureForwarded(MeasuredInstance &measured, std::string const &payload, Decisions &decisions)
{
    auto const build = [&](std::size_t) {
        return CallerMessage(FlowData{.key = measured.newKey("manifest-desk"), .payload = payload});
    };
    std::size_t const before = measured.toInstances;
    decisions.forwarded.samples.push_back(
        nanosecondsPerDecision(packetsPerRound, build, [&](CallerMessage &&message) {
            measured.instance.handleCallerMessage(caller, std::move(message), measured.now);
        }));
    VERIFY(measured.toInstances == before + packetsPerRound);
    InstanceId const self = InstanceId::fromName("measured");
    auto const &blackboard = measured.instance.state();
    decisions.forwardOnly.samples.push_back(
        nanosecondsPerDecision(packetsPerRound, build, [&](CallerMessage &&message) {
            auto const view = blackboard.routingView.read();
            auto const decision =
                decideForwarded(*view, self, Forwarded{.caller = caller, .message = std::move(message)});
            VERIFY(decision.kind == ForwardDecisionKind::Forward);
        }));
}

void measureNewFlows(MeasuredInstance &measured, Decisions &decisions)
{
    std::vector<FlowKey> keys;
    for (std::size_t index = 0; index < newFlowsPerRound; ++index)
        keys.push_back(measured.newKey("cab-link"));
    std::size_t const before = measured.toTargets;
    decisions.opened.samples.push_back(nanosecondsPerDecision(
        newFlowsPerRound, [&](std::size_t index) { return CallerMessage(OpenFlow{.key = keys[index]}); },
        [&](CallerMessage &&message) {
            measured.instance.handleCallerMessage(caller, std::move(message), measured.now);
        }));
    VERIFY(measured.toTargets == before + newFlowsPerRound);
    // Closes the flows, so that each round starts with the same number of open flows.
    for (FlowKey const &key : keys)
        measured.instance.handleCallerMessage(caller, CloseFlow{.key = key}, measured.now);
}

std::vector<std::string> decisionRow(DecisionSamples const &decision,
                                     std::vector<double> const &udpNanoseconds)
{
    std::vector<double> ratios;
    for (std::size_t round = 0; round < udpNanoseconds.size(); ++round)
        ratios.push_back(decision.samples[round] / udpNanoseconds[round]);
    SampleSummary const time = summarize(decision.samples);
    SampleSummary const ratio = summarize(ratios);
    return {decision.name,
            fmt::format("{:.0f}", time.median),
            fmt::format("{:.0f} to {:.0f}", time.minimum, time.maximum),
            fmt::format("{:.3f}", ratio.median),
            fmt::format("{:.3f} to {:.3f}", ratio.minimum, ratio.maximum),
            ratio.median <= maxDecisionRatio ? "yes" : "no"};
}

// Measures the periodic work of an instance with open flows and no traffic.
ReportTable measureTicks(MeasuredInstance &measured)
{
    constexpr Duration tickInterval = 25ms;
    constexpr std::size_t ticks = 200;
    double const total = static_cast<double>(ticks) * nanosecondsPerCall(ticks, [&](std::size_t) {
                             measured.now += tickInterval;
                             measured.instance.tick(measured.now);
                         });
    double const share = total / (static_cast<double>(ticks) * 25e6);
    return ReportTable{
        .title = "Periodic work of the idle instance with these flows (target: 3% of a core)",
        .columns = {"ticks of 25 ms", "microseconds a tick", "share of a core, %", "target met"},
        .rows = {{fmt::format("{}", ticks), fmt::format("{:.0f}", total / static_cast<double>(ticks) / 1000),
                  fmt::format("{:.1f}", 100 * share), share <= maxCoreShare ? "yes" : "no"}}};
}

} // namespace

Report runPacketExperiment(std::uint64_t seed)
{
    MeasuredInstance measured(seed);
    UdpPair udp;
    std::string const payload(payloadBytes, 'x');
    std::vector<double> udpNanoseconds;
    Decisions decisions;
    for (int round = 0; round < rounds; ++round) {
        udpNanoseconds.push_back(
            nanosecondsPerCall(packetsPerRound, [&](std::size_t) { udp.sendAndReceive(); }));
        measureKnownFlows(measured, payload, decisions);
        measureForwarded(measured, payload, decisions);
        measureNewFlows(measured, decisions);
    }
    SampleSummary const udpSummary = summarize(udpNanoseconds);
    ReportTable table{
        .title = fmt::format("Processor time, median of {} rounds, {} open flows, {} targets, "
                             "{} bytes of payload, flows in random order",
                             rounds, openFlowCount, targetCount, payloadBytes),
        .columns = {"operation", "ns", "range of ns", "ratio to the UDP pair of its round",
                    "range of the ratio", "target (0.1) met"},
        .rows = {{"UDP send plus receive on loopback", fmt::format("{:.0f}", udpSummary.median),
                  fmt::format("{:.0f} to {:.0f}", udpSummary.minimum, udpSummary.maximum), "1", "", ""}}};
    for (DecisionSamples const &decision : decisions.all())
        table.rows.push_back(decisionRow(decision, udpNanoseconds));
    return Report{.experiment = "packets",
                  .seed = seed,
                  .tables = {table, measureTicks(measured)},
                  .notes = {"One thread. Hooks only count, the time argument stands still. Copies that the "
                            "decision makes of the message are included; building the message and the codec "
                            "are not."}};
}

} // namespace almondwing
