// Implements the holding of packets.

#include <LibNode/HeldPackets.h>

#include <utility>

namespace almondwing {

bool HeldPackets::hold(std::string_view packet, Timestamp arrivedAt, Timestamp now)
{
    std::scoped_lock const lock(this->mutex);
    while (!this->held.empty() && now - this->held.front().arrivedAt > this->limits.maxWait) {
        this->expired.push_back(std::move(this->held.front()));
        this->held.pop_front();
    }
    if (this->held.size() >= this->limits.maxPackets)
        return false;
    this->held.push_back(Packet{.packet = std::string(packet), .arrivedAt = arrivedAt});
    return true;
}

HeldPackets::Batch HeldPackets::takeAll(Timestamp now)
{
    std::deque<Packet> all;
    Batch batch;
    {
        std::scoped_lock const lock(this->mutex);
        all.swap(this->held);
        batch.expired.swap(this->expired);
    }
    for (Packet &packet : all) {
        bool const isExpired = now - packet.arrivedAt > this->limits.maxWait;
        (isExpired ? batch.expired : batch.waiting).push_back(std::move(packet));
    }
    return batch;
}

std::size_t HeldPackets::size() const
{
    std::scoped_lock const lock(this->mutex);
    return this->held.size();
}

} // namespace almondwing
