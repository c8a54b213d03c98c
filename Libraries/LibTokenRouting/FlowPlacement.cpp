// Implements the choice of a target for a new flow.

#include <LibTokenRouting/FlowPlacement.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

struct Candidate
{
    ViewTarget const *target = nullptr; // Points into the view.
    TargetHealth health;
    double load = 0; // Flows per slot.
};

using Candidates = std::vector<Candidate>;

bool mayTakeFlows(ServingView const &view, ViewTarget const &target)
{
    return target.target.state == RegisteredState::Ready
        && !view.domainsTakenOut.contains(target.target.failureDomain);
}

// Returns the load of a target in flows per slot if it gets one more flow. For targets in other failure
// domains, this instance knows only its own flows and the average load of the service there, so it uses the
// higher of the two.
double loadOf(ViewTarget const &target, TargetHealth const &health, LoadPerSlot const &loadPerSlot,
              std::string const &ownDomain)
{
    double const flows = health.activeFlows + health.remoteFlows + 1;
    double const load = flows / std::max(1U, target.target.slots);
    if (target.target.failureDomain == ownDomain)
        return load;
    auto const group = loadPerSlot.find(TargetGroup{target.target.service, target.target.failureDomain});
    return group == loadPerSlot.end() ? load : std::max(load, group->second);
}

Candidates candidatesOf(TokenBlackboard const &board, ServingView const &view, std::string const &service,
                        std::string const &ownDomain)
{
    Candidates candidates;
    auto const tokens = view.tokensOfService.find(service);
    if (tokens == view.tokensOfService.end())
        return candidates;
    auto const loadPerSlot = board.loadPerSlot.read();
    for (TargetToken const token : tokens->second) {
        ViewTarget const *const target = view.targetOf(token);
        if (!mayTakeFlows(view, *target))
            continue;
        TargetHealth const health = board.healthOf(token);
        candidates.push_back(Candidate{
            .target = target, .health = health, .load = loadOf(*target, health, *loadPerSlot, ownDomain)});
    }
    return candidates;
}

template<typename Keep>
Candidates filtered(Candidates const &candidates, Keep const &keep)
{
    Candidates kept;
    std::ranges::copy_if(candidates, std::back_inserter(kept), keep);
    return kept;
}

// Removes suspect and overdue targets. If these are more than half of the candidates, a fault of this
// instance's own view is more likely, and all candidates are kept.
Candidates withoutSuspects(Candidates const &candidates, Timestamp now)
{
    Candidates healthy = filtered(candidates, [now](Candidate const &candidate) {
        return !candidate.target->isOverdue && !candidate.health.isSuspectAt(now);
    });
    return healthy.size() * 2 >= candidates.size() ? healthy : candidates;
}

Candidate const *leastLoaded(Candidates const &candidates, RandomSource const &random)
{
    Candidate const *best = nullptr;
    std::uint64_t ties = 0;
    for (Candidate const &candidate : candidates) {
        if (best == nullptr || candidate.load < best->load) {
            best = &candidate;
            ties = 1;
        } else if (candidate.load == best->load && random() % ++ties == 0) {
            best = &candidate;
        }
    }
    return best;
}

bool isInDomain(Candidate const &candidate, std::string const &failureDomain)
{
    return candidate.target->target.failureDomain == failureDomain;
}

std::optional<TargetToken> placeOnWarm(Candidates const &warm, PlacementSettings const &settings,
                                       RandomSource const &random)
{
    Candidates const own = filtered(
        warm, [&](Candidate const &candidate) { return isInDomain(candidate, settings.failureDomain); });
    Candidate const *const bestInDomain = leastLoaded(own, random);
    if (bestInDomain != nullptr && bestInDomain->load < settings.spillThreshold)
        return bestInDomain->target->token;
    Candidate const *const bestOverall = leastLoaded(warm, random);
    if (bestInDomain != nullptr && bestInDomain->load < bestOverall->load * settings.domainPreference)
        return bestInDomain->target->token;
    return bestOverall->target->token;
}

std::optional<TargetToken> placeOnCold(Candidates const &cold, PlacementSettings const &settings,
                                       RandomSource const &random, Timestamp now)
{
    if (now >= settings.coldPermitUntil)
        return std::nullopt;
    Candidates const due = filtered(cold, [now](Candidate const &candidate) {
        return now - candidate.health.lastColdFlowAt >= coldFlowInterval;
    });
    Candidates const own = filtered(
        due, [&](Candidate const &candidate) { return isInDomain(candidate, settings.failureDomain); });
    Candidate const *const best = leastLoaded(own.empty() ? due : own, random);
    return best == nullptr ? std::nullopt : std::optional(best->target->token);
}

} // namespace

std::optional<TargetToken> placeFlow(TokenBlackboard const &board, ServingView const &view,
                                     std::string const &service, TargetToken excluded,
                                     PlacementSettings const &settings, RandomSource const &random,
                                     Timestamp now)
{
    Candidates candidates = withoutSuspects(candidatesOf(board, view, service, settings.failureDomain), now);
    Candidates const others =
        filtered(candidates, [&](Candidate const &candidate) { return candidate.target->token != excluded; });
    if (!others.empty())
        candidates = others;
    if (candidates.empty())
        return std::nullopt;
    Candidates const warm = filtered(
        candidates, [now](Candidate const &candidate) { return !candidate.target->target.isColdAt(now); });
    if (!warm.empty())
        return placeOnWarm(warm, settings, random);
    return placeOnCold(candidates, settings, random, now);
}

std::string const &chooseService(FlowRoute const &route, ConnectionKey const &flow)
{
    VERIFY(!route.services.empty());
    std::uint64_t total = 0;
    for (WeightedService const &service : route.services)
        total += service.weight;
    std::uint64_t point = total == 0 ? 0 : mixBits(std::hash<ConnectionKey>{}(flow)) % total;
    for (WeightedService const &service : route.services) {
        if (point < service.weight)
            return service.service;
        point -= service.weight;
    }
    return route.services.front().service;
}

void recordPlacement(TokenBlackboard &board, FlowPacket const &packet, ViewTarget const &chosen,
                     Timestamp now)
{
    if (board.flows.size() < maxRecentFlows || board.flows.contains(packet.flow))
        board.flows.update(packet.flow, [&](std::optional<RecentFlow> const &) -> std::optional<RecentFlow> {
            return RecentFlow{.target = chosen.token,
                              .openedAt = now,
                              .openingSequence = packet.sequence,
                              .lastSeen = now,
                              .sequence = packet.sequence,
                              .sequenceFirstSeen = now};
        });
    board.targetHealth.update(chosen.token,
                              [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
                                  TargetHealth next = health.value_or(TargetHealth{});
                                  ++next.activeFlows;
                                  if (chosen.target.isColdAt(now))
                                      next.lastColdFlowAt = now;
                                  return next;
                              });
}

} // namespace almondwing
