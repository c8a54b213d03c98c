// The control instances that an instance knows of: those of its settings and those it has heard of since.

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
    std::string failureDomain; // Empty until it is known.
    Timestamp lastSeenAt; // The latest direct sign of life; the beginning of time if there was none.

    friend bool operator==(ControlPeer const &, ControlPeer const &) = default;
};

class PeerDirectory
{
public:
    using Peers = std::map<Endpoint, ControlPeer>;

    // A peer that was heard of, directly or through others.
    void addPeer(Endpoint endpoint, std::string const &failureDomain);
    // A direct sign of life.
    void recordContact(Endpoint endpoint, std::string const &failureDomain, Timestamp now);
    // Drops peers without a sign of life for the given time, except those to keep.
    void removeStalePeers(Timestamp before, std::vector<Endpoint> const &keep);

    Peers peers() const { return *this->table.read(); }

private:
    Cell<Peers> table;
};

} // namespace almondwing
