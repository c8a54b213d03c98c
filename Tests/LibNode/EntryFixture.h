// Sends packets of a caller through entries to a target over loopback. Packets are texts.

#pragma once

#include "NodeFixture.h"

#include <fmt/format.h>

#include <sstream>

namespace almondwing {

// Decodes "open|data|foreign port token [copy [length]]" as a packet to 198.18.0.1, and "elsewhere ..." as
// one to an address without a route.
inline std::optional<FlowPacket> decodeTestPacket(std::string_view text)
{
    std::istringstream words{std::string(text)};
    std::string kind;
    std::uint16_t port = 0;
    std::uint32_t token = 0;
    if (!(words >> kind >> port >> token))
        return std::nullopt;
    std::uint32_t copy = 0;
    std::uint16_t length = 0;
    words >> copy >> length;
    std::uint32_t const service = kind == "elsewhere" ? 0xc6120009 : 0xc6120001;
    return FlowPacket{.flow = ConnectionKey{.caller = Endpoint{.address = 0x7f000001, .port = port},
                                            .service = Endpoint{.address = service, .port = 443}},
                      .kind = kind == "data"  ? PacketKind::Data
                          : kind == "foreign" ? PacketKind::NotFromCaller
                                              : PacketKind::Open,
                      .token = TargetToken{token},
                      .acknowledgement = copy,
                      .length = length};
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

struct EntryFixture
{
    EntryFixture()
    {
        auto opened = UdpSocket::open(this->nodeFixture.running.runtime, anyLoopbackPort);
        CPPUNIT_ASSERT(opened.ok());
        this->testSocket = *opened;
        this->testSocket->receive([this](Endpoint, std::string_view datagram) {
            std::scoped_lock const lock(this->mutex);
            this->received.emplace_back(datagram);
        });
        this->nodeFixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        Timestamp const now{1h};
        RegisteredTarget const record{.number = TargetNumber{7},
                                      .service = "orders",
                                      .failureDomain = "dar-a",
                                      .endpoint = this->testSocket->localEndpoint(),
                                      .reportVersion =
                                          ReportVersion{.startUnixMilliseconds = 100, .sequence = 1},
                                      .lastSeenAt = now,
                                      .coldUntil = now};
        this->nodeFixture.callUntilSuccess("/heartbeat", formatTargets({record}, now));
    }

    ~EntryFixture() { this->nodeFixture.running.stop(); }
    EntryFixture(EntryFixture const &) = delete;
    EntryFixture &operator=(EntryFixture const &) = delete;

    // Uses the seeds of the fixture if none are given. Doesn't wait until the entry is ready.
    EntryNode &openEntry(Endpoint packets, Endpoint readiness, std::vector<Endpoint> const &seeds = {})
    {
        this->entries.push_back(std::make_unique<EntryNode>(
            this->nodeFixture.running.runtime,
            NodeSettings{.instance = "entry",
                         .failureDomain = "dar-a",
                         .packets = packets,
                         .readiness = readiness,
                         .seeds = seeds.empty() ? this->nodeFixture.seeds : seeds},
            testPacketAdapter(), this->nodeFixture.events.reporter()));
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

    void send(Endpoint to, std::string const &packet) const { this->testSocket->send(to, packet); }

    // Sends the packet repeatedly until the target has received a datagram with the expected text.
    void requireDelivered(Endpoint to, std::string const &packet, std::string const &expected)
    {
        NodeFixture::waitUntil(expected.c_str(), [&] {
            this->testSocket->send(to, packet);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            std::scoped_lock const lock(this->mutex);
            return std::ranges::find(this->received, expected) != this->received.end();
        });
    }

    NodeFixture nodeFixture{1};
    std::mutex mutex; // Guards received.
    std::vector<std::string> received;
    std::shared_ptr<UdpSocket> testSocket; // Receives as the target and sends as the caller.
    std::vector<std::unique_ptr<EntryNode>> entries;
};

} // namespace almondwing
