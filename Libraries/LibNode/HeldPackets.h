// Packets that can't be decided yet: the instance has just started, or has not heard of their target. They
// wait a short time for the view and are decided again.

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
    std::size_t packets = 256; // About 1.3 KB each.
    // Callers repeat opening packets for 1.4 s and data at growing intervals; a packet that waits longer than
    // that is a repeat of one that came again.
    Duration longestWait = 1s;

    friend bool operator==(HeldPacketLimits const &, HeldPacketLimits const &) = default;
};

class HeldPackets
{
public:
    explicit HeldPackets(HeldPacketLimits heldLimits) : limits(heldLimits) { }

    struct Held
    {
        std::string packet;
        Timestamp arrivedAt;

        friend bool operator==(Held const &, Held const &) = default;
    };

    struct Taken
    {
        std::vector<Held> waiting; // Oldest first.
        std::vector<Held> expired; // Waited too long and are lost.

        friend bool operator==(Taken const &, Taken const &) = default;
    };

    // Returns false if no more packets fit; the packet is lost then.
    bool hold(std::string_view packet, Timestamp arrivedAt, Timestamp now);

    Taken takeAll(Timestamp now);

    std::size_t size() const;

private:
    HeldPacketLimits limits;
    mutable std::mutex mutex; // Guards held.
    std::deque<Held> held; // Oldest first; at most limits.packets.
    std::vector<Held> expired; // Made room in `held` and were not taken yet; empty after takeAll().
};

} // namespace almondwing
