// The control instances that an instance knows: those from its settings and those learned from peers. A peer
// is a control instance here, not any instance as in LibMembership.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <map>
#include <string>
#include <vector>

namespace almondwing {

struct ControlPeer
{
    Endpoint endpoint;
    std::string failureDomain; // Empty while unknown.
    Timestamp lastSeenAt; // The last direct contact; the epoch of the clock if there was none.

    friend bool operator==(ControlPeer const &, ControlPeer const &) = default;
};

class PeerDirectory
{
public:
    using Peers = std::map<Endpoint, ControlPeer>;

    // Adds a peer that is mentioned in the settings or by another peer. This does not count as a contact.
    void addPeer(Endpoint endpoint, std::string const &failureDomain);
    // Records a direct contact with a peer, which is added if it is unknown.
    void recordContact(Endpoint endpoint, std::string const &failureDomain, Timestamp now);
    // Removes the peers whose last direct contact was earlier than `before`, except those in `keep`.
    void removeStalePeers(Timestamp before, std::vector<Endpoint> const &keep);

    Peers peers() const { return *this->table.read(); }

private:
    Cell<Peers> table;
};

} // namespace almondwing
