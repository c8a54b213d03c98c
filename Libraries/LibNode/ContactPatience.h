// Decides when an entry leaves a control instance that is out of contact with a majority.

#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace almondwing {

// Answers this load: all control instances start again at once and have no leader yet. If every entry went
// from one to the next, each would tell its whole registry to all of them and have no time left for an
// election.
class ContactPatience
{
public:
    // Another instance is asked now.
    void noteSource() { this->outOfContactSince.reset(); }

    // Takes whether the instance that answers is in contact, and returns whether to leave it.
    bool isOver(bool isInContact, Timestamp now);

private:
    std::optional<Timestamp>
        outOfContactSince; // Of the present source; nothing before its first such answer.
    unsigned leftInTurn = 0; // Instances that were left since one in contact answered.
};

} // namespace almondwing
