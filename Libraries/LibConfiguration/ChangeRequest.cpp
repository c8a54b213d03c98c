// Describes and compares change requests.

#include <LibConfiguration/ChangeRequest.h>

#include <LibCore/Hash.h>
#include <LibManifest/InputError.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

// Hashes values field by field. Each field changes the state, so that moving text from one field to the next
// gives another hash.
class ContentHasher
{
public:
    void add(std::uint64_t number) { this->state = mixBits(this->state ^ mixBits(number + 1)); }
    void add(std::string const &text) { this->add(hashText(text)); }

    template<typename Choice>
    requires std::is_enum_v<Choice>
    void add(Choice choice) { this->add(static_cast<std::uint64_t>(choice)); }

    template<typename Entry>
    void add(std::vector<Entry> const &entries)
    {
        this->add(entries.size());
        for (Entry const &entry : entries)
            this->add(entry);
    }

    void add(FailureDomain const &domain)
    {
        this->add(domain.name);
        this->add(domain.region);
        this->add(domain.state);
    }

    void add(TargetPool const &pool)
    {
        this->add(pool.name);
        this->add(pool.limits.slots);
        this->add(pool.limits.connections);
        this->add(pool.loadReporting);
    }

    void add(Service const &service)
    {
        this->add(service.name);
        this->add(service.address.address);
        this->add(service.address.port);
        this->add(service.pool);
    }

    void add(ApplyManifest const &change)
    {
        Manifest const &manifest = change.proposal.manifest;
        this->add(manifest.deployment);
        this->add(manifest.failureDomains);
        this->add(manifest.pools);
        this->add(manifest.services);
        this->add(manifest.drainingTargets);
        this->add(change.proposal.domainsWithState);
        this->add(change.proposal.drainingList);
    }

    void add(SetFailureDomainState const &change)
    {
        this->add(change.failureDomain);
        this->add(change.state);
        this->add(change.policy);
    }

    void add(SetTargetDraining const &change)
    {
        this->add(change.target);
        this->add(change.state);
    }

    std::uint64_t result() const { return this->state; }

private:
    std::uint64_t state = 0;
};

std::string describe(ApplyManifest const &change)
{
    Manifest const &manifest = change.proposal.manifest;
    return fmt::format("apply manifest of {}: {} failure domains, {} pools, {} services",
                       quotedValue(manifest.deployment), manifest.failureDomains.size(),
                       manifest.pools.size(), manifest.services.size());
}

std::string describe(SetFailureDomainState const &change)
{
    return fmt::format(
        "{} failure domain {}{}", change.state == FailureDomainState::TakenOut ? "take out" : "bring back",
        quotedValue(change.failureDomain), change.policy == LastDomainPolicy::Force ? " (forced)" : "");
}

std::string describe(SetTargetDraining const &change)
{
    return fmt::format("{} target {}", change.state == DrainState::Draining ? "drain" : "undrain",
                       quotedValue(change.target));
}

} // namespace

bool isValidRequestId(std::string_view requestId)
{
    auto const isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9')
            || std::string_view("-_.:").find(character) != std::string_view::npos;
    };
    return !requestId.empty() && requestId.size() <= maxRequestIdLength
        && std::ranges::all_of(requestId, isAllowed);
}

std::string describeChange(ConfigurationChange const &change)
{
    return std::visit([](auto const &kind) { return describe(kind); }, change);
}

std::uint64_t contentHash(ChangeRequest const &request)
{
    ContentHasher hasher;
    hasher.add(request.operatorName);
    hasher.add(request.baseVersion.has_value() ? 1U : 0U);
    hasher.add(request.baseVersion.value_or(0));
    hasher.add(request.change.index());
    std::visit([&hasher](auto const &change) { hasher.add(change); }, request.change);
    return hasher.result();
}

} // namespace almondwing
