// Reads and writes manifests as JSON.

#include <LibManifest/ManifestJson.h>

#include <LibManifest/JsonReader.h>
#include <LibManifest/ManifestCheck.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace almondwing {

namespace {

// Keeps the order in which a person writes a manifest.
using Json = nlohmann::ordered_json;

FailureDomain readFailureDomain(JsonValue const &value, std::vector<std::string> &domainsWithState)
{
    value.allowKeys({"name", "region", "state"});
    FailureDomain domain{.name = value.member("name").text(), .region = value.member("region").text()};
    JsonValue const state = value.optionalMember("state");
    if (state.isPresent()) {
        domain.state = state.choice<FailureDomainState>(
            {{"in-service", FailureDomainState::InService}, {"taken-out", FailureDomainState::TakenOut}});
        domainsWithState.push_back(domain.name);
    }
    return domain;
}

TargetPool readPool(JsonValue const &value)
{
    value.allowKeys({"name", "slots", "connections", "reportsLoad"});
    auto const limit = [&value](std::string_view key, std::uint32_t maximum) {
        return static_cast<std::uint32_t>(value.member(key).number(1, maximum));
    };
    return TargetPool{
        .name = value.member("name").text(),
        .limits = {.slots = limit("slots", maxSlots), .connections = limit("connections", maxConnections)},
        .loadReporting =
            value.member("reportsLoad").boolean() ? LoadReporting::ReportsLoad : LoadReporting::None};
}

Service readService(JsonValue const &value)
{
    value.allowKeys({"name", "address", "pool"});
    Service service{.name = value.member("name").text(), .pool = value.member("pool").text()};
    JsonValue const address = value.member("address");
    if (auto const endpoint = Endpoint::parse(address.text()); endpoint.ok())
        service.address = *endpoint;
    else if (address.isPresent())
        address.report("a.b.c.d:port with a port from 1 to 65535");
    return service;
}

ProposedManifest readProposal(JsonValue const &root)
{
    root.allowKeys({"deployment", "failureDomains", "pools", "services", "drainingTargets"});
    ProposedManifest proposal;
    Manifest &manifest = proposal.manifest;
    manifest.deployment = root.member("deployment").text();
    for (JsonValue const &value : root.member("failureDomains").elements())
        manifest.failureDomains.push_back(readFailureDomain(value, proposal.domainsWithState));
    for (JsonValue const &value : root.member("pools").elements())
        manifest.pools.push_back(readPool(value));
    for (JsonValue const &value : root.member("services").elements())
        manifest.services.push_back(readService(value));
    JsonValue const drainingTargets = root.optionalMember("drainingTargets");
    proposal.drainingList = drainingTargets.isPresent() ? DrainingList::Named : DrainingList::Unnamed;
    for (JsonValue const &value : drainingTargets.elements())
        manifest.drainingTargets.push_back(value.text());
    return proposal;
}

// A value that could not be read stands in the manifest as a default, which must not be reported again.
void addNewPaths(InputErrors &errors, InputErrors const &further)
{
    std::set<std::string, std::less<>> known;
    for (InputError const &error : errors)
        known.insert(error.path);
    auto const isReported = [&known](InputError const &error) {
        std::string_view path = error.path;
        while (!path.empty() && !known.contains(path)) {
            std::size_t const parentEnd = path.find_last_of(".[");
            path = path.substr(0, parentEnd == std::string_view::npos ? 0 : parentEnd);
        }
        return known.contains(path);
    };
    for (InputError const &error : further) {
        if (!isReported(error))
            addError(errors, error);
    }
}

Json limitsAndName(TargetPool const &pool)
{
    return Json{{"name", pool.name},
                {"slots", pool.limits.slots},
                {"connections", pool.limits.connections},
                {"reportsLoad", pool.loadReporting == LoadReporting::ReportsLoad}};
}

} // namespace

ManifestResult parseManifest(std::string const &json)
{
    JsonDocument document(json);
    ProposedManifest proposal = readProposal(document.root());
    InputErrors errors = document.errors();
    addNewPaths(errors, checkManifest(proposal.manifest));
    if (!errors.empty())
        return errors;
    std::ranges::sort(proposal.manifest.drainingTargets);
    return proposal;
}

std::string formatProposedManifest(ProposedManifest const &proposal)
{
    Manifest const &manifest = proposal.manifest;
    Json json{{"deployment", manifest.deployment},
              {"failureDomains", Json::array()},
              {"pools", Json::array()},
              {"services", Json::array()}};
    for (FailureDomain const &domain : manifest.failureDomains) {
        Json entry{{"name", domain.name}, {"region", domain.region}};
        if (std::ranges::find(proposal.domainsWithState, domain.name) != proposal.domainsWithState.end())
            entry["state"] = domain.state == FailureDomainState::TakenOut ? "taken-out" : "in-service";
        json["failureDomains"].push_back(std::move(entry));
    }
    for (TargetPool const &pool : manifest.pools)
        json["pools"].push_back(limitsAndName(pool));
    for (Service const &service : manifest.services)
        json["services"].push_back(
            Json{{"name", service.name}, {"address", service.address.toString()}, {"pool", service.pool}});
    if (proposal.drainingList == DrainingList::Named)
        json["drainingTargets"] = manifest.drainingTargets;
    constexpr int indentation = 2;
    return json.dump(indentation, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string formatManifest(Manifest const &manifest)
{
    return formatProposedManifest(ProposedManifest::withAllStates(manifest));
}

} // namespace almondwing
