// Implements the JSON codec between instances. Records are arrays, because their members repeat in every
// message.

#include <LibNode/NodeWire.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>
#include <map>

namespace almondwing {

namespace {

using Json = nlohmann::json;

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration fromMilliseconds(std::int64_t milliseconds)
{
    constexpr std::int64_t longest = std::int64_t{24} * 3600 * 1000;
    if (milliseconds < -longest || milliseconds > longest)
        throw std::invalid_argument("a time is out of range");
    return std::chrono::milliseconds(milliseconds);
}

Endpoint endpointOf(Json const &json)
{
    auto const endpoint = Endpoint::parse(json.get<std::string>());
    if (!endpoint.ok())
        throw std::invalid_argument("not an endpoint: " + json.get<std::string>());
    return *endpoint;
}

// Lists of records are written without a tree: they make up most bytes of a message, and building trees of
// 3,002 records took most of the time of the control instances of a sweep with 300 machines.
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

    // A name as JSON. Few names repeat in many records.
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

std::string listText(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    ListWriter list;
    for (RegisteredTarget const &target : targets) {
        Duration const cold = std::max(Duration::zero(), target.coldUntil - now);
        list.add(R"({},{},{},"{}",{},{},{},{},{},{})", target.number.value, list.quoted(target.service),
                 list.quoted(target.failureDomain), target.endpoint.toString(), target.slots,
                 static_cast<int>(target.state), target.reportVersion.startUnixMilliseconds,
                 target.reportVersion.sequence, millisecondsOf(now - target.lastSeenAt),
                 millisecondsOf(cold));
    }
    return std::move(list).finish();
}

std::string heardListText(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    ListWriter list;
    for (RegisteredTarget const &target : targets)
        list.add("{},{},{},{}", target.number.value, target.reportVersion.startUnixMilliseconds,
                 target.reportVersion.sequence, millisecondsOf(now - target.lastSeenAt));
    return std::move(list).finish();
}

// The text of an object with one more member.
std::string withMember(std::string object, std::string_view name, std::string const &value)
{
    object.back() = ',';
    object += fmt::format("\"{}\":", name);
    object += value;
    object += '}';
    return object;
}

RegisteredTarget targetOf(Json const &json, Timestamp now)
{
    int const state = json.at(5).get<int>();
    if (state < 0 || state > static_cast<int>(RegisteredState::Gone))
        throw std::invalid_argument("unknown state of a target");
    return RegisteredTarget{.number = TargetNumber{json.at(0).get<std::uint64_t>()},
                            .service = json.at(1).get<std::string>(),
                            .failureDomain = json.at(2).get<std::string>(),
                            .endpoint = endpointOf(json.at(3)),
                            .slots = json.at(4).get<std::uint32_t>(),
                            .state = static_cast<RegisteredState>(state),
                            .reportVersion =
                                ReportVersion{.startUnixMilliseconds = json.at(6).get<std::int64_t>(),
                                              .sequence = json.at(7).get<std::uint64_t>()},
                            .lastSeenAt = now - fromMilliseconds(json.at(8).get<std::int64_t>()),
                            .coldUntil = now + fromMilliseconds(json.at(9).get<std::int64_t>())};
}

std::vector<RegisteredTarget> targetsOf(Json const &json, Timestamp now)
{
    std::vector<RegisteredTarget> targets;
    for (Json const &element : json)
        targets.push_back(targetOf(element, now));
    return targets;
}

Json toJson(std::vector<TargetActivity> const &activity)
{
    Json list = Json::array();
    for (TargetActivity const &entry : activity)
        list.push_back(Json::array({entry.token.value, entry.flows}));
    return list;
}

std::vector<TargetActivity> activityOf(Json const &json)
{
    std::vector<TargetActivity> activity;
    for (Json const &element : json)
        activity.push_back(TargetActivity{.token = TargetToken{element.at(0).get<std::uint32_t>()},
                                          .flows = element.at(1).get<std::uint32_t>()});
    return activity;
}

Json toJson(std::vector<GroupLoad> const &loads)
{
    Json list = Json::array();
    for (GroupLoad const &load : loads)
        list.push_back(Json::array({load.group.service, load.group.failureDomain, load.flows, load.slots}));
    return list;
}

std::vector<GroupLoad> loadsOf(Json const &json)
{
    std::vector<GroupLoad> loads;
    for (Json const &element : json)
        loads.push_back(GroupLoad{
            .group = TargetGroup{element.at(0).get<std::string>(), element.at(1).get<std::string>()},
            .flows = element.at(2).get<std::uint32_t>(),
            .slots = element.at(3).get<std::uint32_t>()});
    return loads;
}

std::vector<RegisteredTarget> heardOf(Json const &json, Timestamp now)
{
    std::vector<RegisteredTarget> targets;
    for (Json const &element : json)
        targets.push_back(RegisteredTarget{
            .number = TargetNumber{element.at(0).get<std::uint64_t>()},
            .reportVersion = ReportVersion{.startUnixMilliseconds = element.at(1).get<std::int64_t>(),
                                           .sequence = element.at(2).get<std::uint64_t>()},
            .lastSeenAt = now - fromMilliseconds(element.at(3).get<std::int64_t>())});
    return targets;
}

Json toJson(std::vector<ControlPeer> const &peers)
{
    Json list = Json::array();
    for (ControlPeer const &peer : peers)
        list.push_back(Json::array({peer.endpoint.toString(), peer.failureDomain}));
    return list;
}

std::vector<ControlPeer> peersOf(Json const &json)
{
    std::vector<ControlPeer> peers;
    for (Json const &element : json)
        peers.push_back(ControlPeer{.endpoint = endpointOf(element.at(0)),
                                    .failureDomain = element.at(1).get<std::string>()});
    return peers;
}

Json toJson(FlowRoute const &route)
{
    Json services = Json::array();
    for (WeightedService const &service : route.services)
        services.push_back(Json::array({service.service, service.weight}));
    return Json::array({route.endpoint.toString(), std::move(services)});
}

FlowRoute routeOf(Json const &json)
{
    FlowRoute route{.endpoint = endpointOf(json.at(0))};
    for (Json const &service : json.at(1))
        route.services.push_back(
            WeightedService{service.at(0).get<std::string>(), service.at(1).get<std::uint32_t>()});
    if (route.services.empty())
        throw std::invalid_argument("a route without a service");
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
            {"idle_ms", millisecondsOf(view.configuration.idleTimeout)},
            {"cold_ms", millisecondsOf(view.configuration.coldPhase)},
            {"taken_out", view.domainsTakenOut}};
}

ConfigurationView configurationOf(Json const &json)
{
    ConfigurationView view{.revision = json.at("revision").get<std::uint64_t>(),
                           .domainsTakenOut = json.at("taken_out").get<std::set<std::string>>()};
    view.configuration.version = json.at("version").get<std::uint64_t>();
    for (Json const &route : json.at("routes"))
        view.configuration.routes.push_back(routeOf(route));
    view.configuration.idleTimeout = fromMilliseconds(json.at("idle_ms").get<std::int64_t>());
    view.configuration.coldPhase = fromMilliseconds(json.at("cold_ms").get<std::int64_t>());
    return view;
}

// Library exceptions end here; the callers see a status.
template<typename Decode>
auto decoded(std::string_view text, Decode const &decode) -> absl::StatusOr<decltype(decode(Json()))>
{
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
              {"boot", request.boot},
              {"registry", request.registryGeneration},
              {"revision", request.revision}};
    if (request.isNewSource)
        json["new"] = true;
    if (request.activity)
        json["activity"] = toJson(*request.activity);
    return json.dump();
}

