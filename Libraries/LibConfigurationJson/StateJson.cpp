// Reads and writes configurations, audit entries and the state of the configuration.

#include <LibConfigurationJson/StateJson.h>

#include <LibConfigurationJson/ChangeJson.h>
#include <LibManifest/ManifestJson.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace almondwing {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint64_t maximumNumber = std::numeric_limits<std::uint64_t>::max();

std::string dumped(Json const &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json jsonOf(Configuration const &configuration)
{
    Json json{{"version", configuration.version}};
    // The empty manifest before the first change breaks the rules of manifests, so it is left out.
    if (configuration.version > 0)
        json["manifest"] = Json::parse(formatManifest(configuration.manifest));
    return json;
}

Json jsonOf(ChangeOutcome const &outcome)
{
    return Json::parse(formatChangeOutcome(outcome));
}

std::string_view nameOf(AuditKind kind)
{
    switch (kind) {
    case AuditKind::Decided:
        return "decided";
    case AuditKind::Repeated:
        return "repeated";
    case AuditKind::IdReused:
        return "id-reused";
    }
    return "";
}

Json jsonOf(AuditEntry const &entry)
{
    Json json{{"index", entry.index},
              {"submittedAt", entry.submittedAt},
              {"operator", entry.operatorName},
              {"requestId", entry.requestId}};
    if (entry.baseVersion)
        json["baseVersion"] = *entry.baseVersion;
    json["resultingVersion"] = entry.resultingVersion;
    json["description"] = entry.description;
    json["kind"] = nameOf(entry.kind);
    json["outcome"] = jsonOf(entry.outcome);
    return json;
}

Json jsonOf(KnownRequest const &known)
{
    return Json{{"requestId", known.requestId},
                {"contentHash", known.contentHash},
                {"outcome", jsonOf(known.outcome)}};
}

std::uint64_t readNumber(JsonValue const &value, std::string_view key)
{
    return value.member(key).number(0, maximumNumber);
}

Configuration readConfiguration(JsonValue const &value)
{
    value.allowKeys({"version", "manifest"});
    Configuration configuration{.version = readNumber(value, "version"), .manifest = {}};
    JsonValue const manifest =
        configuration.version == 0 ? value.optionalMember("manifest") : value.member("manifest");
    if (!manifest.isPresent())
        return configuration;
    if (configuration.version == 0) {
        manifest.report("no manifest, because version 0 is the empty configuration");
        return configuration;
    }
    ManifestResult result = parseManifest(manifest.document());
    if (auto const *const errors = std::get_if<InputErrors>(&result))
        manifest.reportNested(*errors);
    else
        configuration.manifest = std::get<ProposedManifest>(std::move(result)).manifest;
    return configuration;
}

AuditEntry readAuditEntry(JsonValue const &value)
{
    value.allowKeys({"index", "submittedAt", "operator", "requestId", "baseVersion", "resultingVersion",
                     "description", "kind", "outcome"});
    AuditEntry entry{.index = readNumber(value, "index"),
                     .submittedAt = value.member("submittedAt").signedNumber(),
                     .operatorName = value.member("operator").text(),
                     .requestId = value.member("requestId").text(),
                     .resultingVersion = readNumber(value, "resultingVersion"),
                     .description = value.member("description").text(),
                     .kind = value.member("kind").choice<AuditKind>({{"decided", AuditKind::Decided},
                                                                     {"repeated", AuditKind::Repeated},
                                                                     {"id-reused", AuditKind::IdReused}}),
                     .outcome = readChangeOutcome(value.member("outcome"))};
    if (JsonValue const baseVersion = value.optionalMember("baseVersion"); baseVersion.isPresent())
        entry.baseVersion = baseVersion.number(0, maximumNumber);
    return entry;
}

KnownRequest readKnownRequest(JsonValue const &value)
{
    value.allowKeys({"requestId", "contentHash", "outcome"});
    return KnownRequest{.requestId = value.member("requestId").text(),
                        .contentHash = readNumber(value, "contentHash"),
                        .outcome = readChangeOutcome(value.member("outcome"))};
}

LastAccepted readLastAccepted(JsonValue const &value)
{
    value.allowKeys({"requestId", "operator"});
    return LastAccepted{.requestId = value.member("requestId").text(),
                        .operatorName = value.member("operator").text()};
}

ConfigurationState readState(JsonValue const &value)
{
    value.allowKeys({"configuration", "lastIndex", "lastAccepted", "knownRequests", "audit"});
    ConfigurationState state{.configuration = readConfiguration(value.member("configuration")),
                             .lastIndex = readNumber(value, "lastIndex"),
                             .lastAccepted = readLastAccepted(value.member("lastAccepted"))};
    for (JsonValue const &known : value.member("knownRequests").elements())
        state.knownRequests.push_back(readKnownRequest(known));
    for (JsonValue const &entry : value.member("audit").elements())
        state.audit.push_back(readAuditEntry(entry));
    return state;
}

template<typename Value, typename Read>
std::variant<Value, InputErrors> parsed(std::string const &json, Read const &read)
{
    JsonDocument document(json);
    Value value = read(document.root());
    if (!document.errors().empty())
        return document.errors();
    return value;
}

} // namespace

std::string formatConfiguration(Configuration const &configuration)
{
    return dumped(jsonOf(configuration));
}

std::variant<Configuration, InputErrors> parseConfiguration(std::string const &json)
{
    return parsed<Configuration>(json, readConfiguration);
}

std::string formatAuditEntry(AuditEntry const &entry)
{
    return dumped(jsonOf(entry));
}

std::variant<AuditEntry, InputErrors> parseAuditEntry(std::string const &json)
{
    return parsed<AuditEntry>(json, readAuditEntry);
}

std::string formatConfigurationState(ConfigurationState const &state)
{
    Json json{{"configuration", jsonOf(state.configuration)},
              {"lastIndex", state.lastIndex},
              {"lastAccepted",
               {{"requestId", state.lastAccepted.requestId}, {"operator", state.lastAccepted.operatorName}}},
              {"knownRequests", Json::array()},
              {"audit", Json::array()}};
    for (KnownRequest const &known : state.knownRequests)
        json["knownRequests"].push_back(jsonOf(known));
    for (AuditEntry const &entry : state.audit)
        json["audit"].push_back(jsonOf(entry));
    return dumped(json);
}

std::variant<ConfigurationState, InputErrors> parseConfigurationState(std::string const &json)
{
    return parsed<ConfigurationState>(json, readState);
}

} // namespace almondwing
