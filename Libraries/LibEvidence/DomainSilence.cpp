// Implements the evidence about whole failure domains.

#include <LibEvidence/DomainSilence.h>

#include <algorithm>

namespace almondwing {

namespace {

// Answers arrive all the time, so the time of the last one is recorded only this exactly.
constexpr Duration answerResolution = 20ms;

std::size_t recentChecks(DomainSilence const &silence, Timestamp now, DomainSilenceSettings const &settings)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        silence.checks, [&](SilentCheck const &check) { return now - check.endedAt <= settings.window; }));
}

} // namespace

bool DomainSilence::isSilentAt(Timestamp now, DomainSilenceSettings const &settings) const
{
    return recentChecks(*this, now, settings) >= settings.minTargets;
}

void recordDomainAnswer(DomainSilenceTable &table, std::string const &failureDomain, Timestamp now)
{
    bool const isKnown = table.containsWhere(failureDomain, [now](DomainSilence const &silence) {
        return silence.checks.empty() && now - silence.lastAnswerAt < answerResolution;
    });
    if (isKnown)
        return;
    table.update(failureDomain, [now](std::optional<DomainSilence> const &) {
        return std::optional(DomainSilence{.lastAnswerAt = now});
    });
}

SilenceVerdict recordSilentCheck(DomainSilenceTable &table, std::string const &failureDomain,
                                 TargetNumber target, DomainSilenceSettings const &settings, Timestamp now)
{
    bool wasSilent = false;
    auto const recorded = table.update(failureDomain, [&](std::optional<DomainSilence> const &known) {
        DomainSilence next = known.value_or(DomainSilence{});
        wasSilent = next.isSilentAt(now, settings);
        std::erase_if(next.checks, [&](SilentCheck const &check) {
            return check.target == target || now - check.endedAt > settings.window;
        });
        next.checks.push_back(SilentCheck{.target = target, .endedAt = now});
        return std::optional(next);
    });
    SilenceVerdict verdict;
    if (!recorded->isSilentAt(now, settings))
        return verdict;
    verdict.isNew = !wasSilent;
    for (SilentCheck const &check : recorded->checks)
        verdict.targets.push_back(check.target);
    return verdict;
}

} // namespace almondwing
