// Implements the choice of the instance that gets an announcement.

#include <LibStandIns/AnnounceRoute.h>

#include <nlohmann/json.hpp>

namespace almondwing {

namespace {

std::optional<Endpoint> redirectIn(std::string const &answer)
{
    auto const json = nlohmann::json::parse(answer, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    auto const entry = json.find("redirect");
    if (entry == json.end() || !entry->is_string())
        return std::nullopt;
    auto const endpoint = Endpoint::parse(entry->get<std::string>());
    return endpoint.ok() ? std::optional(*endpoint) : std::nullopt;
}

AnnounceStep stepAfter(AnnounceRoute const &route)
{
    return route.stepsInRound <= route.instances.size() ? AnnounceStep::SendAgain : AnnounceStep::RoundEnded;
}

} // namespace

AnnounceRoute AnnounceRoute::beginRound() const
{
    AnnounceRoute route = *this;
    route.stepsInRound = 0;
    return route;
}

AnnounceResult followAnnouncement(AnnounceRoute const &route, absl::StatusOr<std::string> const &answer)
{
    AnnounceRoute next = route;
    ++next.stepsInRound;
    if (!answer.ok()) {
        next.redirect.reset();
        next.next = (route.next + 1) % route.instances.size();
        return {.route = next, .step = stepAfter(next)};
    }
    auto const redirect = redirectIn(*answer);
    if (!redirect || *redirect == route.destination())
        return {.route = next, .step = AnnounceStep::RoundEnded};
    next.redirect = redirect;
    return {.route = next, .step = stepAfter(next)};
}

} // namespace almondwing
