// Where a target announces itself: one of several instances, or the one that an instance redirected it to.

#pragma once

#include <LibCore/Endpoint.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// Invariant: instances is not empty.
struct AnnounceRoute
{
    std::vector<Endpoint> instances;
    std::size_t next = 0; // Index into instances, used without a redirect.
    std::optional<Endpoint> redirect; // Kept until it fails.
    std::size_t stepsInRound = 0; // Announcements sent since the round began.

    Endpoint destination() const { return this->redirect.value_or(this->instances[this->next]); }

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

// What follows from the answer of the destination: the round ends, or the announcement goes to another
// instance at once. A round is bounded, so that redirects in a circle don't go on for ever.
AnnounceResult followAnnouncement(AnnounceRoute const &route, absl::StatusOr<std::string> const &answer);

} // namespace almondwing
