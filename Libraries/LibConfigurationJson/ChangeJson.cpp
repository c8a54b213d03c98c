// Reads and writes change requests and outcomes.

#include <LibConfigurationJson/ChangeJson.h>

#include <LibManifest/ManifestJson.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace almondwing {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint64_t maxVersion = std::numeric_limits<std::uint64_t>::max();

std::string serialize(Json const &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(ApplyManifest const &change)
{
    return Json{{"kind", "apply-manifest"},
                {"manifest", Json::parse(formatProposedManifest(change.proposal))}};
}

Json toJson(SetFailureDomainState const &change)
{
    return Json{{"kind", "set-failure-domain-state"},
                {"failureDomain", change.failureDomain},
                {"state", change.state == FailureDomainState::TakenOut ? "taken-out" : "in-service"},
                {"lastDomain", change.policy == LastDomainPolicy::Force ? "force" : "refuse"}};
}

Json toJson(SetTargetDraining const &change)
{
    return Json{{"kind", "set-target-draining"},
                {"target", change.target},
                {"state", change.state == DrainState::Draining ? "draining" : "active"}};
}

Json toJson(ChangeAccepted const &accepted)
{
    return Json{{"outcome", "accepted"}, {"version", accepted.version}};
}

Json toJson(ChangeConflict const &conflict)
{
    return Json{{"outcome", "conflict"},
                {"currentVersion", conflict.currentVersion},
                {"winningRequestId", conflict.winningRequestId},
                {"winningOperator", conflict.winningOperator}};
}

Json toJson(ChangeRejected const &rejected)
{
    return Json{{"outcome", "rejected"}, {"errors", rejected.errors}};
}

ApplyManifest readApplyManifest(JsonValue const &value)
{
    value.allowKeys({"kind", "manifest"});
    JsonValue const manifest = value.member("manifest");
    if (!manifest.isPresent())
        return {};
    ManifestResult result = parseManifest(manifest.document());
    if (auto const *const errors = std::get_if<InputErrors>(&result)) {
        manifest.reportNested(*errors);
        return {};
    }
    return ApplyManifest{.proposal = std::get<ProposedManifest>(std::move(result))};
}

SetFailureDomainState readSetFailureDomainState(JsonValue const &value)
{
    value.allowKeys({"kind", "failureDomain", "state", "lastDomain"});
    return SetFailureDomainState{
        .failureDomain = value.member("failureDomain").text(),
        .state = value.member("state").choice<FailureDomainState>(
            {{"in-service", FailureDomainState::InService}, {"taken-out", FailureDomainState::TakenOut}}),
        .policy = value.optionalMember("lastDomain")
                      .choice<LastDomainPolicy>(
                          {{"refuse", LastDomainPolicy::Refuse}, {"force", LastDomainPolicy::Force}})};
}

SetTargetDraining readSetTargetDraining(JsonValue const &value)
{
    value.allowKeys({"kind", "target", "state"});
    return SetTargetDraining{.target = value.member("target").text(),
                             .state = value.member("state").choice<DrainState>(
                                 {{"active", DrainState::Active}, {"draining", DrainState::Draining}})};
}

ConfigurationChange readChange(JsonValue const &value)
{
    enum class Kind : std::uint8_t { Unknown, ApplyManifest, SetFailureDomainState, SetTargetDraining };
    auto const kind =
        value.member("kind").choice<Kind>({{"apply-manifest", Kind::ApplyManifest},
                                           {"set-failure-domain-state", Kind::SetFailureDomainState},
                                           {"set-target-draining", Kind::SetTargetDraining}},
                                          Kind::Unknown);
    switch (kind) {
    case Kind::ApplyManifest:
        return readApplyManifest(value);
    case Kind::SetFailureDomainState:
        return readSetFailureDomainState(value);
    case Kind::SetTargetDraining:
        return readSetTargetDraining(value);
    case Kind::Unknown:
        break;
    }
    // The allowed keys depend on the kind, so without a kind only the type of the value is checked.
    if (!value.isObject())
        value.allowKeys({"kind"});
    return {};
}

} // namespace

std::string formatChangeRequest(ChangeRequest const &request)
{
    Json json{{"requestId", request.requestId}, {"operator", request.operatorName}};
    if (request.baseVersion)
        json["baseVersion"] = *request.baseVersion;
    json["submittedAt"] = request.submittedAt;
    json["change"] = std::visit([](auto const &change) { return toJson(change); }, request.change);
    return serialize(json);
}

std::variant<ChangeRequest, InputErrors> parseChangeRequest(std::string const &json)
{
    JsonDocument document(json);
    JsonValue const root = document.root();
    root.allowKeys({"requestId", "operator", "baseVersion", "submittedAt", "change"});
    JsonValue const requestId = root.member("requestId");
    ChangeRequest request{.requestId = requestId.text(),
                          .operatorName = root.optionalMember("operator").text(),
                          .submittedAt = root.optionalMember("submittedAt").signedNumber(),
                          .change = readChange(root.member("change"))};
    if (requestId.isText() && !isValidRequestId(request.requestId))
        requestId.report(std::string(requestIdRule));
    if (JsonValue const baseVersion = root.optionalMember("baseVersion"); baseVersion.isPresent())
        request.baseVersion = baseVersion.number(0, maxVersion);
    if (!document.errors().empty())
        return document.errors();
    return request;
}

std::string formatChangeOutcome(ChangeOutcome const &outcome)
{
    return serialize(std::visit([](auto const &kind) { return toJson(kind); }, outcome));
}

ChangeOutcome readChangeOutcome(JsonValue const &value)
{
    enum class Kind : std::uint8_t { Accepted, Conflict, Rejected };
    auto const kind = value.member("outcome").choice<Kind>(
        {{"accepted", Kind::Accepted}, {"conflict", Kind::Conflict}, {"rejected", Kind::Rejected}});
    if (kind == Kind::Accepted) {
        value.allowKeys({"outcome", "version"});
        return ChangeAccepted{.version = value.member("version").number(0, maxVersion)};
    }
    if (kind == Kind::Conflict) {
        value.allowKeys({"outcome", "currentVersion", "winningRequestId", "winningOperator"});
        return ChangeConflict{.currentVersion = value.member("currentVersion").number(0, maxVersion),
                              .winningRequestId = value.member("winningRequestId").text(),
                              .winningOperator = value.member("winningOperator").text()};
    }
    value.allowKeys({"outcome", "errors"});
    ChangeRejected rejected;
    for (JsonValue const &error : value.member("errors").elements())
        rejected.errors.push_back(error.text());
    return rejected;
}

std::variant<ChangeOutcome, InputErrors> parseChangeOutcome(std::string const &json)
{
    JsonDocument document(json);
    ChangeOutcome outcome = readChangeOutcome(document.root());
    if (!document.errors().empty())
        return document.errors();
    return outcome;
}

} // namespace almondwing
