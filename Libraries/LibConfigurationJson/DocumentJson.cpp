// Implements the JSON codec of the replicated configuration document.

#include <LibConfigurationJson/DocumentJson.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace almondwing {

namespace {

using Json = nlohmann::json;

Json toJson(ReplaceDocument const &change)
{
    return {{"kind", "replace"}, {"version", change.version}, {"text", change.text}};
}

Json toJson(TakeOutFailureDomain const &change)
{
    return {{"kind", "take-out"}, {"failure_domain", change.failureDomain}};
}

Json toJson(BringBackFailureDomain const &change)
{
    return {{"kind", "bring-back"}, {"failure_domain", change.failureDomain}};
}

// Converts exceptions of the JSON library to a status.
template<typename Decode>
auto parseAndDecode(std::string_view text, Decode const &decode) -> absl::StatusOr<decltype(decode(Json()))>
{
    try {
        return decode(Json::parse(text));
    } catch (Json::exception const &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

std::string formatDocumentChange(DocumentChange const &change)
{
    return std::visit([](auto const &kind) { return toJson(kind); }, change).dump();
}

absl::StatusOr<DocumentChange> parseDocumentChange(std::string_view text)
{
    auto change = parseAndDecode(text, [](Json const &json) -> std::pair<std::string, DocumentChange> {
        std::string kind = json.at("kind").get<std::string>();
        if (kind == "replace")
            return {
                kind,
                ReplaceDocument{json.at("version").get<std::uint64_t>(), json.at("text").get<std::string>()}};
        std::string domain = json.at("failure_domain").get<std::string>();
        if (kind == "take-out")
            return {kind, TakeOutFailureDomain{std::move(domain)}};
        return {kind, BringBackFailureDomain{std::move(domain)}};
    });
    if (!change.ok())
        return change.status();
    if (change->first != "replace" && change->first != "take-out" && change->first != "bring-back")
        return absl::InvalidArgumentError("unknown kind of change: " + change->first);
    return std::move(change->second);
}

std::string formatDocumentState(DocumentState const &state)
{
    Json domains = Json::object();
    for (auto const &[name, service] : state.domains)
        domains[name] = static_cast<int>(service);
    return Json{{"version", state.version}, {"text", *state.text}, {"domains", std::move(domains)}}.dump();
}

absl::StatusOr<DocumentState> parseDocumentState(std::string_view text)
{
    return parseAndDecode(text, [](Json const &json) {
        DocumentState state;
        state.version = json.at("version").get<std::uint64_t>();
        state.text = std::make_shared<std::string const>(json.at("text").get<std::string>());
        for (auto const &[name, service] : json.at("domains").items())
            state.domains[name] =
                service.get<int>() == 0 ? DomainServiceState::InService : DomainServiceState::TakenOut;
        return state;
    });
}

} // namespace almondwing
