// Implements the directory of control instances.

#include <LibRegistry/PeerDirectory.h>

#include <algorithm>

namespace almondwing {

void PeerDirectory::addPeer(Endpoint endpoint, std::string const &failureDomain)
{
    auto const known = this->table.read();
    auto const entry = known->find(endpoint);
    if (entry != known->end() && (failureDomain.empty() || entry->second.failureDomain == failureDomain))
        return;
    this->table.update([&](Peers peers) {
        ControlPeer &peer = peers[endpoint];
        peer.endpoint = endpoint;
        if (!failureDomain.empty())
            peer.failureDomain = failureDomain;
        return peers;
    });
}

void PeerDirectory::recordContact(Endpoint endpoint, std::string const &failureDomain, Timestamp now)
{
    this->table.update([&](Peers peers) {
        ControlPeer &peer = peers[endpoint];
        peer.endpoint = endpoint;
        peer.lastSeenAt = std::max(peer.lastSeenAt, now);
        if (!failureDomain.empty())
            peer.failureDomain = failureDomain;
        return peers;
    });
}

void PeerDirectory::removeStalePeers(Timestamp before, std::vector<Endpoint> const &keep)
{
    auto const isOld = [&](auto const &entry) {
        return entry.second.lastSeenAt < before && std::ranges::find(keep, entry.first) == keep.end();
    };
    auto const known = this->table.read();
    if (std::ranges::none_of(*known, isOld))
        return;
    this->table.update([&](Peers peers) {
        std::erase_if(peers, isOld);
        return peers;
    });
}

} // namespace almondwing
