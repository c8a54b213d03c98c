// Implements the decision to leave a control instance.

#include <LibNode/ContactPatience.h>

#include <algorithm>

namespace almondwing {

namespace {

// Elections after the loss of a leader take about as long, so that one alone makes no entry leave.
constexpr Duration shortestPatience = 500ms;

// Doubled so often at most: with all instances out of contact an entry asks another one every 8 s.
constexpr unsigned mostDoublings = 4;

} // namespace

bool ContactPatience::isOver(bool isInContact, Timestamp now)
{
    if (isInContact) {
        this->outOfContactSince.reset();
        this->leftInTurn = 0;
        return false;
    }
    if (!this->outOfContactSince)
        this->outOfContactSince = now;
    if (now - *this->outOfContactSince < shortestPatience * (1U << std::min(this->leftInTurn, mostDoublings)))
        return false;
    ++this->leftInTurn;
    return true;
}

} // namespace almondwing
