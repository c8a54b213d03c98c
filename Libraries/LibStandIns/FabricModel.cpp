// Implements the decisions of the fabric stand-in.

#include <LibStandIns/FabricModel.h>

#include <LibStandIns/SharedRandom.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace almondwing {

namespace {

HttpReply badRequest(std::string_view message)
{
    return {.status = 400, .body = fmt::format(R"({{"error":"{}"}})", message)};
}

absl::StatusOr<Endpoint> parseEndpoint(Query const &query, std::string const &name)
{
    auto const entry = query.find(name);
    return Endpoint::parse(entry == query.end() ? std::string_view() : std::string_view(entry->second));
}

// The fabric does not know which instances are up, so a cut instance is chosen as often as the others.
std::optional<Endpoint> chooseInstance(FabricState const &state, std::uint64_t random)
{
    std::vector<Endpoint> choices;
    for (auto const &[instance, reachability] : state.instances) {
        if (reachability != Reachability::Withdrawn)
            choices.push_back(instance);
    }
    if (choices.empty())
        return std::nullopt;
    return choices[random % choices.size()];
}

bool isCut(FabricState const &state, Endpoint instance)
{
    auto const entry = state.instances.find(instance);
    return entry != state.instances.end() && entry->second == Reachability::Cut;
}

std::string_view reachabilityName(Reachability reachability)
{
    switch (reachability) {
    case Reachability::Reachable:
        return "reachable";
    case Reachability::Cut:
        return "cut";
    case Reachability::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

// Parses a probability from 0 to 1. A missing parameter leaves the value unchanged. Returns false if the
// parameter is malformed.
bool parseProbability(Query const &query, std::string const &name, double &probability)
{
    auto const entry = query.find(name);
    if (entry == query.end())
        return true;
    char *end = nullptr;
    double const value = std::strtod(entry->second.c_str(), &end);
    if (entry->second.empty() || *end != '\0' || !(value >= 0 && value <= 1))
        return false;
    probability = value;
    return true;
}

} // namespace

FabricModel::FabricModel(std::vector<Endpoint> const &instances, LinkQuality quality,
                         RandomSource randomSource)
    : random(std::move(randomSource))
{
    FabricState initial;
    for (Endpoint const instance : instances)
        initial.instances.emplace(instance, Reachability::Reachable);
    initial.quality = quality;
    this->state.update([&](FabricState const &) { return initial; });
}

std::vector<Duration> FabricModel::sampleCopyDelays(LinkQuality const &quality) const
{
    std::vector<Duration> delays;
    int const copies = sampleBernoulli(quality.duplicate, this->random) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (sampleBernoulli(quality.loss, this->random))
            continue;
        bool const isDelayed = quality.maxDelay > Duration{} && sampleBernoulli(quality.delay, this->random);
        auto const range = static_cast<std::uint64_t>(quality.maxDelay.count()) + 1;
        delays.emplace_back(isDelayed ? static_cast<Duration::rep>(this->random() % range) : 0);
    }
    return delays;
}

std::vector<Delivery> FabricModel::routeToInstance(Endpoint caller)
{
    auto const snapshot = this->state.read();
    std::vector<Delivery> deliveries;
    if (!snapshot->lostCallers.contains(caller)) {
        for (Duration const delay : this->sampleCopyDelays(snapshot->quality)) {
            auto const instance = chooseInstance(*snapshot, this->random());
            if (instance && !isCut(*snapshot, *instance))
                deliveries.push_back({.instance = *instance, .delay = delay});
        }
    }
    this->counts.update([&](FabricCounts next) {
        next.forwarded += deliveries.size();
        next.dropped += deliveries.empty() ? 1 : 0;
        return next;
    });
    return deliveries;
}

std::vector<Delivery> FabricModel::routeToCaller(Endpoint from, Endpoint caller)
{
    auto const snapshot = this->state.read();
    std::vector<Delivery> deliveries;
    if (!snapshot->lostCallers.contains(caller) && !isCut(*snapshot, from)) {
        for (Duration const delay : this->sampleCopyDelays(snapshot->quality))
            deliveries.push_back({.instance = {}, .delay = delay});
    }
    this->counts.update([&](FabricCounts next) {
        next.returned += deliveries.size();
        next.dropped += deliveries.empty() ? 1 : 0;
        return next;
    });
    return deliveries;
}

HttpReply FabricModel::control(HttpRequest const &request)
{
    if (request.path == "/cut")
        return this->setReachability(request, Reachability::Cut);
    if (request.path == "/withdraw")
        return this->setReachability(request, Reachability::Withdrawn);
    if (request.path == "/restore" || request.path == "/join")
        return this->setReachability(request, Reachability::Reachable);
    if (request.path == "/leave")
        return this->removeInstance(request);
    if (request.path == "/heal")
        return this->restoreAllInstances();
    if (request.path == "/lose-flow")
        return this->loseCaller(request);
    if (request.path == "/quality")
        return this->setQuality(request);
    if (request.path == "/statistics")
        return this->statistics();
    return {.status = 404, .body = R"({"error":"unknown path"})"};
}

HttpReply FabricModel::setReachability(HttpRequest const &request, Reachability reachability)
{
    auto const instance = parseEndpoint(request.query, "instance");
    if (!instance.ok())
        return badRequest("instance is not an endpoint");
    bool const mayAdd = request.path == "/join";
    if (!mayAdd && !this->state.read()->instances.contains(*instance))
        return badRequest("the instance is unknown");
    this->state.update([&](FabricState next) {
        next.instances[*instance] = reachability;
        return next;
    });
    return this->statistics();
}

HttpReply FabricModel::removeInstance(HttpRequest const &request)
{
    auto const instance = parseEndpoint(request.query, "instance");
    if (!instance.ok())
        return badRequest("instance is not an endpoint");
    this->state.update([&](FabricState next) {
        next.instances.erase(*instance);
        return next;
    });
    return this->statistics();
}

HttpReply FabricModel::loseCaller(HttpRequest const &request)
{
    auto const caller = parseEndpoint(request.query, "caller");
    if (!caller.ok())
        return badRequest("caller is not an endpoint");
    this->state.update([&](FabricState next) {
        next.lostCallers.insert(*caller);
        return next;
    });
    return this->statistics();
}

HttpReply FabricModel::setQuality(HttpRequest const &request)
{
    LinkQuality quality = this->state.read()->quality;
    bool const isValid = parseProbability(request.query, "loss", quality.loss)
        && parseProbability(request.query, "duplicate", quality.duplicate)
        && parseProbability(request.query, "delay", quality.delay);
    if (!isValid)
        return badRequest("loss, duplicate and delay must be probabilities from 0 to 1");
    this->state.update([&](FabricState next) {
        next.quality = quality;
        return next;
    });
    return this->statistics();
}

HttpReply FabricModel::restoreAllInstances()
{
    this->state.update([](FabricState next) {
        for (auto &[instance, reachability] : next.instances)
            reachability = Reachability::Reachable;
        return next;
    });
    return this->statistics();
}

HttpReply FabricModel::statistics() const
{
    auto const snapshot = this->state.read();
    auto const currentCounts = this->counts.read();
    nlohmann::json instances = nlohmann::json::object();
    for (auto const &[instance, reachability] : snapshot->instances)
        instances[instance.toString()] = reachabilityName(reachability);
    nlohmann::json const json{{"instances", instances},
                              {"lostCallers", snapshot->lostCallers.size()},
                              {"forwarded", currentCounts->forwarded},
                              {"returned", currentCounts->returned},
                              {"dropped", currentCounts->dropped}};
    return {.status = 200, .body = json.dump()};
}

} // namespace almondwing
