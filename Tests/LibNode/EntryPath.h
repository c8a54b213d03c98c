// A path from a caller through entries to a target over loopback. Packets are texts.

#pragma once

#include "NodeFixture.h"

#include <fmt/format.h>

#include <sstream>

namespace almondwing {

// Decodes "open|data|foreign port token [copy]" as a packet to 198.18.0.1, and "elsewhere port token [copy]"
// as one to an address without a route.
inline std::optional<FlowPacket> decodeTestPacket(std::string_view text)
{
    std::istringstream words{std::string(text)};
    std::string kind;
    std::uint16_t port = 0;
    std::uint32_t token = 0;
    if (!(words >> kind >> port >> token))
        return std::nullopt;
    std::uint32_t copy = 0;
    words >> copy;
    std::uint32_t const service = kind == "elsewhere" ? 0xc6120009 : 0xc6120001;
    return FlowPacket{.flow = ConnectionKey{.caller = Endpoint{.address = 0x7f000001, .port = port},
                                            .service = Endpoint{.address = service, .port = 443}},
                      .kind = kind == "data"  ? PacketKind::Data
                          : kind == "foreign" ? PacketKind::NotFromCaller
                                              : PacketKind::Open,
                      .token = TargetToken{token},
                      .acknowledgement = copy};
}

inline PacketAdapter testPacketAdapter()
{
    return PacketAdapter{.decode = decodeTestPacket,
                         .encodeForward =
                             [](std::string_view packet, ForwardPacket const &decision) {
                                 return fmt::format("{}:{}:{}", decision.target.value, decision.token.value,
                                                    packet);
                             },
                         .encodeReset = [](FlowPacket const &) { return std::string("reset"); },
                         .readinessPath = "/ready"};
}

struct EntryPath
{
    EntryPath()
    {
        auto opened = UdpSocket::open(this->fixture.running.runtime, anyLoopbackPort);
        CPPUNIT_ASSERT(opened.ok());
        this->target = *opened;
        this->target->receive([this](Endpoint, std::string_view datagram) {
            std::scoped_lock const lock(this->mutex);
            this->received.emplace_back(datagram);
        });
        this->fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        Timestamp const now{1h};
        RegisteredTarget const record{.number = TargetNumber{7},
                                      .service = "orders",
                                      .failureDomain = "dar-a",
                                      .endpoint = this->target->localEndpoint(),
                                      .reportVersion =
                                          ReportVersion{.startUnixMilliseconds = 100, .sequence = 1},
                                      .lastSeenAt = now,
                                      .coldUntil = now};
        this->fixture.callUntilSuccess("/heartbeat", formatTargets({record}, now));
    }

    ~EntryPath() { this->fixture.running.stop(); }
    EntryPath(EntryPath const &) = delete;
    EntryPath &operator=(EntryPath const &) = delete;

    // Uses the seeds of the fixture if none are given. Doesn't wait until the entry is ready.
    EntryNode &openEntry(Endpoint packets, Endpoint readiness, std::vector<Endpoint> const &seeds = {})
    {
        this->entries.push_back(
            std::make_unique<EntryNode>(this->fixture.running.runtime,
                                        NodeSettings{.instance = "entry",
                                                     .failureDomain = "dar-a",
                                                     .packets = packets,
                                                     .readiness = readiness,
                                                     .seeds = seeds.empty() ? this->fixture.seeds : seeds},
                                        testPacketAdapter(), this->fixture.events.reporter()));
        EntryNode &entry = *this->entries.back();
        CPPUNIT_ASSERT(entry.open().ok());
        entry.start();
        return entry;
    }

    EntryNode &startEntry(Endpoint packets, Endpoint readiness)
    {
        EntryNode &entry = this->openEntry(packets, readiness);
        NodeFixture::waitUntil("the entry is ready", [&] { return entry.isReady(); });
        return entry;
    }

    void send(Endpoint to, std::string const &packet) const { this->target->send(to, packet); }

    // Sends the packet repeatedly until the target has received a datagram with the expected text.
    void requireDelivered(Endpoint to, std::string const &packet, std::string const &expected)
    {
        NodeFixture::waitUntil(expected.c_str(), [&] {
            this->target->send(to, packet);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            std::scoped_lock const lock(this->mutex);
            return std::ranges::find(this->received, expected) != this->received.end();
        });
    }

    NodeFixture fixture{1};
    std::mutex mutex; // Guards received.
    std::vector<std::string> received;
    std::shared_ptr<UdpSocket> target;
    std::vector<std::unique_ptr<EntryNode>> entries;
};

} // namespace almondwing
