// Implements packets that wait for the view.

#include <LibNode/HeldPackets.h>

#include <utility>

namespace almondwing {

bool HeldPackets::hold(std::string_view packet, Timestamp arrivedAt, Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    while (!this->held.empty() && now - this->held.front().arrivedAt > this->limits.longestWait) {
        this->expired.push_back(std::move(this->held.front()));
        this->held.pop_front();
    }
    if (this->held.size() >= this->limits.packets)
        return false;
    this->held.push_back(Held{.packet = std::string(packet), .arrivedAt = arrivedAt});
    return true;
}

HeldPackets::Taken HeldPackets::takeAll(Timestamp now)
{
    std::deque<Held> all;
    Taken taken;
    {
        std::scoped_lock const lock(this->mutex);
        all.swap(this->held);
        taken.expired.swap(this->expired);
    }
    for (Held &entry : all) {
        bool const isExpired = now - entry.arrivedAt > this->limits.longestWait;
        (isExpired ? taken.expired : taken.waiting).push_back(std::move(entry));
    }
    return taken;
}

std::size_t HeldPackets::size() const
{
    std::scoped_lock const lock(this->mutex);
    return this->held.size();
}

} // namespace almondwing
