// Implements the JSON codec. Records are encoded as arrays, because member names would repeat in every
// record.

#include <LibNode/NodeWire.h>

#include <LibCore/JsonNesting.h>
#include <LibCore/Try.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace almondwing {

namespace {

using Json = nlohmann::json;

// A longer duration is sent as this one. Receivers refuse a whole message for a single duration beyond it.
constexpr std::int64_t maxMilliseconds = std::int64_t{24} * 3600 * 1000;

std::int64_t toMilliseconds(Duration duration)
{
    return std::clamp<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(),
                                    -maxMilliseconds, maxMilliseconds);
}

// Refuses numbers that the type can't hold. The JSON library would convert them to other numbers.
template<typename Number>
Number readNumber(Json const &json)
{
    bool const isInRange = json.is_number_unsigned()
        ? std::in_range<Number>(json.get<std::uint64_t>())
        : json.is_number_integer() && std::in_range<Number>(json.get<std::int64_t>());
    if (!isInRange)
        throw std::invalid_argument("not an integer of the expected range");
    return json.get<Number>();
}

Duration fromMilliseconds(std::int64_t milliseconds)
{
    if (milliseconds < -maxMilliseconds || milliseconds > maxMilliseconds)
        throw std::invalid_argument("time out of range");
    return std::chrono::milliseconds(milliseconds);
}

Endpoint decodeEndpoint(Json const &json)
{
    auto const endpoint = Endpoint::parse(json.get<std::string>());
    if (!endpoint.ok())
        throw std::invalid_argument("not an endpoint: " + json.get<std::string>());
    return *endpoint;
}

// Writes lists of records as text without building a JSON tree. Lists make up most bytes of a message, and
// building trees of 3,002 records took most of the processor time of control instances in a run with 300
// machines.
class ListWriter
{
public:
    template<typename... Fields>
    void add(fmt::format_string<Fields...> format, Fields &&...fields)
    {
        this->text += this->text.size() > 1 ? ",[" : "[";
        fmt::format_to(std::back_inserter(this->text), format, std::forward<Fields>(fields)...);
        this->text += ']';
    }

    // Returns the name as a JSON string. The results are cached, because the same few names occur in
    // many records.
    std::string const &quoted(std::string const &name)
    {
        auto const known = this->names.find(name);
        return known != this->names.end() ? known->second
                                          : this->names.emplace(name, Json(name).dump()).first->second;
    }

    std::string finish() && { return std::move(this->text) + ']'; }

private:
    std::string text = "[";
    std::map<std::string, std::string> names;
};

std::string targetListText(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    ListWriter list;
    for (RegisteredTarget const &target : targets) {
        Duration const cold = std::max(Duration::zero(), target.coldUntil - now);
        list.add(R"({},{},{},"{}",{},{},{},{},{},{})", target.number.value, list.quoted(target.service),
                 list.quoted(target.failureDomain), target.endpoint.toString(), target.slots,
                 static_cast<int>(target.state), target.reportVersion.startUnixMilliseconds,
                 target.reportVersion.sequence, toMilliseconds(now - target.lastSeenAt),
                 toMilliseconds(cold));
    }
    return std::move(list).finish();
}

std::string heartbeatListText(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    ListWriter list;
    for (RegisteredTarget const &target : targets)
        list.add("{},{},{},{}", target.number.value, target.reportVersion.startUnixMilliseconds,
                 target.reportVersion.sequence, toMilliseconds(now - target.lastSeenAt));
    return std::move(list).finish();
}

// Appends a member to the text of a non-empty JSON object.
std::string withMember(std::string object, std::string_view name, std::string const &value)
{
    object.back() = ',';
    object += fmt::format("\"{}\":", name);
    object += value;
    object += '}';
    return object;
}

