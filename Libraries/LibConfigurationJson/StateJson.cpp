// Reads and writes configurations, audit entries and the state of the configuration.

#include <LibConfigurationJson/StateJson.h>

#include <LibConfigurationJson/ChangeJson.h>
#include <LibManifest/ManifestJson.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

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

// The first line of a state: everything but the lists, and the lengths of those.
struct StateHeader
{
    ConfigurationState state;
    std::size_t knownRequests = 0;
    std::size_t auditEntries = 0;
};

StateHeader readStateHeader(JsonValue const &value)
{
    value.allowKeys({"configuration", "lastIndex", "lastAccepted", "knownRequests", "audit"});
    return {.state = {.configuration = readConfiguration(value.member("configuration")),
                      .lastIndex = readNumber(value, "lastIndex"),
                      .lastAccepted = readLastAccepted(value.member("lastAccepted"))},
            .knownRequests = value.member("knownRequests").number(0, maxKnownRequests),
            .auditEntries = value.member("audit").number(0, maxAuditEntries)};
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

// Reads a state line by line.
class StateParser
{
public:
    explicit StateParser(std::string const &stateText) : text(stateText) { }

    std::variant<ConfigurationState, InputErrors> parse() &&
    {
        StateHeader header = this->readLine<StateHeader>(readStateHeader);
        ConfigurationState &state = header.state;
        for (std::size_t count = 0; count < header.knownRequests && this->errors.empty(); ++count)
            state.knownRequests.pushBack(this->readLine<KnownRequest>(readKnownRequest));
        for (std::size_t count = 0; count < header.auditEntries && this->errors.empty(); ++count)
            state.audit.pushBack(this->readLine<AuditEntry>(readAuditEntry));
        if (this->errors.empty())
            this->checkState(state);
        if (!this->errors.empty())
            return std::move(this->errors);
        return std::move(state);
    }

private:
    template<typename Value, typename Read>
    Value readLine(Read const &read)
    {
        ++this->lineNumber;
        std::size_t const end = this->text.find('\n', this->position);
        // Each line ends with a line break, so that a text cut anywhere is recognized.
        if (end == std::string::npos) {
            this->report("the end of the text", "a complete line");
            return {};
        }
        std::string const line = this->text.substr(this->position, end - this->position);
        this->position = end + 1;
        auto result = parsed<Value>(line, read);
        if (auto const *const lineErrors = std::get_if<InputErrors>(&result)) {
            for (InputError const &error : *lineErrors)
                this->errors.push_back({.path = fmt::format("line {}: {}", this->lineNumber, error.path),
                                        .value = error.value,
                                        .allowed = error.allowed});
            return {};
        }
        return std::get<Value>(std::move(result));
    }

    // Checks the invariants that the state machine relies on.
    void checkState(ConfigurationState const &state)
    {
        if (this->position != this->text.size())
            this->report("more text", "the end of the text");
        std::set<std::string_view> requestIds;
        for (KnownRequest const &known : state.knownRequests)
            requestIds.insert(known.requestId);
        if (requestIds.size() != state.knownRequests.size())
            this->report("a repeated request id", "each known request once");
        if (!std::ranges::is_sorted(state.audit, std::ranges::less_equal{}, &AuditEntry::index))
            this->report("audit entries out of order", "ascending indexes");
        if (!state.audit.empty() && state.audit.back().index > state.lastIndex)
            this->report("an audit entry after lastIndex", "indexes up to lastIndex");
    }

    void report(std::string value, std::string allowed)
    {
        this->errors.push_back({.path = fmt::format("line {}", this->lineNumber),
                                .value = std::move(value),
                                .allowed = std::move(allowed)});
    }

    std::string const &text;
    std::size_t position = 0; // Start of the next line.
    std::size_t lineNumber = 0; // Of the line read last, from 1.
    InputErrors errors;
};

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
    Json const header{
        {"configuration", jsonOf(state.configuration)},
        {"lastIndex", state.lastIndex},
        {"lastAccepted",
         {{"requestId", state.lastAccepted.requestId}, {"operator", state.lastAccepted.operatorName}}},
        {"knownRequests", state.knownRequests.size()},
        {"audit", state.audit.size()}};
    std::string text = dumped(header) + "\n";
    for (KnownRequest const &known : state.knownRequests)
        text.append(dumped(jsonOf(known))).append("\n");
    for (AuditEntry const &entry : state.audit)
        text.append(dumped(jsonOf(entry))).append("\n");
    return text;
}

std::variant<ConfigurationState, InputErrors> parseConfigurationState(std::string const &json)
{
    return StateParser(json).parse();
}

} // namespace almondwing
