// Implements the decisions of the fabric stand-in.

#include <LibStandIns/FabricModel.h>

#include <LibStandIns/SharedRandom.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace almondwing {

namespace {

HttpAnswer refuse(std::string_view fault)
{
    return {.status = 400, .body = fmt::format(R"({{"error":"{}"}})", fault)};
}

absl::StatusOr<Endpoint> endpointOf(Query const &query, std::string const &name)
{
    auto const entry = query.find(name);
    return Endpoint::parse(entry == query.end() ? std::string_view() : std::string_view(entry->second));
}

// The fabric does not know which instances work, so a cut one is chosen as often as the others.
std::optional<Endpoint> chooseInstance(FabricState const &state, std::uint64_t random)
{
    std::vector<Endpoint> choices;
    for (auto const &[instance, reach] : state.instances) {
        if (reach != Reach::Withdrawn)
            choices.push_back(instance);
    }
    if (choices.empty())
        return std::nullopt;
    return choices[random % choices.size()];
}

bool isCut(FabricState const &state, Endpoint instance)
{
    auto const entry = state.instances.find(instance);
    return entry != state.instances.end() && entry->second == Reach::Cut;
}

std::string_view reachName(Reach reach)
{
    switch (reach) {
    case Reach::Reachable:
        return "reachable";
    case Reach::Cut:
        return "cut";
    case Reach::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

// Reads a share from 0 to 1; an absent one keeps the present value.
bool readShare(Query const &query, std::string const &name, double &share)
{
    auto const entry = query.find(name);
    if (entry == query.end())
        return true;
    char *end = nullptr;
    double const value = std::strtod(entry->second.c_str(), &end);
    if (entry->second.empty() || *end != '\0' || !(value >= 0 && value <= 1))
        return false;
    share = value;
    return true;
}

} // namespace

FabricModel::FabricModel(std::vector<Endpoint> const &instances, LinkQuality quality,
                         RandomSource randomSource)
    : random(std::move(randomSource))
{
    FabricState initial;
    for (Endpoint const instance : instances)
        initial.instances.emplace(instance, Reach::Reachable);
    initial.quality = quality;
    this->state.update([&](FabricState const &) { return initial; });
}

std::vector<Duration> FabricModel::planCopies(LinkQuality const &quality) const
{
    std::vector<Duration> delays;
    int const copies = happens(quality.duplicate, this->random) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (happens(quality.loss, this->random))
            continue;
        bool const isDelayed = quality.maximumDelay > Duration{} && happens(quality.delay, this->random);
        auto const range = static_cast<std::uint64_t>(quality.maximumDelay.count()) + 1;
        delays.emplace_back(isDelayed ? static_cast<Duration::rep>(this->random() % range) : 0);
    }
    return delays;
}

std::vector<Delivery> FabricModel::planForward(Endpoint caller)
{
    auto const snapshot = this->state.read();
    std::vector<Delivery> deliveries;
    if (!snapshot->lostCallers.contains(caller)) {
        for (Duration const delay : this->planCopies(snapshot->quality)) {
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

std::vector<Delivery> FabricModel::planReply(Endpoint from, Endpoint caller)
{
    auto const snapshot = this->state.read();
    std::vector<Delivery> deliveries;
    if (!snapshot->lostCallers.contains(caller) && !isCut(*snapshot, from)) {
        for (Duration const delay : this->planCopies(snapshot->quality))
            deliveries.push_back({.instance = {}, .delay = delay});
    }
    this->counts.update([&](FabricCounts next) {
        next.returned += deliveries.size();
        next.dropped += deliveries.empty() ? 1 : 0;
        return next;
    });
    return deliveries;
}

HttpAnswer FabricModel::control(HttpRequest const &request)
{
    if (request.path == "/cut")
        return this->setReach(request, Reach::Cut);
    if (request.path == "/withdraw")
        return this->setReach(request, Reach::Withdrawn);
    if (request.path == "/restore" || request.path == "/join")
        return this->setReach(request, Reach::Reachable);
    if (request.path == "/leave")
        return this->removeInstance(request);
    if (request.path == "/heal")
        return this->heal();
    if (request.path == "/lose-flow")
        return this->loseFlow(request);
    if (request.path == "/quality")
        return this->setQuality(request);
    if (request.path == "/statistics")
        return this->statistics();
    return {.status = 404, .body = R"({"error":"unknown path"})"};
}

HttpAnswer FabricModel::setReach(HttpRequest const &request, Reach reach)
{
    auto const instance = endpointOf(request.query, "instance");
    if (!instance.ok())
        return refuse("instance is not an endpoint");
    bool const mayAdd = request.path == "/join";
    if (!mayAdd && !this->state.read()->instances.contains(*instance))
        return refuse("the instance is unknown");
    this->state.update([&](FabricState next) {
        next.instances[*instance] = reach;
        return next;
    });
    return this->statistics();
}

HttpAnswer FabricModel::removeInstance(HttpRequest const &request)
{
    auto const instance = endpointOf(request.query, "instance");
    if (!instance.ok())
        return refuse("instance is not an endpoint");
    this->state.update([&](FabricState next) {
        next.instances.erase(*instance);
        return next;
    });
    return this->statistics();
}

HttpAnswer FabricModel::loseFlow(HttpRequest const &request)
{
    auto const caller = endpointOf(request.query, "caller");
    if (!caller.ok())
        return refuse("caller is not an endpoint");
    this->state.update([&](FabricState next) {
        next.lostCallers.insert(*caller);
        return next;
    });
    return this->statistics();
}

HttpAnswer FabricModel::setQuality(HttpRequest const &request)
{
    LinkQuality quality = this->state.read()->quality;
    bool const isValid = readShare(request.query, "loss", quality.loss)
        && readShare(request.query, "duplicate", quality.duplicate)
        && readShare(request.query, "delay", quality.delay);
    if (!isValid)
        return refuse("loss, duplicate and delay are shares from 0 to 1");
    this->state.update([&](FabricState next) {
        next.quality = quality;
        return next;
    });
    return this->statistics();
}

HttpAnswer FabricModel::heal()
{
    this->state.update([](FabricState next) {
        for (auto &[instance, reach] : next.instances)
            reach = Reach::Reachable;
        return next;
    });
    return this->statistics();
}

HttpAnswer FabricModel::statistics() const
{
    auto const snapshot = this->state.read();
    auto const countsNow = this->counts.read();
    nlohmann::json instances = nlohmann::json::object();
    for (auto const &[instance, reach] : snapshot->instances)
        instances[instance.toString()] = reachName(reach);
    nlohmann::json const json{{"instances", instances},
                              {"lostCallers", snapshot->lostCallers.size()},
                              {"forwarded", countsNow->forwarded},
                              {"returned", countsNow->returned},
                              {"dropped", countsNow->dropped}};
    return {.status = 200, .body = json.dump()};
}

} // namespace almondwing
