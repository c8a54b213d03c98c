// An entry: it forwards the packets of callers to targets by their tokens, and answers the fabric whether it
// is ready. Encodings of packets are an adapter's.

#pragma once

#include <LibFrontEnd/HttpServer.h>
#include <LibFrontEnd/ListenerCheck.h>
#include <LibFrontEnd/Metrics.h>
#include <LibFrontEnd/UdpSocket.h>
#include <LibNode/HeldPackets.h>
#include <LibNode/ViewFollower.h>
#include <LibTokenRouting/TokenRouter.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace almondwing {

struct PacketAdapter
{
    // Nothing for bytes that are no packet.
    std::function<std::optional<FlowPacket>(std::string_view)> decode;
    // The datagram for the target: its number, and the packet with the token.
    std::function<std::string(std::string_view packet, ForwardPacket const &)> encodeForward;
    // The packet that ends the flow at the caller.
    std::function<std::string(FlowPacket const &)> encodeReset;
    // The path at which the fabric asks whether the entry is ready.
    std::string readinessPath;
};

struct EntryCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t reset = 0;
    std::uint64_t held = 0;
    std::uint64_t dropped = 0;
    std::uint64_t undecodable = 0;

    friend bool operator==(EntryCounters const &, EntryCounters const &) = default;
};

// What decides when an entry that was asked to stop may end.
struct EntryDrain
{
    Timestamp begunAt;
    Timestamp lastPacketAt;
    Duration stopTimeout; // Until the process is killed.
    // 0 to 1, drawn for each stop: the part of the time beyond the shortest drain that packets may still
    // come. Entries that stop together then end one after another, and the first is back before the last
    // ends.
    double patience = 1;

    friend bool operator==(EntryDrain const &, EntryDrain const &) = default;
};

// Answers this load: more than half of the entries of a failure domain stop within seconds, so that the
// fabric goes on sending to all of them. An entry that still gets packets forwards them until shortly before
// it is killed.
bool isDrainOver(EntryDrain const &drain, Timestamp now);

class EntryNode
{
public:
    EntryNode(IoRuntime &ioRuntime, NodeSettings nodeSettings, PacketAdapter packetAdapter,
              EventReporter eventReporter);

    absl::Status open();
    void start();

    // From now on the fabric is told to send elsewhere; packets that still come are forwarded.
    void beginStop(Timestamp now);

    // Whether no more packets are expected after beginStop().
    bool isDrained(Timestamp now) const;

    void addSeeds(std::vector<Endpoint> const &seeds) { this->follower.addSeeds(seeds); }

    bool isReady() const;
    EntryCounters counters() const;
    ViewFreshness freshness() const { return this->follower.freshness(); }
    LatencyHistogram const &establishLatency() const { return this->establishing; }
    LatencyHistogram const &holdLatency() const { return this->holding; }

private:
    struct PacketTimes
    {
        Timestamp arrivedAt;
        Timestamp now; // Later than arrivedAt if the packet was held.
    };

    void handleDatagram(std::string_view datagram, PacketTimes times);
    void act(std::string_view datagram, FlowPacket const &packet, ForwardPacket const &decision,
             PacketTimes times);
    void act(std::string_view datagram, FlowPacket const &packet, ResetFlow const &decision,
             PacketTimes times);
    void act(std::string_view datagram, FlowPacket const &packet, HoldPacket const &decision,
             PacketTimes times);
    void act(std::string_view datagram, FlowPacket const &packet, DropPacket const &decision,
             PacketTimes times);
    void retryHeld();
    void noteDropped(FlowPacket const &packet, std::string_view reason);
    void noteEstablished(FlowPacket const &packet, ViewTarget const &target, Duration after);
    std::string describe(FlowPacket const &packet) const;
    void checkTarget(ViewTarget const &target);
    void recordCheckResult(ViewTarget const &checked, ListenerState state);

    IoRuntime &runtime;
    NodeSettings settings;
    PacketAdapter adapter;
    EventReporter report;
    TokenBlackboard board;
    TokenRouter router;
    HeldPackets held;
    ViewFollower follower;
    Cell<std::vector<TargetActivity>> activity;
    std::shared_ptr<UdpSocket> socket;
    std::shared_ptr<HttpServer> readiness;
    LatencyHistogram establishing; // From the opening packet to the next one of the flow.
    LatencyHistogram holding; // Of packets that were held and then decided.
    std::atomic<bool> isStopping{false};
    std::atomic<Timestamp> stopBegunAt{Timestamp{}};
    std::atomic<double> stopPatience{1};
    std::atomic<Timestamp> lastPacketAt{Timestamp{}};
    std::atomic<std::uint64_t> forwarded{0};
    std::atomic<std::uint64_t> resets{0};
    std::atomic<std::uint64_t> holds{0};
    std::atomic<std::uint64_t> drops{0};
    std::atomic<std::uint64_t> undecodable{0};
};

} // namespace almondwing