RegisteredTarget decodeTarget(Json const &json, Timestamp now)
{
    auto const state = readNumber<std::uint32_t>(json.at(5));
    if (state > static_cast<std::uint32_t>(RegisteredState::Gone))
        throw std::invalid_argument("unknown state of target");
    return RegisteredTarget{.number = TargetNumber{readNumber<std::uint64_t>(json.at(0))},
                            .service = json.at(1).get<std::string>(),
                            .failureDomain = json.at(2).get<std::string>(),
                            .endpoint = decodeEndpoint(json.at(3)),
                            .slots = readNumber<std::uint32_t>(json.at(4)),
                            .state = static_cast<RegisteredState>(state),
                            .reportVersion =
                                ReportVersion{.startUnixMilliseconds = readNumber<std::int64_t>(json.at(6)),
                                              .sequence = readNumber<std::uint64_t>(json.at(7))},
                            .lastSeenAt = now - fromMilliseconds(readNumber<std::int64_t>(json.at(8))),
                            .coldUntil = now + fromMilliseconds(readNumber<std::uint32_t>(json.at(9)))};
}

std::vector<RegisteredTarget> decodeTargets(Json const &json, Timestamp now)
{
    std::vector<RegisteredTarget> targets;
    for (Json const &element : json)
        targets.push_back(decodeTarget(element, now));
    return targets;
}

Json toJson(std::vector<TargetActivity> const &activity)
{
    Json list = Json::array();
    for (TargetActivity const &entry : activity)
        list.push_back(Json::array({entry.token.value, entry.flows}));
    return list;
}

std::vector<TargetActivity> decodeActivity(Json const &json)
{
    std::vector<TargetActivity> activity;
    for (Json const &element : json)
        activity.push_back(TargetActivity{.token = TargetToken{readNumber<std::uint32_t>(element.at(0))},
                                          .flows = readNumber<std::uint32_t>(element.at(1))});
    return activity;
}

Json toJson(std::vector<GroupLoad> const &loads)
{
    Json list = Json::array();
    for (GroupLoad const &load : loads)
        list.push_back(Json::array({load.group.service, load.group.failureDomain, load.flows, load.slots}));
    return list;
}

std::vector<GroupLoad> decodeLoads(Json const &json)
{
    std::vector<GroupLoad> loads;
    for (Json const &element : json)
        loads.push_back(GroupLoad{
            .group = TargetGroup{element.at(0).get<std::string>(), element.at(1).get<std::string>()},
            .flows = readNumber<std::uint32_t>(element.at(2)),
            .slots = readNumber<std::uint32_t>(element.at(3))});
    return loads;
}

std::vector<RegisteredTarget> decodeHeartbeats(Json const &json, Timestamp now)
{
    std::vector<RegisteredTarget> targets;
    for (Json const &element : json)
        targets.push_back(RegisteredTarget{
            .number = TargetNumber{readNumber<std::uint64_t>(element.at(0))},
            .reportVersion = ReportVersion{.startUnixMilliseconds = readNumber<std::int64_t>(element.at(1)),
                                           .sequence = readNumber<std::uint64_t>(element.at(2))},
            .lastSeenAt = now - fromMilliseconds(readNumber<std::int64_t>(element.at(3)))});
    return targets;
}

Json toJson(std::vector<ControlPeer> const &peers)
{
    Json list = Json::array();
    for (ControlPeer const &peer : peers)
        list.push_back(Json::array({peer.endpoint.toString(), peer.failureDomain}));
    return list;
}

std::vector<ControlPeer> decodePeers(Json const &json)
{
    std::vector<ControlPeer> peers;
    for (Json const &element : json)
        peers.push_back(ControlPeer{.endpoint = decodeEndpoint(element.at(0)),
                                    .failureDomain = element.at(1).get<std::string>()});
    return peers;
}

Json toJson(FlowRoute const &route)
{
    Json services = Json::array();
    for (WeightedService const &service : route.services)
        services.push_back(Json::array({service.service, service.weight}));
    Json json = Json::array({route.endpoint.toString(), std::move(services)});
    if (route.terms != RouteTerms{})
        json.push_back(
            Json::array({route.terms.isRepeatable ? 1 : 0, toMilliseconds(route.terms.latencyObjective)}));
    return json;
}

FlowRoute decodeRoute(Json const &json)
{
    FlowRoute route{.endpoint = decodeEndpoint(json.at(0))};
    for (Json const &service : json.at(1))
        route.services.push_back(
            WeightedService{service.at(0).get<std::string>(), readNumber<std::uint32_t>(service.at(1))});
    if (route.services.empty())
        throw std::invalid_argument("route without a service");
    if (json.size() > 2) // Absent without terms and in messages of earlier versions.
        route.terms =
            RouteTerms{.isRepeatable = readNumber<std::uint32_t>(json.at(2).at(0)) != 0,
                       .latencyObjective = fromMilliseconds(readNumber<std::uint32_t>(json.at(2).at(1)))};
    return route;
}

