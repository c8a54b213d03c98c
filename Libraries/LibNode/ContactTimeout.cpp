// Implements the timeout of control instances that are out of contact.

#include <LibNode/ContactTimeout.h>

#include <algorithm>

namespace almondwing {

namespace {

// About as long as an election after the loss of a leader, so that a single one rarely makes entries switch.
constexpr Duration minTimeout = 500ms;

// With all instances out of contact an entry switches to another one every 8 s.
constexpr unsigned maxDoublings = 4;

} // namespace

bool ContactTimeout::hasExpired(bool isInContact, Timestamp now)
{
    if (isInContact) {
        this->outOfContactSince.reset();
        this->consecutiveExpiries = 0;
        return false;
    }
    if (!this->outOfContactSince)
        this->outOfContactSince = now;
    if (now - *this->outOfContactSince
        < minTimeout * (1U << std::min(this->consecutiveExpiries, maxDoublings)))
        return false;
    ++this->consecutiveExpiries;
    return true;
}

} // namespace almondwing
