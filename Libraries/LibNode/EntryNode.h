// An entry: it forwards the packets of callers to targets by their tokens and answers the readiness checks of
// the fabric, which is the network that distributes the packets of callers over the ready entries. An adapter
// encodes and decodes packets.

#pragma once

#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/ListenerCheck.h>
#include <LibFrontEnd/Metrics.h>
#include <LibFrontEnd/UdpSocket.h>
#include <LibNode/HeldPackets.h>
#include <LibNode/ViewClient.h>
#include <LibTokenRouting/TokenRouter.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace almondwing {

struct PacketAdapter
{
    // Returns nothing for bytes that are not a packet.
    std::function<std::optional<FlowPacket>(std::string_view)> decode;
    // Returns the datagram for the target: the target's number and the packet with the token.
    std::function<std::string(std::string_view packet, ForwardPacket const &)> encodeForward;
    // Returns the packet that ends the flow at the caller.
    std::function<std::string(FlowPacket const &)> encodeReset;
    // The HTTP path of the fabric's readiness checks.
    std::string readinessPath;
};

struct EntryCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t reset = 0;
    std::uint64_t held = 0;
    std::uint64_t dropped = 0;
    std::uint64_t undecodable = 0;
    std::uint64_t openingsRepeated = 0; // At another target, before the caller retransmitted them.
    std::uint64_t repeatsWithheld = 0; // By the limit of the operator.

    friend bool operator==(EntryCounters const &, EntryCounters const &) = default;
};

// The state that decides when a stopping entry may exit.
struct EntryDrain
{
    Timestamp begunAt;
    Timestamp lastPacketAt;
    Duration stopTimeout; // From the request to stop until the process is killed.
    // 0 to 1, random for each stop. Determines how long an entry that still receives packets drains: 0 stands
    // for the minimum time, 1 for the longest time that the stop timeout allows. This spreads the exits of
    // entries that are stopped together, so that usually some are back before the others exit.
    double jitter = 1;

    friend bool operator==(EntryDrain const &, EntryDrain const &) = default;
};

// Returns whether the entry may exit: after the minimum drain time once no packets arrive, or after the time
// that `jitter` determines even if they do. It waits for packets to cease because the fabric continues to
// send to all entries of a failure domain if more than half of them stop within seconds.
bool isDrainOver(EntryDrain const &drain, Timestamp now);

class EntryNode
{
public:
    EntryNode(IoRuntime &ioRuntime, NodeSettings nodeSettings, PacketAdapter packetAdapter,
              EventReporter eventReporter);

    absl::Status open();
    void start();

    // Readiness checks fail from now on. Packets that still arrive are forwarded.
    void beginStop(Timestamp now);

    // Whether the drain that beginStop() started is over.
    bool isDrained(Timestamp now) const;

    void addSeeds(std::vector<Endpoint> const &seeds) { this->viewClient.addSeeds(seeds); }

    bool isReady() const;
    EntryCounters counters() const;
    ViewFreshness freshness() const { return this->viewClient.freshness(); }
    LatencyHistogram const &establishLatency() const { return this->establishLatencies; }
    LatencyHistogram const &holdLatency() const { return this->holdLatencies; }

private:
    struct PacketTimes
    {
        Timestamp arrivedAt;
        Timestamp now; // Later than arrivedAt for a packet that was held.
    };

    void handleDatagram(std::string_view datagram, PacketTimes times);
    void execute(std::string_view datagram, FlowPacket const &packet, ForwardPacket const &decision,
                 PacketTimes times);
    void execute(std::string_view datagram, FlowPacket const &packet, ResetFlow const &decision,
                 PacketTimes times);
    void execute(std::string_view datagram, FlowPacket const &packet, HoldPacket const &decision,
                 PacketTimes times);
    void execute(std::string_view datagram, FlowPacket const &packet, DropPacket const &decision,
                 PacketTimes times);
    // Checks the target of an opening without an answer and repeats the opening if the target is gone.
    void handleLateOpening(std::string const &datagram, FlowPacket const &packet);
    void repeatOpening(std::string const &datagram, FlowPacket const &packet);
    void retryHeld();
    void reportDropped(FlowPacket const &packet, std::string_view reason);
    void reportEstablished(FlowPacket const &packet, ViewTarget const &target, Duration after);
    std::string describeFlow(FlowPacket const &packet) const;
    void checkTarget(ViewTarget const &target);
    void handleCheckResult(ViewTarget const &checked, ListenerState state);

    IoRuntime &runtime;
    NodeSettings settings;
    PacketAdapter adapter;
    EventReporter report;
    TokenBlackboard blackboard;
    TokenRouter router;
    HeldPackets heldPackets;
    ViewClient viewClient;
    Cell<std::vector<TargetActivity>> activity;
    std::shared_ptr<UdpSocket> socket;
    std::shared_ptr<HttpServer> readinessServer;
    LatencyHistogram establishLatencies; // From the opening packet to the next one of the flow.
    LatencyHistogram holdLatencies; // Time for which forwarded packets were held.
    std::atomic<bool> isStopping{false};
    std::atomic<Timestamp> stopBegunAt{Timestamp{}};
    std::atomic<double> stopJitter{1};
    std::atomic<Timestamp> lastPacketAt{Timestamp{}};
    std::atomic<std::uint64_t> forwarded{0};
    std::atomic<std::uint64_t> resets{0};
    std::atomic<std::uint64_t> holds{0};
    std::atomic<std::uint64_t> drops{0};
    std::atomic<std::uint64_t> undecodable{0};
    std::atomic<std::uint64_t> openingsRepeated{0};
    std::atomic<std::uint64_t> repeatsWithheld{0};
};

} // namespace almondwing