Json toJson(ConfigurationView const &view)
{
    Json routes = Json::array();
    for (FlowRoute const &route : view.configuration.routes)
        routes.push_back(toJson(route));
    return {{"revision", view.revision},
            {"version", view.configuration.version},
            {"routes", std::move(routes)},
            {"services", view.configuration.services},
            {"idle_ms", toMilliseconds(view.configuration.idleTimeout)},
            {"cold_ms", toMilliseconds(view.configuration.coldPhase)},
            {"taken_out", view.domainsTakenOut}};
}

ConfigurationView decodeConfiguration(Json const &json)
{
    ConfigurationView view{.revision = readNumber<std::uint64_t>(json.at("revision")),
                           .domainsTakenOut = json.at("taken_out").get<std::set<std::string>>()};
    view.configuration.version = readNumber<std::uint64_t>(json.at("version"));
    for (Json const &route : json.at("routes"))
        view.configuration.routes.push_back(decodeRoute(route));
    if (json.contains("services")) // Absent in messages of earlier versions.
        view.configuration.services = json.at("services").get<std::set<std::string>>();
    view.configuration.idleTimeout = fromMilliseconds(readNumber<std::int64_t>(json.at("idle_ms")));
    view.configuration.coldPhase = fromMilliseconds(readNumber<std::int64_t>(json.at("cold_ms")));
    return view;
}

