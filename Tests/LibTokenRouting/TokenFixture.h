// A blackboard and a router with targets in two failure domains, for tests of token routing.

#pragma once

#include <LibTokenRouting/TokenRouter.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

constexpr Timestamp testStart{1h};
constexpr Endpoint ordersAddress{.address = 0xc6120001, .port = 443};
constexpr Endpoint otherAddress{.address = 0xc6120002, .port = 443};

inline RegisteredTarget testTarget(std::uint64_t number, char const *domain, char const *service = "orders")
{
    return RegisteredTarget{
        .number = TargetNumber{number},
        .service = service,
        .failureDomain = domain,
        .endpoint = Endpoint{.address = 0x0a800000U + static_cast<std::uint32_t>(number), .port = 8080},
        .slots = 2,
        .reportVersion = ReportVersion{.startUnixMilliseconds = 100, .sequence = 1},
        .lastSeenAt = testStart};
}

inline FlowConfiguration testConfiguration()
{
    return FlowConfiguration{
        .version = 1,
        .routes = {FlowRoute{.endpoint = ordersAddress, .services = {WeightedService{"orders", 1}}}},
        .services = {"orders"}};
}

inline FlowPacket openPacket(std::uint16_t callerPort, std::uint32_t copy = 0)
{
    return FlowPacket{.flow = ConnectionKey{.caller = Endpoint{.address = 0x64400007, .port = callerPort},
                                            .service = ordersAddress},
                      .kind = PacketKind::Open,
                      .sequence = 1000,
                      .acknowledgement = copy};
}

inline FlowPacket dataPacket(std::uint16_t callerPort, TargetToken token, std::uint32_t sequence,
                             std::uint32_t acknowledgement)
{
    FlowPacket packet = openPacket(callerPort);
    packet.kind = PacketKind::Data;
    packet.token = token;
    packet.sequence = sequence;
    packet.acknowledgement = acknowledgement;
    packet.length = 100;
    return packet;
}

struct TokenFixture
{
    void setTargets(std::vector<RegisteredTarget> const &targets, std::set<std::string> takenOut = {},
                    bool isComplete = true, std::set<TargetNumber> const &overdue = {})
    {
        std::vector<ViewTarget> viewTargets;
        viewTargets.reserve(targets.size());
        for (RegisteredTarget const &target : targets)
            viewTargets.push_back(ViewTarget{.target = target, .isOverdue = overdue.contains(target.number)});
        ServingView view = makeServingView(this->configuration, std::move(viewTargets), std::move(takenOut));
        view.isRegistryComplete = isComplete;
        this->board.view.update([&view](ServingView const &) { return view; });
    }

    PacketDecision decide(FlowPacket const &packet) { return this->router.decide(packet, this->now); }

    // Returns the target of a forwarded packet, or no target if the packet was not forwarded.
    TargetNumber targetOf(PacketDecision const &decision) const
    {
        auto const *const forward = std::get_if<ForwardPacket>(&decision);
        return forward == nullptr ? TargetNumber{} : forward->target;
    }

    FlowConfiguration configuration = testConfiguration();
    TokenBlackboard board;
    std::mt19937_64 random{20261204};
    std::vector<TargetNumber> checked;
    std::vector<Duration> established;
    TokenRouter router{
        board, PlacementSettings{.failureDomain = "dar-a"},
        TokenRouterHooks{
            .random = [this] { return this->random(); },
            .checkTarget =
                [this](ViewTarget const &target) { this->checked.push_back(target.target.number); },
            .flowEstablished = [this](FlowPacket const &, ViewTarget const &,
                                      Duration after) { this->established.push_back(after); }}};
    Timestamp now = testStart;
};

} // namespace almondwing
