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
    ViewTarget const *target = nullptr; // Into the view.
    TargetHealth signs;
    double load = 0; // Flows a slot.
};

using Candidates = std::vector<Candidate>;

bool mayTakeFlows(ServingView const &view, ViewTarget const &target)
{
    return target.target.state == RegisteredState::Ready
        && !view.domainsTakenOut.contains(target.target.failureDomain);
}

// Of other failure domains this instance knows the load of each service as a whole and its own flows.
double loadOf(ViewTarget const &target, TargetHealth const &signs, GroupLoads const &groupLoads,
              std::string const &ownDomain)
{
    double const flows = signs.activeFlows + signs.remoteFlows + 1;
    double const load = flows / std::max(1U, target.target.slots);
    if (target.target.failureDomain == ownDomain)
        return load;
    auto const group = groupLoads.find(TargetGroup{target.target.service, target.target.failureDomain});
    return group == groupLoads.end() ? load : std::max(load, group->second);
}

Candidates candidatesOf(TokenBlackboard const &board, ServingView const &view, std::string const &service,
                        std::string const &ownDomain)
{
    Candidates candidates;
    auto const tokens = view.tokensOfService.find(service);
    if (tokens == view.tokensOfService.end())
        return candidates;
    auto const groupLoads = board.groupLoads.read();
    for (TargetToken const token : tokens->second) {
        ViewTarget const *const target = view.targetOf(token);
        if (!mayTakeFlows(view, *target))
            continue;
        TargetHealth const signs = board.healthOf(token);
        candidates.push_back(Candidate{
            .target = target, .signs = signs, .load = loadOf(*target, signs, *groupLoads, ownDomain)});
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

// When most targets look bad, the view is doubted rather than the targets.
Candidates withoutSuspects(Candidates const &candidates, Timestamp now)
{
    Candidates good = filtered(candidates, [now](Candidate const &candidate) {
        return !candidate.target->isOverdue && !candidate.signs.isSuspectAt(now);
    });
    return good.size() * 2 >= candidates.size() ? good : candidates;
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
    Candidate const *const nearest = leastLoaded(own, random);
    if (nearest != nullptr && nearest->load < settings.spillThreshold)
        return nearest->target->token;
    Candidate const *const any = leastLoaded(warm, random);
    if (nearest != nullptr && nearest->load < any->load * settings.domainPreference)
        return nearest->target->token;
    return any->target->token;
}

std::optional<TargetToken> placeOnCold(Candidates const &cold, PlacementSettings const &settings,
                                       RandomSource const &random, Timestamp now)
{
    if (now >= settings.mayOpenColdUntil)
        return std::nullopt;
    Candidates const due = filtered(cold, [now](Candidate const &candidate) {
        return now - candidate.signs.coldFlowAt >= coldFlowInterval;
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

void notePlacement(TokenBlackboard &board, FlowPacket const &packet, ViewTarget const &chosen, Timestamp now)
{
    if (board.flows.size() < maxRecentFlows || board.flows.contains(packet.flow))
        board.flows.update(packet.flow, [&](std::optional<RecentFlow> const &) -> std::optional<RecentFlow> {
            return RecentFlow{.target = chosen.token,
                              .openedAt = now,
                              .openingSequence = packet.sequence,
                              .lastSeen = now,
                              .sequence = packet.sequence,
                              .sequenceSince = now};
        });
    board.signs.update(chosen.token, [&](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
        TargetHealth next = signs.value_or(TargetHealth{});
        ++next.activeFlows;
        if (chosen.target.isColdAt(now))
            next.coldFlowAt = now;
        return next;
    });
}

} // namespace almondwing
