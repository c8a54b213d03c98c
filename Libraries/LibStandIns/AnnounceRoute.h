// Chooses the destination of a target's announcement: one of the configured instances, or the instance that
// a redirect named. A round begins with each periodic announcement and includes the sends that failures and
// redirects add to it.

#pragma once

#include <LibCore/Endpoint.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

struct AnnounceRoute
{
    std::vector<Endpoint> instances; // Not empty when destination() or applyAnnounceReply() is called.
    std::size_t nextInstance = 0; // Index into instances, used while there is no redirect.
    std::optional<Endpoint> redirect; // Kept until an announcement to it fails.
    std::size_t sentInRound = 0; // Announcements answered or failed since the round began.

    Endpoint destination() const { return this->redirect.value_or(this->instances[this->nextInstance]); }

    AnnounceRoute beginRound() const;

    friend bool operator==(AnnounceRoute const &, AnnounceRoute const &) = default;
};

enum class AnnounceStep : std::uint8_t { RoundEnded, SendAgain };

struct AnnounceResult
{
    AnnounceRoute route;
    AnnounceStep step = AnnounceStep::RoundEnded;

    friend bool operator==(AnnounceResult const &, AnnounceResult const &) = default;
};

// Decides from the reply of the destination whether the round ends or the announcement is sent to another
// instance at once. The number of announcements in a round is limited, so that a redirect loop ends.
AnnounceResult applyAnnounceReply(AnnounceRoute const &route, absl::StatusOr<std::string> const &reply);

} // namespace almondwing
