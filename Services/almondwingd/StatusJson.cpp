// Implements the JSON responses for operators with nlohmann/json.

#include "StatusJson.h"

#include <LibConfigurationJson/StateJson.h>
#include <LibMessages/StateNames.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondwing {

namespace {

std::string_view roleName(ReplicaRole role)
{
    switch (role) {
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::PreCandidate:
        return "probing";
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    case ReplicaRole::Failed:
        return "failed";
    }
    return "unknown";
}

std::string_view standingName(ReplicaStanding standing)
{
    switch (standing) {
    case ReplicaStanding::Empty:
        return "empty";
    case ReplicaStanding::Learner:
        return "learner";
    case ReplicaStanding::Voter:
        return "voter";
    }
    return "unknown";
}

std::string_view phaseName(InstancePhase phase)
{
    switch (phase) {
    case InstancePhase::Joining:
        return "joining";
    case InstancePhase::Serving:
        return "serving";
    case InstancePhase::Leaving:
        return "leaving";
    }
    return "unknown";
}

void sortByName(nlohmann::json &list)
{
    std::sort(list.begin(), list.end(), [](nlohmann::json const &first, nlohmann::json const &second) {
        return first.at("name") < second.at("name");
    });
}

nlohmann::json selfJson(Instance const &instance)
{
    auto const status = instance.state().ownStatus.read();
    return {{"name", status->self.name},
            {"failureDomain", status->self.failureDomain},
            {"phase", phaseName(status->phase)},
            {"lease", status->lease == LeaseState::Held ? "held" : "expired"},
            {"majorityContact", status->majorityContact == MajorityContact::Recent ? "recent" : "lost"},
            {"configurationVersion", instance.state().configuration.read()->version}};
}

nlohmann::json membersJson(Instance const &instance)
{
    auto members = nlohmann::json::array();
    for (auto const &[id, member] : instance.state().members.entries())
        members.push_back({{"name", member.name},
                           {"failureDomain", member.failureDomain},
                           {"state", memberStateName(member.state)},
                           {"http", member.httpEndpoint.toString()}});
    sortByName(members);
    return members;
}

nlohmann::json targetJson(Instance const &instance, RoutedTarget const &target, std::size_t buckets)
{
    auto const dispatcher = instance.state().members.read(target.dispatcher);
    auto const usage = instance.state().usage.read(target.record.id);
    auto const claim = instance.state().claims.read(target.record.id);
    auto const self = instance.state().ownStatus.read();
    bool const isOwn = target.dispatcher == self->self.id;
    nlohmann::json json{{"name", target.record.name},
                        {"failureDomain", target.record.failureDomain},
                        {"state", targetStateName(target.record.state)},
                        {"rampLevel", target.record.rampLevel},
                        {"slots", target.limits.slots},
                        {"connections", target.limits.connections},
                        {"buckets", buckets},
                        {"claimedBuckets", claim ? claim->value.buckets.size() : 0},
                        {"dispatcher",
                         isOwn            ? self->self.name
                             : dispatcher ? dispatcher->value.name
                                          : ""}};
    if (isOwn && usage) {
        json["busySlots"] = usage->value.busySlots;
        json["openFlows"] = usage->value.connections;
    }
    return json;
}

nlohmann::json servicesJson(Instance const &instance)
{
    auto services = nlohmann::json::array();
    auto const view = instance.state().routingView.read();
    for (auto const &[id, routes] : view->services) {
        auto targets = nlohmann::json::array();
        for (std::size_t index = 0; index < routes->targets.size(); ++index) {
            auto const buckets = std::ranges::count(routes->buckets, static_cast<std::uint16_t>(index));
            targets.push_back(
                targetJson(instance, routes->targets[index], static_cast<std::size_t>(buckets)));
        }
        services.push_back(
            {{"name", routes->name}, {"address", routes->address.toString()}, {"targets", targets}});
    }
    sortByName(services);
    return services;
}

nlohmann::json domainsJson(Instance const &instance)
{
    auto domains = nlohmann::json::array();
    for (FailureDomain const &domain : instance.state().configuration.read()->manifest.failureDomains)
        domains.push_back(
            {{"name", domain.name},
             {"region", domain.region},
             {"state", domain.state == FailureDomainState::TakenOut ? "taken-out" : "in-service"}});
    return domains;
}

nlohmann::json replicationJson(ReplicationStatus const &status)
{
    auto voters = nlohmann::json::array();
    for (Replica const &voter : status.voters)
        voters.push_back(voter.instance);
    return {{"role", roleName(status.role)},
            {"standing", standingName(status.standing)},
            {"term", status.term},
            {"leader", status.leader ? status.leader->instance : ""},
            {"lastIndex", status.lastIndex},
            {"commitIndex", status.commitIndex},
            {"snapshotIndex", status.snapshotIndex},
            {"voters", voters},
            {"majorityDisks", status.majorityDisks == MajorityDisks::Lost ? "lost" : "present"},
            {"failure", std::string(status.failure.message())}};
}

} // namespace

std::string formatStatus(Instance const &instance, std::optional<ReplicationStatus> const &replication)
{
    nlohmann::json json{{"instance", selfJson(instance)},
                        {"members", membersJson(instance)},
                        {"failureDomains", domainsJson(instance)},
                        {"services", servicesJson(instance)}};
    if (replication)
        json["replication"] = replicationJson(*replication);
    return json.dump();
}

std::string formatExplanation(Explanation const &explanation)
{
    nlohmann::json const json{
        {"service", explanation.service},       {"bucket", explanation.bucket},
        {"target", explanation.target},         {"failureDomain", explanation.targetFailureDomain},
        {"dispatcher", explanation.dispatcher}, {"configurationVersion", explanation.configurationVersion},
        {"claimedBy", explanation.claimedBy},   {"reasons", explanation.reasons}};
    return json.dump();
}

std::string formatAudit(ConfigurationState const &state, std::size_t limit)
{
    auto entries = nlohmann::json::array();
    std::size_t const skipped = state.audit.size() - std::min(limit, state.audit.size());
    for (std::size_t index = skipped; index < state.audit.size(); ++index)
        entries.push_back(nlohmann::json::parse(formatAuditEntry(state.audit[index])));
    return nlohmann::json{{"entries", entries}}.dump();
}

std::string formatCoverage(std::uint64_t version, std::vector<InstanceVersion> const &versions)
{
    auto instances = nlohmann::json::array();
    bool isInForceEverywhere = true;
    for (InstanceVersion const &entry : versions) {
        bool const isInForce = entry.version && *entry.version >= version;
        isInForceEverywhere = isInForceEverywhere && isInForce;
        nlohmann::json json{{"instance", entry.instance},
                            {"failureDomain", entry.failureDomain},
                            {"state",
                             isInForce           ? "in-force"
                                 : entry.version ? "older"
                                                 : "unconfirmed"}};
        if (entry.version)
            json["version"] = *entry.version;
        instances.push_back(json);
    }
    return nlohmann::json{
        {"version", version}, {"inForceEverywhere", isInForceEverywhere}, {"instances", instances}}
        .dump();
}

std::string formatVersion(std::uint64_t version)
{
    return nlohmann::json{{"configurationVersion", version}}.dump();
}

std::optional<std::uint64_t> parseVersion(std::string const &text)
{
    auto const json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("configurationVersion")
        || !json.at("configurationVersion").is_number_unsigned())
        return std::nullopt;
    return json.at("configurationVersion").get<std::uint64_t>();
}

std::string formatError(std::string_view text)
{
    return nlohmann::json{{"error", text}}.dump();
}

} // namespace almondwing
