// Implements packets that wait for the view.

#include <LibNode/HeldPackets.h>

#include <utility>

namespace almondwing {

bool HeldPackets::hold(std::string_view packet, Timestamp arrivedAt, Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    while (!this->held.empty() && now - this->held.front().arrivedAt > this->limits.longestWait)
        this->held.pop_front();
    if (this->held.size() >= this->limits.packets)
        return false;
    this->held.push_back(Held{.packet = std::string(packet), .arrivedAt = arrivedAt});
    return true;
}

std::vector<HeldPackets::Held> HeldPackets::takeAll(Timestamp now)
{
    std::deque<Held> taken;
    {
        std::scoped_lock const lock(this->mutex);
        taken.swap(this->held);
    }
    std::vector<Held> packets;
    for (Held &entry : taken) {
        if (now - entry.arrivedAt <= this->limits.longestWait)
            packets.push_back(std::move(entry));
    }
    return packets;
}

std::size_t HeldPackets::size() const
{
    std::scoped_lock const lock(this->mutex);
    return this->held.size();
}

} // namespace almondwing
