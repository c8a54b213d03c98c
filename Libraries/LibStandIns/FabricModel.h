// The decisions of the fabric stand-in: which instance gets a packet, and what happens to it on the way.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibStandIns/Http.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondwing {

// Applied to each packet in each direction.
struct LinkQuality
{
    double loss = 0;
    double duplicate = 0;
    double delay = 0; // Share of packets that are held back, so that later ones overtake them.
    Duration maximumDelay = 20ms;

    friend bool operator==(LinkQuality const &, LinkQuality const &) = default;
};

// Cut: packets in both directions are lost, and the fabric has not noticed. Withdrawn: the fabric sends
// elsewhere, and packets from the instance still pass.
enum class Reach : std::uint8_t { Reachable, Cut, Withdrawn };

struct FabricState
{
    std::map<Endpoint, Reach> instances; // By entry socket.
    std::set<Endpoint> lostCallers; // The middlebox has lost track of these for good.
    LinkQuality quality;

    friend bool operator==(FabricState const &, FabricState const &) = default;
};

struct FabricCounts
{
    std::uint64_t forwarded = 0;
    std::uint64_t returned = 0;
    std::uint64_t dropped = 0;

    friend bool operator==(FabricCounts const &, FabricCounts const &) = default;
};

// One copy of a packet on its way.
struct Delivery
{
    Endpoint instance; // Unused for replies.
    Duration delay{};

    friend bool operator==(Delivery const &, Delivery const &) = default;
};

class FabricModel
{
public:
    FabricModel(std::vector<Endpoint> const &instances, LinkQuality quality, RandomSource randomSource);

    // Each copy of a packet may go to an instance of its own. Empty if the packet is lost.
    std::vector<Delivery> planForward(Endpoint caller);

    std::vector<Delivery> planReply(Endpoint from, Endpoint caller);

    // Serves /cut, /withdraw and /restore (?instance=), /join and /leave (?instance=), /heal,
    // /lose-flow (?caller=), /quality (?loss=&duplicate=&delay=) and /statistics.
    HttpAnswer control(HttpRequest const &request);

private:
    std::vector<Duration> planCopies(LinkQuality const &quality) const;
    HttpAnswer setReach(HttpRequest const &request, Reach reach);
    HttpAnswer removeInstance(HttpRequest const &request);
    HttpAnswer loseFlow(HttpRequest const &request);
    HttpAnswer setQuality(HttpRequest const &request);
    HttpAnswer heal();
    HttpAnswer statistics() const;

    Cell<FabricState> state;
    Cell<FabricCounts> counts;
    RandomSource random;
};

} // namespace almondwing
