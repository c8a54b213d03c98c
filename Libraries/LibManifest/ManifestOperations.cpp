// Implements changes of a manifest.

#include <LibManifest/ManifestOperations.h>

#include <LibManifest/InputError.h>
#include <LibManifest/ManifestCheck.h>
#include <LibManifest/Name.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

bool hasDomainInService(Manifest const &manifest)
{
    return std::ranges::find(manifest.failureDomains, FailureDomainState::InService, &FailureDomain::state)
        != manifest.failureDomains.end();
}

bool hasDomain(Manifest const &manifest, std::string const &domain)
{
    return std::ranges::find(manifest.failureDomains, domain, &FailureDomain::name)
        != manifest.failureDomains.end();
}

// Returns the reasons why a merged manifest may not replace the current one; empty if it may.
std::vector<std::string> findConflicts(Manifest const &current, Manifest const &merged)
{
    std::vector<std::string> conflicts;
    if (!current.deployment.empty() && current.deployment != merged.deployment)
        conflicts.push_back(fmt::format("the manifest is for the deployment {}, this one is {}",
                                        quotedValue(merged.deployment), quotedValue(current.deployment)));
    for (FailureDomain const &domain : current.failureDomains) {
        if (domain.state == FailureDomainState::InService && !hasDomain(merged, domain.name))
            conflicts.push_back(
                fmt::format("failure domain {} is in service and not in the manifest; take it out first",
                            quotedValue(domain.name)));
    }
    // Operators can force the last failure domain out of service. A new manifest is accepted then as well.
    bool const isEveryDomainTakenOut = !current.failureDomains.empty() && !hasDomainInService(current);
    if (!hasDomainInService(merged) && !isEveryDomainTakenOut)
        conflicts.emplace_back("the manifest would leave no failure domain in service");
    return conflicts;
}

std::string namesOf(std::vector<FailureDomain> const &domains)
{
    std::string names;
    for (FailureDomain const &domain : domains)
        names.append(names.empty() ? "" : ", ").append(domain.name);
    return names.empty() ? "none, because no manifest has been applied" : names;
}

} // namespace

ProposedManifest ProposedManifest::withAllStates(Manifest manifest)
{
    ProposedManifest proposal{.manifest = std::move(manifest), .drainingList = DrainingList::Present};
    for (FailureDomain const &domain : proposal.manifest.failureDomains)
        proposal.domainsWithState.push_back(domain.name);
    return proposal;
}

bool isTakenOut(Manifest const &manifest, std::string const &domain)
{
    auto const found = std::ranges::find(manifest.failureDomains, domain, &FailureDomain::name);
    return found != manifest.failureDomains.end() && found->state == FailureDomainState::TakenOut;
}

absl::StatusOr<Manifest> setFailureDomainState(Manifest const &manifest, std::string const &domain,
                                               FailureDomainState state, LastDomainPolicy policy)
{
    Manifest changed = manifest;
    auto const found = std::ranges::find(changed.failureDomains, domain, &FailureDomain::name);
    if (found == changed.failureDomains.end())
        return absl::NotFoundError(fmt::format("failure domain {} does not exist; existing: {}",
                                               quotedValue(domain), namesOf(manifest.failureDomains)));
    if (found->state == state)
        return changed;
    found->state = state;
    if (policy == LastDomainPolicy::Refuse && !hasDomainInService(changed))
        return absl::FailedPreconditionError(fmt::format(
            "failure domain \"{}\" is the last one in service; taking it out stops all services and has to "
            "be forced",
            domain));
    return changed;
}

absl::StatusOr<Manifest> setTargetDraining(Manifest const &manifest, std::string const &target,
                                           DrainState state)
{
    if (!isValidName(target))
        return absl::InvalidArgumentError(
            fmt::format("{} is not the name of a target; allowed: {}", quotedValue(target), allowedNames));
    Manifest changed = manifest;
    auto &targets = changed.drainingTargets;
    auto const position = std::ranges::lower_bound(targets, target);
    bool const isDraining = position != targets.end() && *position == target;
    if (state == DrainState::Active && isDraining)
        targets.erase(position);
    if (state == DrainState::Draining && !isDraining) {
        if (targets.size() >= maxDrainingTargets)
            return absl::ResourceExhaustedError(
                fmt::format("{} targets are draining already, which is the limit", targets.size()));
        targets.insert(position, target);
    }
    return changed;
}

absl::StatusOr<Manifest> applyProposal(Manifest const &current, ProposedManifest const &proposal)
{
    Manifest merged = proposal.manifest;
    for (FailureDomain &domain : merged.failureDomains) {
        if (std::ranges::find(proposal.domainsWithState, domain.name) != proposal.domainsWithState.end())
            continue;
        auto const known = std::ranges::find(current.failureDomains, domain.name, &FailureDomain::name);
        domain.state = known == current.failureDomains.end() ? FailureDomainState::InService : known->state;
    }
    if (proposal.drainingList == DrainingList::Absent)
        merged.drainingTargets = current.drainingTargets;
    std::ranges::sort(merged.drainingTargets);
    if (auto const conflicts = findConflicts(current, merged); !conflicts.empty())
        return absl::FailedPreconditionError(fmt::format("{}", fmt::join(conflicts, "; ")));
    return merged;
}

} // namespace almondwing
