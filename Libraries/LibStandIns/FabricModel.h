// The decisions of the fabric stand-in: which instance receives a packet, and whether the packet is lost,
// duplicated or delayed.

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

// Fault probabilities in each direction: `duplicate` per packet, `loss` and `delay` per copy of a packet.
struct LinkQuality
{
    double loss = 0;
    double duplicate = 0;
    double delay = 0; // Probability of a random delay of up to maxDelay, which can reorder packets.
    Duration maxDelay = 20ms;

    friend bool operator==(LinkQuality const &, LinkQuality const &) = default;
};

// Cut: packets in both directions are lost, and the fabric has not detected it. Withdrawn: the fabric sends
// packets to other instances only, and packets from the instance still pass.
enum class Reachability : std::uint8_t { Reachable, Cut, Withdrawn };

struct FabricState
{
    std::map<Endpoint, Reachability> instances; // Keyed by the endpoint that receives packets of callers.
    // Callers whose state a middlebox has lost permanently: their packets are dropped in both directions.
    std::set<Endpoint> lostCallers;
    LinkQuality quality;

    friend bool operator==(FabricState const &, FabricState const &) = default;
};

struct FabricCounts
{
    std::uint64_t forwarded = 0; // Copies delivered to instances.
    std::uint64_t returned = 0; // Copies delivered to callers.
    std::uint64_t dropped = 0; // Packets of which no copy was delivered.

    friend bool operator==(FabricCounts const &, FabricCounts const &) = default;
};

// One copy of a packet to be delivered.
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

    // Copies of one packet may go to different instances. The result is empty if the packet is lost.
    std::vector<Delivery> routeToInstance(Endpoint caller);

    std::vector<Delivery> routeToCaller(Endpoint from, Endpoint caller);

    // Serves /cut, /withdraw and /restore (?instance=), /join and /leave (?instance=), /heal,
    // /lose-flow (?caller=), /quality (?loss=&duplicate=&delay=) and /statistics.
    HttpReply control(HttpRequest const &request);

private:
    std::vector<Duration> sampleCopyDelays(LinkQuality const &quality) const;
    HttpReply setReachability(HttpRequest const &request, Reachability reachability);
    HttpReply removeInstance(HttpRequest const &request);
    HttpReply loseCaller(HttpRequest const &request);
    HttpReply setQuality(HttpRequest const &request);
    // Makes every instance reachable. Lost callers and the link quality are not changed.
    HttpReply restoreAllInstances();
    HttpReply statistics() const;

    Cell<FabricState> state;
    Cell<FabricCounts> counts;
    RandomSource random;
};

} // namespace almondwing