// Converts exceptions of the JSON library to a status.
template<typename Decode>
auto parseJson(std::string_view text, Decode const &decode) -> absl::StatusOr<decltype(decode(Json()))>
{
    TRY_STATUS(checkJsonNesting(text));
    try {
        return decode(Json::parse(text));
    } catch (std::exception const &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

std::string formatViewRequest(ViewRequest const &request)
{
    Json json{{"instance", request.instance},
              {"failure_domain", request.failureDomain},
              {"boot", request.bootId},
              {"registry", request.registryGeneration},
              {"revision", request.revision}};
    if (request.isNewSource)
        json["new"] = true;
    if (request.readiness)
        json["readiness"] = request.readiness->toString();
    if (request.activity)
        json["activity"] = toJson(*request.activity);
    return json.dump();
}

absl::StatusOr<ViewRequest> parseViewRequest(std::string_view text)
{
    return parseJson(text, [](Json const &json) {
        ViewRequest request{
            .instance = json.at("instance").get<std::string>(),
            .failureDomain = json.at("failure_domain").get<std::string>(),
            .bootId = readNumber<std::uint64_t>(json.at("boot")),
            .registryGeneration = readNumber<std::uint64_t>(json.at("registry")),
            .revision = readNumber<std::uint64_t>(json.at("revision")),
            .isNewSource = json.contains("new"),
        };
        if (json.contains("readiness"))
            request.readiness = decodeEndpoint(json.at("readiness"));
        if (json.contains("activity"))
            request.activity = decodeActivity(json.at("activity"));
        return request;
    });
}

std::string formatViewReply(ViewReply const &reply, Timestamp now)
{
    return formatViewReply(
        reply,
        EncodedViewParts{.targets =
                             reply.targets.empty() ? std::string() : targetListText(reply.targets, now),
                         .configuration = reply.configuration ? formatConfiguration(*reply.configuration)
                                                              : std::string()});
}

std::string formatViewReply(ViewReply const &reply, EncodedViewParts const &parts)
{
    Json json{{"boot", reply.bootId},
              {"registry", reply.registryGeneration},
              {"contact", reply.isInContact},
              {"complete", reply.isRegistryComplete}};
    if (reply.hasColdPermit)
        json["cold"] = true;
    if (reply.extent == RegistryExtent::Full)
        json["full"] = true;
    if (!reply.controlInstances.empty())
        json["controls"] = toJson(reply.controlInstances);
    if (!reply.activity.empty())
        json["activity"] = toJson(reply.activity);
    if (!reply.loads.empty())
        json["loads"] = toJson(reply.loads);
    for (TargetNumber const number : reply.overdue)
        json["overdue"].push_back(number.value);
    std::string text = json.dump();
    if (!parts.configuration.empty())
        text = withMember(std::move(text), "configuration", parts.configuration);
    if (!parts.targets.empty())
        text = withMember(std::move(text), "targets", parts.targets);
    return text;
}

absl::StatusOr<ViewReply> parseViewReply(std::string_view text, Timestamp now)
{
    return parseJson(text, [now](Json const &json) {
        Json const emptyList = Json::array();
        ViewReply reply{.bootId = readNumber<std::uint64_t>(json.at("boot")),
                        .registryGeneration = readNumber<std::uint64_t>(json.at("registry")),
                        .extent = json.contains("full") ? RegistryExtent::Full : RegistryExtent::Delta,
                        .isRegistryComplete = json.at("complete").get<bool>(),
                        .isInContact = json.at("contact").get<bool>(),
                        .targets = decodeTargets(json.value("targets", emptyList), now),
                        .controlInstances = decodePeers(json.value("controls", emptyList)),
                        .hasColdPermit = json.contains("cold"),
                        .activity = decodeActivity(json.value("activity", emptyList)),
                        .loads = decodeLoads(json.value("loads", emptyList))};
        if (json.contains("configuration"))
            reply.configuration = decodeConfiguration(json.at("configuration"));
        for (Json const &number : json.value("overdue", emptyList))
            reply.overdue.push_back(TargetNumber{readNumber<std::uint64_t>(number)});
        return reply;
    });
}

std::string formatRegistryExchange(RegistryExchange const &exchange, Timestamp now)
{
    Json reachablePeers = Json::array();
    for (Endpoint const peer : exchange.reachablePeers)
        reachablePeers.push_back(peer.toString());
    Json json{{"from", exchange.from.toString()},
              {"failure_domain", exchange.failureDomain},
              {"boot", exchange.bootId},
              {"peers", toJson(exchange.peers)},
              {"hears", std::move(reachablePeers)},
              {"flows", toJson(exchange.flows)}};
    if (exchange.receiverBootId)
        json["receiver_boot"] = *exchange.receiverBootId;
    return withMember(withMember(json.dump(), "targets", targetListText(exchange.targets, now)), "heard",
                      heartbeatListText(exchange.heartbeats, now));
}

absl::StatusOr<RegistryExchange> parseRegistryExchange(std::string_view text, Timestamp now)
{
    return parseJson(text, [now](Json const &json) {
        RegistryExchange exchange{.from = decodeEndpoint(json.at("from")),
                                  .failureDomain = json.at("failure_domain").get<std::string>(),
                                  .bootId = readNumber<std::uint64_t>(json.at("boot")),
                                  .peers = decodePeers(json.at("peers")),
                                  .targets = decodeTargets(json.at("targets"), now),
                                  .heartbeats = decodeHeartbeats(json.at("heard"), now),
                                  .flows = decodeLoads(json.at("flows"))};
        for (Json const &peer : json.at("hears"))
            exchange.reachablePeers.push_back(decodeEndpoint(peer));
        if (json.contains("receiver_boot"))
            exchange.receiverBootId = readNumber<std::uint64_t>(json.at("receiver_boot"));
        return exchange;
    });
}

std::string formatRegistryExchangeReply(RegistryExchangeReply const &reply)
{
    Json json{{"boot", reply.bootId}};
    for (TargetNumber const number : reply.missing)
        json["missing"].push_back(number.value);
    return json.dump();
}

absl::StatusOr<RegistryExchangeReply> parseRegistryExchangeReply(std::string_view text)
{
    return parseJson(text, [](Json const &json) {
        RegistryExchangeReply reply{.bootId = readNumber<std::uint64_t>(json.at("boot"))};
        for (Json const &number : json.value("missing", Json::array())) // Absent if there are none.
            reply.missing.push_back(TargetNumber{readNumber<std::uint64_t>(number)});
        return reply;
    });
}

std::string formatConfiguration(ConfigurationView const &view)
{
    return toJson(view).dump();
}

std::string formatTargets(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    return targetListText(targets, now);
}

absl::StatusOr<std::vector<RegisteredTarget>> parseTargets(std::string_view text, Timestamp now)
{
    return parseJson(text, [now](Json const &json) { return decodeTargets(json, now); });
}

} // namespace almondwing
