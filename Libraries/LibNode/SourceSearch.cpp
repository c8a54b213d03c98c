// Implements the search for a control instance.

#include <LibNode/SourceSearch.h>

namespace almondwing {

void SourceSearch::begin(std::vector<Endpoint> const &candidates, Timestamp now)
{
    this->nextTries.clear();
    Timestamp next = now;
    for (Endpoint const candidate : candidates) {
        this->nextTries.emplace(candidate, next);
        next += this->settings.stagger;
    }
}

std::vector<Endpoint> SourceSearch::takeDue(Timestamp now)
{
    std::vector<Endpoint> due;
    for (auto &[candidate, nextTry] : this->nextTries) {
        if (!nextTry || *nextTry > now)
            continue;
        nextTry.reset();
        due.push_back(candidate);
    }
    return due;
}

bool SourceSearch::handleResult(Endpoint candidate, bool isAccepted, Timestamp now)
{
    auto const found = this->nextTries.find(candidate);
    if (found == this->nextTries.end())
        return false;
    if (isAccepted)
        this->nextTries.clear();
    else
        found->second = now + this->settings.pause;
    return isAccepted;
}

std::optional<Timestamp> SourceSearch::nextDue() const
{
    std::optional<Timestamp> earliest;
    for (auto const &[candidate, nextTry] : this->nextTries) {
        if (nextTry && (!earliest || *nextTry < *earliest))
            earliest = nextTry;
    }
    return earliest;
}

} // namespace almondwing
