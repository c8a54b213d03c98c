// Implements the schedule of probes.

#include <LibMembership/ProbeSchedule.h>

#include <LibCore/Hash.h>
#include <LibMembership/MembershipSettings.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace almondwing {

namespace {

std::optional<InstanceId> takeNext(ProbeRound &round, std::vector<InstanceId> const &candidates,
                                   std::uint64_t seed)
{
    for (; round.next < round.order.size(); ++round.next) {
        if (std::ranges::binary_search(candidates, round.order[round.next]))
            return round.order[round.next++];
    }
    round.order = shuffled(candidates, seed);
    round.next = 0;
    if (round.order.empty())
        return std::nullopt;
    return round.order[round.next++];
}

// Probes that a late tick has missed are skipped, so that it does not cause a burst.
Timestamp nextDue(Timestamp due, Duration interval, Timestamp now)
{
    return due + interval > now ? due + interval : now + interval;
}

void planRound(ProbePlan &plan, ProbeRound &round, std::vector<InstanceId> const &candidates,
               Duration interval, Timestamp now, std::uint64_t seed)
{
    if (now < round.due)
        return;
    round.due = nextDue(round.due, interval, now);
    if (auto const next = takeNext(round, candidates, seed))
        plan.probes.push_back(*next);
}

} // namespace

bool isProbeDue(ProbeSchedule const &schedule, Timestamp now)
{
    return now >= schedule.ownDomain.due || now >= schedule.otherDomains.due || now >= schedule.dead.due;
}

ProbePlan planProbes(ProbeSchedule schedule, ProbeCandidates const &candidates, Duration deadMemberInterval,
                     Timestamp now, std::uint64_t seed)
{
    ProbePlan plan{.schedule = std::move(schedule), .probes = {}};
    auto &next = plan.schedule;
    if (!next.disputed.empty() && now >= next.ownDomain.due) {
        plan.probes.push_back(next.disputed.back());
        next.disputed.pop_back();
    }
    planRound(plan, next.ownDomain, candidates.ownDomain, ownDomainProbeInterval, now, mixBits(seed));
    planRound(plan, next.otherDomains, candidates.otherDomains, otherDomainProbeInterval, now,
              mixBits(seed + 1));
    planRound(plan, next.dead, candidates.dead, deadMemberInterval, now, mixBits(seed + 2));
    return plan;
}

std::vector<InstanceId> shuffled(std::vector<InstanceId> list, std::uint64_t seed)
{
    for (std::size_t count = list.size(); count > 1; --count) {
        seed = mixBits(seed);
        std::swap(list[count - 1], list[seed % count]);
    }
    return list;
}

} // namespace almondwing
