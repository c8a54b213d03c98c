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

class EntryNode
{
public:
    EntryNode(IoRuntime &ioRuntime, NodeSettings nodeSettings, PacketAdapter packetAdapter,
              EventReporter eventReporter);

    absl::Status open();
    void start();

    // From now on the fabric is told to send elsewhere; packets that still come are forwarded.
    void beginStop() { this->isStopping = true; }

    // How long packets may still come after beginStop().
    static Duration drainTime(NodeSettings const &settings);

    void learnSeeds(std::vector<Endpoint> const &seeds) { this->follower.learnSeeds(seeds); }

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
    void noteCheck(ViewTarget const &checked, ListenerState state);

    IoRuntime &runtime;
    NodeSettings settings;
    PacketAdapter adapter;
    EventReporter report;
    TokenBoard board;
    TokenRouter router;
    HeldPackets held;
    ViewFollower follower;
    Cell<std::vector<TargetActivity>> activity;
    std::shared_ptr<UdpSocket> socket;
    std::shared_ptr<HttpServer> readiness;
    LatencyHistogram establishing; // From the opening packet to the next one of the flow.
    LatencyHistogram holding; // Of packets that were held and then decided.
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> forwarded{0};
    std::atomic<std::uint64_t> resets{0};
    std::atomic<std::uint64_t> holds{0};
    std::atomic<std::uint64_t> drops{0};
    std::atomic<std::uint64_t> undecodable{0};
};

} // namespace almondwing