absl::StatusOr<ViewRequest> parseViewRequest(std::string_view text)
{
    return decoded(text, [](Json const &json) {
        ViewRequest request{
            .instance = json.at("instance").get<std::string>(),
            .failureDomain = json.at("failure_domain").get<std::string>(),
            .boot = json.at("boot").get<std::uint64_t>(),
            .registryGeneration = json.at("registry").get<std::uint64_t>(),
            .revision = json.at("revision").get<std::uint64_t>(),
            .isNewSource = json.contains("new"),
        };
        if (json.contains("activity"))
            request.activity = activityOf(json.at("activity"));
        return request;
    });
}

std::string formatViewReply(ViewReply const &reply, Timestamp now)
{
    return formatViewReply(reply, reply.targets.empty() ? std::string() : listText(reply.targets, now));
}

std::string formatViewReply(ViewReply const &reply, std::string const &targets)
{
    Json json{{"boot", reply.boot},
              {"registry", reply.registryGeneration},
              {"contact", reply.isInContact},
              {"complete", reply.isComplete}};
    if (reply.mayOpenCold)
        json["cold"] = true;
    if (reply.extent == RegistryExtent::Full)
        json["full"] = true;
    if (reply.configuration)
        json["configuration"] = toJson(*reply.configuration);
    if (!reply.controls.empty())
        json["controls"] = toJson(reply.controls);
    if (!reply.activity.empty())
        json["activity"] = toJson(reply.activity);
    if (!reply.loads.empty())
        json["loads"] = toJson(reply.loads);
    for (TargetNumber const number : reply.overdue)
        json["overdue"].push_back(number.value);
    return targets.empty() ? json.dump() : withMember(json.dump(), "targets", targets);
}

