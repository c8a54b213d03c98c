// Packets that can't be routed yet, because the instance has just started or its view lacks their target.
// They are held for a short time, and routed again every 100 ms and when the view changes.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

struct HeldPacketLimits
{
    std::size_t maxPackets = 256; // About 1.3 KB each.
    // Callers retransmit opening packets for 1.4 s, and data at growing intervals, so a packet that has been
    // held for longer than maxWait has been retransmitted since it arrived.
    Duration maxWait = 1s;

    friend bool operator==(HeldPacketLimits const &, HeldPacketLimits const &) = default;
};

class HeldPackets
{
public:
    explicit HeldPackets(HeldPacketLimits heldLimits) : limits(heldLimits) { }

    struct Packet
    {
        std::string packet;
        Timestamp arrivedAt;

        friend bool operator==(Packet const &, Packet const &) = default;
    };

    struct Batch
    {
        std::vector<Packet> waiting; // Oldest first.
        std::vector<Packet> expired; // Waited longer than maxWait and are dropped.

        friend bool operator==(Batch const &, Batch const &) = default;
    };

    // Returns false and drops the packet if maxPackets are held.
    bool hold(std::string_view packet, Timestamp arrivedAt, Timestamp now);

    Batch takeAll(Timestamp now);

    std::size_t size() const;

private:
    HeldPacketLimits limits;
    mutable std::mutex mutex; // Guards held and expired.
    std::deque<Packet> held; // Oldest first; at most limits.maxPackets.
    std::vector<Packet> expired; // Removed from `held` by hold() and not yet returned by takeAll().
};

} // namespace almondwing
