// Implements the validation of manifests.

#include <LibManifest/ManifestCheck.h>

#include <LibManifest/Name.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace almondwing {

namespace {

class ManifestChecker
{
public:
    explicit ManifestChecker(Manifest const &manifestToCheck) : manifest(manifestToCheck) { }

    InputErrors check() &&
    {
        this->checkName("deployment", this->manifest.deployment);
        this->checkFailureDomains();
        this->checkPools();
        this->checkServices();
        this->checkDrainingTargets();
        return std::move(this->errors);
    }

private:
    void report(std::string path, std::string_view value, std::string allowed)
    {
        addError(this->errors,
                 {.path = std::move(path), .value = quotedValue(value), .allowed = std::move(allowed)});
    }

    void checkName(std::string const &path, std::string const &name)
    {
        if (!isValidName(name))
            this->report(path, name, std::string(allowedNames));
    }

    void checkSize(std::string const &path, std::size_t size, std::size_t minimum, std::size_t maximum)
    {
        if (size < minimum || size > maximum)
            addError(this->errors,
                     {.path = path,
                      .value = fmt::format("{} entries", size),
                      .allowed = fmt::format("{} to {} entries", minimum, maximum)});
    }

    void checkLimit(std::string const &path, std::uint32_t limit, std::uint32_t maximum)
    {
        if (limit < 1 || limit > maximum)
            addError(this->errors,
                     {.path = path,
                      .value = fmt::format("{}", limit),
                      .allowed = fmt::format("a whole number from 1 to {}", maximum)});
    }

    // Reports each entry that has the value of an earlier one. `format` returns the value for the message.
    template<typename Entry, typename Key, typename Format>
    void checkUnique(std::string_view list, std::string_view field, std::vector<Entry> const &entries,
                     Key const &key, Format const &format)
    {
        std::map<std::decay_t<std::invoke_result_t<Key, Entry const &>>, std::size_t> firstUse;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            auto const [earlier, isNew] = firstUse.emplace(std::invoke(key, entries[index]), index);
            if (!isNew)
                this->report(fmt::format("{}[{}]{}", list, index, field), format(entries[index]),
                             fmt::format("a value that {}[{}] does not have", list, earlier->second));
        }
    }

    template<typename Entry>
    void checkUniqueNames(std::string_view list, std::vector<Entry> const &entries)
    {
        this->checkUnique(list, ".name", entries, &Entry::name,
                          [](Entry const &entry) { return entry.name; });
    }

    void checkFailureDomains()
    {
        auto const &domains = this->manifest.failureDomains;
        this->checkSize("failureDomains", domains.size(), 1, maxFailureDomains);
        for (std::size_t index = 0; index < domains.size(); ++index) {
            this->checkName(fmt::format("failureDomains[{}].name", index), domains[index].name);
            this->checkName(fmt::format("failureDomains[{}].region", index), domains[index].region);
        }
        this->checkUniqueNames("failureDomains", domains);
    }

    void checkPools()
    {
        auto const &pools = this->manifest.pools;
        this->checkSize("pools", pools.size(), 1, maxPools);
        for (std::size_t index = 0; index < pools.size(); ++index) {
            this->checkName(fmt::format("pools[{}].name", index), pools[index].name);
            this->checkLimit(fmt::format("pools[{}].slots", index), pools[index].limits.slots, maxSlots);
            this->checkLimit(fmt::format("pools[{}].connections", index), pools[index].limits.connections,
                             maxConnections);
        }
        this->checkUniqueNames("pools", pools);
    }

    void checkServices()
    {
        auto const &services = this->manifest.services;
        this->checkSize("services", services.size(), 1, maxServices);
        std::set<std::string_view> poolNames;
        for (TargetPool const &pool : this->manifest.pools)
            poolNames.insert(pool.name);
        for (std::size_t index = 0; index < services.size(); ++index) {
            Service const &service = services[index];
            this->checkName(fmt::format("services[{}].name", index), service.name);
            if (service.address.address == 0 || service.address.port == 0)
                this->report(fmt::format("services[{}].address", index), service.address.toString(),
                             "a.b.c.d:port, neither of them 0");
            // An empty list of pools is reported separately; an error for each service would be redundant.
            if (!poolNames.empty() && !poolNames.contains(service.pool))
                this->report(fmt::format("services[{}].pool", index), service.pool,
                             "the name of an entry of pools");
        }
        this->checkUniqueNames("services", services);
        this->checkUnique("services", ".address", services, &Service::address,
                          [](Service const &service) { return service.address.toString(); });
    }

    void checkDrainingTargets()
    {
        auto const &targets = this->manifest.drainingTargets;
        this->checkSize("drainingTargets", targets.size(), 0, maxDrainingTargets);
        for (std::size_t index = 0; index < targets.size(); ++index)
            this->checkName(fmt::format("drainingTargets[{}]", index), targets[index]);
        this->checkUnique("drainingTargets", "", targets, std::identity{},
                          [](std::string const &target) { return target; });
    }

    Manifest const &manifest;
    InputErrors errors;
};

} // namespace

InputErrors checkManifest(Manifest const &manifest)
{
    return ManifestChecker(manifest).check();
}

} // namespace almondwing
