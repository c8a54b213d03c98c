// Implements the search for a control instance.

#include <LibNode/SourceSearch.h>

#include <algorithm>

namespace almondwing {

void SourceSearch::begin(std::vector<Endpoint> const &endpoints, Timestamp now)
{
    this->candidates.clear();
    Timestamp next = now;
    for (Endpoint const endpoint : endpoints) {
        this->candidates.emplace(endpoint, Candidate{.nextTry = next, .pause = this->settings.pause});
        next += this->settings.stagger;
    }
}

std::vector<Endpoint> SourceSearch::takeDue(Timestamp now)
{
    std::vector<Endpoint> due;
    for (auto &[endpoint, candidate] : this->candidates) {
        if (!candidate.nextTry || *candidate.nextTry > now)
            continue;
        candidate.nextTry.reset();
        due.push_back(endpoint);
    }
    return due;
}

bool SourceSearch::handleResult(Endpoint endpoint, bool isAccepted, Timestamp now)
{
    auto const found = this->candidates.find(endpoint);
    if (found == this->candidates.end())
        return false;
    Candidate &candidate = found->second;
    if (isAccepted) {
        this->end();
        return true;
    }
    candidate.nextTry = now + candidate.pause;
    candidate.pause = std::min(2 * candidate.pause, this->settings.maxPause);
    return false;
}

std::optional<Timestamp> SourceSearch::nextDue() const
{
    std::optional<Timestamp> earliest;
    for (auto const &[endpoint, candidate] : this->candidates) {
        if (candidate.nextTry && (!earliest || *candidate.nextTry < *earliest))
            earliest = candidate.nextTry;
    }
    return earliest;
}

} // namespace almondwing
