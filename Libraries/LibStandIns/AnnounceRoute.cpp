// Implements the choice of the destination of an announcement.

#include <LibStandIns/AnnounceRoute.h>

#include <nlohmann/json.hpp>

namespace almondwing {

namespace {

std::optional<Endpoint> parseRedirect(std::string const &reply)
{
    auto const json = nlohmann::json::parse(reply, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    auto const entry = json.find("redirect");
    if (entry == json.end() || !entry->is_string())
        return std::nullopt;
    auto const endpoint = Endpoint::parse(entry->get<std::string>());
    return endpoint.ok() ? std::optional(*endpoint) : std::nullopt;
}

AnnounceStep nextStep(AnnounceRoute const &route)
{
    return route.sentInRound <= route.instances.size() ? AnnounceStep::SendAgain : AnnounceStep::RoundEnded;
}

} // namespace

AnnounceRoute AnnounceRoute::beginRound() const
{
    AnnounceRoute route = *this;
    route.sentInRound = 0;
    return route;
}

AnnounceResult applyAnnounceReply(AnnounceRoute const &route, absl::StatusOr<std::string> const &reply)
{
    AnnounceRoute next = route;
    ++next.sentInRound;
    if (!reply.ok()) {
        next.redirect.reset();
        next.nextInstance = (route.nextInstance + 1) % route.instances.size();
        return {.route = next, .step = nextStep(next)};
    }
    auto const redirect = parseRedirect(*reply);
    if (!redirect || *redirect == route.destination())
        return {.route = next, .step = AnnounceStep::RoundEnded};
    next.redirect = redirect;
    return {.route = next, .step = nextStep(next)};
}

} // namespace almondwing