absl::StatusOr<ViewReply> parseViewReply(std::string_view text, Timestamp now)
{
    return decoded(text, [now](Json const &json) {
        Json const none = Json::array();
        ViewReply reply{.boot = json.at("boot").get<std::uint64_t>(),
                        .registryGeneration = json.at("registry").get<std::uint64_t>(),
                        .extent = json.contains("full") ? RegistryExtent::Full : RegistryExtent::Difference,
                        .isComplete = json.at("complete").get<bool>(),
                        .isInContact = json.at("contact").get<bool>(),
                        .targets = targetsOf(json.value("targets", none), now),
                        .controls = peersOf(json.value("controls", none)),
                        .mayOpenCold = json.contains("cold"),
                        .activity = activityOf(json.value("activity", none)),
                        .loads = loadsOf(json.value("loads", none))};
        if (json.contains("configuration"))
            reply.configuration = configurationOf(json.at("configuration"));
        for (Json const &number : json.value("overdue", none))
            reply.overdue.push_back(TargetNumber{number.get<std::uint64_t>()});
        return reply;
    });
}

std::string formatRegistryExchange(RegistryExchange const &exchange, Timestamp now)
{
    Json hears = Json::array();
    for (Endpoint const peer : exchange.hears)
        hears.push_back(peer.toString());
    Json const json{{"from", exchange.from.toString()},
                    {"failure_domain", exchange.failureDomain},
                    {"boot", exchange.boot},
                    {"peers", toJson(exchange.peers)},
                    {"hears", std::move(hears)},
                    {"flows", toJson(exchange.flows)}};
    return withMember(withMember(json.dump(), "targets", listText(exchange.targets, now)), "heard",
                      heardListText(exchange.heard, now));
}

absl::StatusOr<RegistryExchange> parseRegistryExchange(std::string_view text, Timestamp now)
{
    return decoded(text, [now](Json const &json) {
        RegistryExchange exchange{.from = endpointOf(json.at("from")),
                                  .failureDomain = json.at("failure_domain").get<std::string>(),
                                  .boot = json.at("boot").get<std::uint64_t>(),
                                  .peers = peersOf(json.at("peers")),
                                  .targets = targetsOf(json.at("targets"), now),
                                  .heard = heardOf(json.at("heard"), now),
                                  .flows = loadsOf(json.at("flows"))};
        for (Json const &peer : json.at("hears"))
            exchange.hears.push_back(endpointOf(peer));
        return exchange;
    });
}

std::string formatRegistryExchangeReply(RegistryExchangeReply const &reply)
{
    return Json{{"boot", reply.boot}}.dump();
}

absl::StatusOr<RegistryExchangeReply> parseRegistryExchangeReply(std::string_view text)
{
    return decoded(text, [](Json const &json) {
        return RegistryExchangeReply{.boot = json.at("boot").get<std::uint64_t>()};
    });
}

std::string formatTargets(std::vector<RegisteredTarget> const &targets, Timestamp now)
{
    return listText(targets, now);
}

absl::StatusOr<std::vector<RegisteredTarget>> parseTargets(std::string_view text, Timestamp now)
{
    return decoded(text, [now](Json const &json) { return targetsOf(json, now); });
}

} // namespace almondwing
